/// Conversion of untrusted JSON to typed values, with errors as statuses.
#ifndef CITRONWHARF_BASE_DECODE_H_
#define CITRONWHARF_BASE_DECODE_H_

#include <absl/status/statusor.h>
#include <fmt/format.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/json_text.h"

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

/// Returns `in` as an integer. Throws nlohmann::json::exception if it is no
/// number or no whole number from `min` to `max`; get<T> would convert those to
/// an arbitrary value. Thread-safe.
inline std::int64_t get_integer(const nlohmann::json& in, std::int64_t min,
                                std::int64_t max) {
  if (in.is_number_integer() &&
      (!in.is_number_unsigned() ||
       in.get<std::uint64_t>() <= static_cast<std::uint64_t>(max))) {
    const auto value = in.get<std::int64_t>();
    if (value >= min && value <= max) {
      return value;
    }
  } else if (!in.is_number()) {
    (void)in.get<std::int64_t>();  // throws with the type
  }
  throw nlohmann::json::out_of_range::create(
      401, fmt::format("number must be a whole one from {} to {}", min, max),
      &in);
}

/// Returns `in` as a number. Throws nlohmann::json::exception if it is none
/// from `min` to `max`. Thread-safe.
inline double get_real(const nlohmann::json& in, double min, double max) {
  const auto value = in.get<double>();
  if (!in.is_number() || !(value >= min && value <= max)) {
    throw nlohmann::json::out_of_range::create(
        401, fmt::format("number must be from {} to {}", min, max), &in);
  }
  return value;
}

/// Writes JSON text. Bytes that aren't UTF-8 are replaced; dump() would throw.
/// Thread-safe.
inline std::string write_json(const nlohmann::json& in) {
  return in.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Parses JSON text. The InvalidArgument error gives the byte position, or the
/// limit of base/json_text.h that the text exceeds. Thread-safe.
inline absl::StatusOr<nlohmann::json> parse_json(const std::string& text) {
  const absl::Status within_limits = check_json_limits(text);
  if (!within_limits.ok()) {
    return within_limits;
  }
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_DECODE_H_
