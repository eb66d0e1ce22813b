#include "citronwharf/builder.h"

#include <utility>

#include "base/configuration_json.h"
#include "control/validate.h"

namespace citronwharf {
namespace {

using nlohmann::json;

// Omits keys, which `citronwharf key create` creates, and the draining flag,
// which `citronwharf endpoint drain` sets: programs must not contain either.
json to_document(const configuration& in, bool based) {
  json document = in;
  document.erase("keys");
  for (json& item : document["endpoints"]) {
    item.erase("draining");
  }
  if (!based) {
    document.erase("version");
  }
  return document;
}

}  // namespace

configuration_builder& configuration_builder::based_on(std::uint64_t version) {
  based_ = true;
  value_.version = version;
  return *this;
}

configuration_builder& configuration_builder::add(
    const organisation_builder& in) {
  value_.organisations.push_back(in.value());
  return *this;
}

configuration_builder& configuration_builder::add(const endpoint_builder& in) {
  value_.endpoints.push_back(in.value());
  return *this;
}

configuration_builder& configuration_builder::add_entry(
    std::string name, std::string address, std::string failure_domain) {
  value_.entries.push_back(
      {std::move(name), std::move(address), std::move(failure_domain)});
  return *this;
}

configuration_builder& configuration_builder::add_route(const route& in) {
  value_.routes.push_back(in);
  return *this;
}

std::vector<std::string> configuration_builder::faults() const {
  const json document = to_document(value_, based_);
  auto found = check_document(document, document_mode::whole);
  if (found.empty()) {
    const configuration empty;
    found = check_references(
        empty, merge_document(empty, document, document_mode::whole), document);
  }
  std::vector<std::string> out;
  out.reserve(found.size());
  for (const configuration_fault& fault : found) {
    out.push_back(fault.pointer + ": " + fault.message);
  }
  return out;
}

std::string configuration_builder::document() const {
  return to_document(value_, based_).dump(2) + "\n";
}

}  // namespace citronwharf
