/// Bounds of untrusted JSON text, found by its strings and brackets alone, so
/// that neither the stack nor the memory depends on what it says.
#ifndef CITRONWHARF_BASE_JSON_TEXT_H_
#define CITRONWHARF_BASE_JSON_TEXT_H_

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <cstddef>

namespace citronwharf {

/// Levels of arrays and objects that JSON may have, far more than any message
/// has. Copying, comparing and writing a value recurse once per level.
constexpr std::size_t max_json_nesting = 64;

/// Commas, colons and opening brackets that JSON may have. A parsed value takes
/// up to 70 bytes for each; the configuration of 14,000 organisations has a
/// third as many.
constexpr std::size_t max_json_parts = 1000000;

/// Returns InvalidArgument if `text` has more than max_json_nesting levels or
/// more than max_json_parts parts. Thread-safe.
absl::Status check_json_limits(absl::string_view text);

/// Returns the length of the value that `text` begins with, which need not be
/// valid JSON: up to the comma or closing bracket that follows it. Returns npos
/// if `text` ends before the value, brackets don't match, or it has more than
/// `max_nesting` levels.
/// Thread-safe.
/// Example: json_value_size(R"({"a":[1]},2)", 64) == 9
std::size_t json_value_size(absl::string_view text, std::size_t max_nesting);

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_JSON_TEXT_H_
