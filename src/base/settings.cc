#include "base/settings.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <limits>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "base/decode.h"
#include "base/settings_fields.h"

namespace citronwharf {
namespace {

using detail::field_type;
using detail::settings_field;
using nlohmann::json;

constexpr const char* address_pattern =
    "^[0-9]{1,3}\\.[0-9]{1,3}\\.[0-9]{1,3}\\.[0-9]{1,3}:[0-9]{1,5}$";

json type_schema(field_type type) {
  switch (type) {
    case field_type::text:
      return {{"type", "string"}};
    case field_type::name:
      return {{"type", "string"}, {"pattern", "^[A-Za-z0-9_.-]{1,64}$"}};
    case field_type::address:
      return {{"type", "string"}, {"pattern", address_pattern}};
    case field_type::addresses:
      return {{"type", "array"}, {"items", type_schema(field_type::address)}};
    case field_type::roles:
      return {
          {"type", "array"},
          {"minItems", 1},
          {"uniqueItems", true},
          {"items", {{"enum", {"entry", "endpoint", "control", "gateway"}}}}};
    case field_type::positive_integer:
      return {{"type", "integer"}, {"minimum", 1}};
    case field_type::non_negative_integer:
      return {{"type", "integer"}, {"minimum", 0}};
    case field_type::fraction:
      return {{"type", "number"}, {"minimum", 0}, {"maximum", 1}};
    case field_type::non_negative_number:
      return {{"type", "number"}, {"minimum", 0}};
    case field_type::boolean:
      return {{"type", "boolean"}};
  }
  return {};
}

json object_schema() {
  return {{"type", "object"},
          {"additionalProperties", false},
          {"properties", json::object()}};
}

// Returns "group" for "/group/name" and "" for "/name".
std::string group_of(const std::string& pointer) {
  const auto slash = pointer.find('/', 1);
  return slash == std::string::npos ? "" : pointer.substr(1, slash - 1);
}

std::string name_of(const std::string& pointer) {
  return pointer.substr(pointer.rfind('/') + 1);
}

// Converts valijson's path <root>["a"][0] to the JSON pointer "/a/0".
std::string to_pointer(const std::vector<std::string>& context) {
  std::string pointer;
  for (std::string segment : context) {
    if (segment == "<root>") {
      continue;
    }
    segment.erase(std::remove_if(segment.begin(), segment.end(),
                                 [](char character) {
                                   return character == '[' ||
                                          character == ']' || character == '"';
                                 }),
                  segment.end());
    pointer += '/' + segment;
  }
  return pointer;
}

json with_defaults(const json& document) {
  json merged = settings{};
  merged.merge_patch(document);
  return merged;
}

void check_required_by_role(const settings& in,
                            std::vector<settings_fault>& faults) {
  if (has_role(in, "control") && in.data_folder.empty()) {
    faults.push_back({"/data_folder", "required by role control"});
  }
  if (has_role(in, "control") && in.operator_token_file.empty()) {
    faults.push_back({"/operator_token_file", "required by role control"});
  }
  if (has_role(in, "endpoint") && in.engine.address.empty()) {
    faults.push_back({"/engine/address", "required by role endpoint"});
  }
  if (in.secret.empty() && in.secret_file.empty()) {
    faults.push_back({"/secret_file", "required unless /secret is set"});
  }
  const bool is_gateway = has_role(in, "gateway");
  for (const auto& [pointer, value] :
       {std::pair{"/gateway/readiness", in.gateway.readiness},
        std::pair{"/gateway/operators", in.gateway.operators},
        std::pair{"/gateway/directory", in.gateway.directory}}) {
    if (is_gateway && value.empty()) {
      faults.push_back({pointer, "required by role gateway"});
    }
  }
  if (!is_gateway && !has_role(in, "control") && in.control.seeds.empty()) {
    faults.push_back(
        {"/control/seeds",
         "required unless the process has role control or gateway"});
  }
}

}  // namespace

std::size_t max_caller_connections(const limit_settings& in) {
  // For files, listeners, sessions with other processes and idle connections to
  // servers.
  constexpr std::int64_t max_reserved = 300;
  constexpr std::int64_t reserved_divisor = 4;
  constexpr std::int64_t descriptors_per_caller = 2;
  std::int64_t descriptors = in.max_descriptors;
  rlimit limit{};
  if (descriptors == 0 && ::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    descriptors = static_cast<std::int64_t>(std::min<rlim_t>(
        limit.rlim_cur, std::numeric_limits<std::int32_t>::max()));
  }
  const std::int64_t reserved =
      std::min(max_reserved, descriptors / reserved_divisor);
  return static_cast<std::size_t>(std::clamp<std::int64_t>(
      (descriptors - reserved) / descriptors_per_caller, 1,
      std::max<std::int64_t>(in.max_connections, 1)));
}

std::size_t max_buffered_bytes(const limit_settings& in) {
  // Three eighths of 88 MB, the smallest VMs. Beside it, such a process needs
  // 13 MB when idle and up to 20 MB for responses that are being received.
  constexpr std::int64_t default_bytes = 32LL << 20U;
  // Seven eighths of it are for large bodies and their heads.
  constexpr double least_bodies = 2.25 / 0.875;
  std::int64_t bytes = default_bytes;
  if (in.max_buffered_bytes > 0) {
    bytes = in.max_buffered_bytes;
  } else if (in.memory_mb > 0) {
    constexpr double share = 0.375;
    constexpr double megabyte = 1 << 20;
    bytes = static_cast<std::int64_t>(in.memory_mb * share * megabyte);
  }
  const double least = static_cast<double>(in.max_body_bytes) * least_bodies;
  return static_cast<std::size_t>(
      std::max(bytes, static_cast<std::int64_t>(least)));
}

bool has_role(const settings& in, const std::string& role) {
  return std::find(in.roles.begin(), in.roles.end(), role) != in.roles.end();
}

json settings_schema() {
  json schema = object_schema();
  schema["$schema"] = "http://json-schema.org/draft-07/schema#";
  schema["title"] = "Settings of citronwharfd";
  for (const settings_field& field : detail::settings_fields()) {
    json entry = type_schema(field.type);
    entry["description"] = field.documentation;
    const std::string group = group_of(field.pointer);
    json& owner = group.empty() ? schema : schema["properties"][group];
    if (owner.is_null()) {
      owner = object_schema();
    }
    owner["properties"][name_of(field.pointer)] = entry;
    if (field.required) {
      owner["required"].push_back(name_of(field.pointer));
    }
  }
  return schema;
}

std::string settings_page() {
  const json defaults = settings{};
  std::string page =
      "# Settings\n\nPrinted by `citronwharfd --print_settings`. Each process "
      "reads one JSON file; unknown\nnames are rejected. `citronwharfd "
      "--check --settings FILE` lists every error with its\nJSON pointer.\n\n"
      "| setting | unit | default | description |\n| --- | --- | --- | --- |\n";
  for (const settings_field& field : detail::settings_fields()) {
    const std::string value =
        field.required ? "required"
                       : defaults.at(json::json_pointer(field.pointer)).dump();
    page += fmt::format("| `{}` | {} | {} | {} |\n", field.pointer, field.unit,
                        value, field.documentation);
  }
  return page;
}

std::vector<settings_fault> check_settings(const json& document) {
  valijson::Schema schema;
  const json schema_document = settings_schema();
  valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_document);
  valijson::SchemaParser().populateSchema(schema_adapter, schema);

  valijson::adapters::NlohmannJsonAdapter target(document);
  valijson::ValidationResults results;
  std::vector<settings_fault> faults;
  if (!valijson::Validator().validate(schema, target, &results)) {
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
      faults.push_back({to_pointer(error.context), error.description});
    }
  }
  if (faults.empty()) {
    check_required_by_role(read_settings(document), faults);
  }
  return faults;
}

settings read_settings(const json& document) {
  return with_defaults(document).get<settings>();
}

absl::StatusOr<settings> load_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(
        fmt::format("cannot read settings file {}", path));
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto document = parse_json(text.str());
  if (!document.ok()) {
    return document.status();
  }
  const std::vector<settings_fault> faults = check_settings(*document);
  if (!faults.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(
        faults, "\n", [](std::string* out, const settings_fault& fault) {
          *out += fmt::format("{}: {}", fault.pointer, fault.message);
        }));
  }
  return read_settings(*document);
}

}  // namespace citronwharf
