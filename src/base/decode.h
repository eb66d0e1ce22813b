/// Reads typed values from JSON that came from outside the process.
#ifndef CITRONWHARF_BASE_DECODE_H_
#define CITRONWHARF_BASE_DECODE_H_

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>
#include <string>

namespace citronwharf {

/// Turns `in` into a T, or says what is wrong with it. Thread-safe.
template <typename T>
absl::StatusOr<T> decode_value(const nlohmann::json& in) {
  try {
    return in.get<T>();
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

/// Parses JSON text; InvalidArgument names the byte. Thread-safe.
inline absl::StatusOr<nlohmann::json> parse_json(const std::string& text) {
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_DECODE_H_
