/// Decoding of untrusted CBOR.
#ifndef CITRONWHARF_BASE_CBOR_H_
#define CITRONWHARF_BASE_CBOR_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace citronwharf {

/// Levels of arrays, maps and chunked strings that untrusted CBOR may have, far
/// more than any message has. The decoder recurses once per level.
constexpr std::size_t max_cbor_nesting = 200;

/// Decodes exactly one CBOR item. Returns InvalidArgument if it is malformed or
/// nested more than max_cbor_nesting levels deep. Thread-safe.
absl::StatusOr<nlohmann::json> parse_cbor(const std::string& bytes);

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_CBOR_H_
