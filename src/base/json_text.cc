#include "base/json_text.h"

#include <fmt/format.h>

#include <vector>

namespace citronwharf {
namespace {

// Follows strings and brackets through a text.
class json_scanner {
 public:
  // Returns whether `byte` belongs to the structure: it is outside of strings
  // and no quote.
  bool is_structure(char byte) {
    if (in_string_) {
      if (escaped_) {
        escaped_ = false;
      } else if (byte == '\\') {
        escaped_ = true;
      } else if (byte == '"') {
        in_string_ = false;
      }
      return false;
    }
    in_string_ = byte == '"';
    return !in_string_;
  }

 private:
  bool in_string_ = false;
  bool escaped_ = false;  // the next byte of the string
};

bool opens(char byte) {
  return byte == '{' || byte == '[';
}

bool closes(char byte) {
  return byte == '}' || byte == ']';
}

}  // namespace

absl::Status check_json_limits(absl::string_view text) {
  json_scanner scanner;
  std::size_t nesting = 0;
  std::size_t parts = 0;
  for (const char byte : text) {
    if (!scanner.is_structure(byte)) {
      continue;
    }
    if (opens(byte)) {
      ++nesting;
      ++parts;
    } else if (closes(byte)) {
      nesting -= nesting > 0 ? 1 : 0;
    } else if (byte == ',' || byte == ':') {
      ++parts;
    }
    if (nesting > max_json_nesting) {
      return absl::InvalidArgumentError(
          fmt::format("nested more than {} levels deep", max_json_nesting));
    }
    if (parts > max_json_parts) {
      return absl::InvalidArgumentError(
          fmt::format("more than {} values", max_json_parts));
    }
  }
  return absl::OkStatus();
}

std::size_t json_value_size(absl::string_view text, std::size_t max_nesting) {
  json_scanner scanner;
  std::vector<bool> open_objects;  // the open brackets; false: an array
  for (std::size_t size = 0; size < text.size(); ++size) {
    const char byte = text[size];
    if (!scanner.is_structure(byte)) {
      continue;
    }
    if (open_objects.empty() && (byte == ',' || closes(byte))) {
      return size;
    }
    if (opens(byte)) {
      open_objects.push_back(byte == '{');
      if (open_objects.size() > max_nesting) {
        return absl::string_view::npos;
      }
    } else if (closes(byte)) {
      if (open_objects.back() != (byte == '}')) {
        return absl::string_view::npos;
      }
      open_objects.pop_back();
      if (open_objects.empty()) {
        return size + 1;
      }
    }
  }
  return absl::string_view::npos;
}

}  // namespace citronwharf
