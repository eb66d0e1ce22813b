/// Conversion of untrusted JSON to typed values, with errors as statuses.
#ifndef CITRONWHARF_BASE_DECODE_H_
#define CITRONWHARF_BASE_DECODE_H_

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>
#include <string>

namespace citronwharf {

/// Converts `in` to a T. Returns InvalidArgument with the reason if it has a
/// missing member or a wrong type. Thread-safe.
template <typename T>
absl::StatusOr<T> decode_value(const nlohmann::json& in) {
  try {
    return in.get<T>();
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

/// Parses JSON text. The InvalidArgument error gives the byte position.
/// Thread-safe.
inline absl::StatusOr<nlohmann::json> parse_json(const std::string& text) {
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_DECODE_H_
