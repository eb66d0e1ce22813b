// Validates the schema of configuration documents against the member table.
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

#include "control/document_fields.h"
#include "control/validate.h"

namespace citronwharf {
namespace {

using detail::document_member;
using detail::member_type;
using nlohmann::json;

using faults = std::vector<configuration_fault>;

constexpr std::size_t max_name_length = 64;
constexpr std::size_t digest_hex_length = 64;
constexpr int max_port = 65535;
constexpr int max_octet = 255;

bool is_valid_text(const std::string& text) {
  const auto allowed = [](unsigned char character) {
    return character < 128 &&
           (std::isalnum(character) != 0 || character == '_' ||
            character == '.' || character == '-');
  };
  return text.size() <= max_name_length &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool is_digest(const std::string& text) {
  const auto hex = [](unsigned char character) {
    return std::isdigit(character) != 0 ||
           (character >= 'a' && character <= 'f');
  };
  return text.size() == digest_hex_length &&
         std::all_of(text.begin(), text.end(), hex);
}

// Parses digits up to `stop` ('\0': the end of the text) as a number of at most
// `most`, and moves `at` past `stop`.
bool parse_number(const std::string& text, std::size_t& at, char stop,
                  int most) {
  int value = 0;
  const std::size_t begin = at;
  while (at < text.size() &&
         std::isdigit(static_cast<unsigned char>(text[at])) != 0 &&
         value <= most) {
    value = value * 10 + (text[at] - '0');
    ++at;
  }
  const bool stopped =
      stop == '\0' ? at == text.size() : at < text.size() && text[at] == stop;
  const bool valid = at > begin && value <= most && stopped;
  ++at;
  return valid;
}

bool is_address(const std::string& text) {
  std::size_t at = 0;
  for (const char stop : {'.', '.', '.', ':'}) {
    if (!parse_number(text, at, stop, max_octet)) {
      return false;
    }
  }
  return parse_number(text, at, '\0', max_port);
}

bool is_method(const json& value) {
  static const std::set<std::string> methods{"DELETE", "GET",  "HEAD",
                                             "PATCH",  "POST", "PUT"};
  return value.is_string() && methods.count(value.get<std::string>()) != 0;
}

// Returns the constraint that the value violates, or "" if it is valid.
std::string violated_text_constraint(const document_member& member,
                                     const json& value) {
  if (!value.is_string()) {
    return "must be a string";
  }
  const auto text = value.get<std::string>();
  switch (member.type) {
    case member_type::name:
      return is_valid_text(text) && !text.empty()
                 ? ""
                 : "must be 1 to 64 letters, digits, '_', '.' or '-'";
    case member_type::text:
      return is_valid_text(text)
                 ? ""
                 : "must be at most 64 letters, digits, '_', '.' or '-'";
    case member_type::address:
      return is_address(text)
                 ? ""
                 : "must be an IPv4 address and port, e.g. 10.0.0.1:80";
    case member_type::digest:
      return is_digest(text)
                 ? ""
                 : "must be a SHA-256 digest of 64 lower-case hex digits";
    default:
      break;
  }
  const bool known = std::find(member.choices.begin(), member.choices.end(),
                               text) != member.choices.end();
  return known ? ""
               : fmt::format("must be one of {}",
                             fmt::join(member.choices, ", "));
}

std::string violated_constraint(const document_member& member,
                                const json& value) {
  switch (member.type) {
    case member_type::boolean:
      return value.is_boolean() ? "" : "must be true or false";
    case member_type::methods:
      return value.is_array() &&
                     std::all_of(value.begin(), value.end(), is_method)
                 ? ""
                 : "must be a list of DELETE, GET, HEAD, PATCH, POST or PUT";
    case member_type::integer:
    case member_type::number:
      break;
    default:
      return violated_text_constraint(member, value);
  }
  if (member.type == member_type::integer && !value.is_number_integer()) {
    return "must be an integer";
  }
  if (!value.is_number()) {
    return "must be a number";
  }
  const double number = value.get<double>();
  return number >= member.least && number <= member.most
             ? ""
             : fmt::format("must be between {} and {}", member.least,
                           member.most);
}

void check_members(const std::vector<document_member>& members,
                   const json& item, const std::string& pointer, faults& out) {
  if (!item.is_object()) {
    out.push_back({pointer, "must be an object"});
    return;
  }
  for (const auto& [name, value] : item.items()) {
    const std::string member_pointer = fmt::format("{}/{}", pointer, name);
    const auto member = std::find_if(
        members.begin(), members.end(),
        [&key = name](const document_member& in) { return in.name == key; });
    if (member == members.end()) {
      out.push_back({member_pointer, "unknown name"});
      continue;
    }
    if (member->type == member_type::allowance) {
      check_members(detail::allowance_members(), value, member_pointer, out);
      continue;
    }
    std::string message = violated_constraint(*member, value);
    if (!message.empty()) {
      out.push_back({member_pointer, std::move(message)});
    }
  }
}

void check_items(const std::string& list, const json& items, faults& out) {
  if (!items.is_array()) {
    out.push_back({"/" + list, "must be a list"});
    return;
  }
  const std::string name = name_member(list);
  std::set<std::string> seen;
  for (std::size_t index = 0; index < items.size(); ++index) {
    const json& item = items[index];
    const std::string pointer = fmt::format("/{}/{}", list, index);
    check_members(detail::list_members().at(list), item, pointer, out);
    if (!item.is_object()) {
      continue;
    }
    if (!item.contains(name)) {
      out.push_back({pointer, fmt::format("{} is required", name)});
    } else if (item.at(name).is_string() &&
               !seen.insert(item.at(name).get<std::string>()).second) {
      out.push_back(
          {fmt::format("{}/{}", pointer, name), "must be unique in the list"});
    }
  }
}

void check_removals(const json& removed, faults& out) {
  if (!removed.is_object()) {
    out.push_back({"/remove", "must be an object"});
    return;
  }
  for (const auto& [list, names] : removed.items()) {
    const std::string pointer = "/remove/" + list;
    if (detail::list_members().count(list) == 0) {
      out.push_back({pointer, "unknown name"});
    } else if (!names.is_array()) {
      out.push_back({pointer, "must be a list"});
    } else {
      for (std::size_t index = 0; index < names.size(); ++index) {
        if (!names[index].is_string()) {
          out.push_back(
              {fmt::format("{}/{}", pointer, index), "must be a string"});
        }
      }
    }
  }
}

}  // namespace

faults check_document(const json& document, document_mode mode) {
  faults out;
  if (!document.is_object()) {
    out.push_back({"", "must be an object"});
    return out;
  }
  for (const auto& [name, value] : document.items()) {
    if (name == "version") {
      if (!value.is_number_unsigned()) {
        out.push_back({"/version", "must be a non-negative integer"});
      }
    } else if (name == "remove" && mode == document_mode::partial) {
      check_removals(value, out);
    } else if (detail::list_members().count(name) != 0) {
      check_items(name, value, out);
    } else {
      out.push_back({"/" + name, "unknown name"});
    }
  }
  return out;
}

}  // namespace citronwharf
