/// Estimates the token count of a text without a tokenizer.
#ifndef CITRONWHARF_BASE_TOKEN_COUNT_H_
#define CITRONWHARF_BASE_TOKEN_COUNT_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace citronwharf {

/// Bytes of text assumed per token.
constexpr std::size_t bytes_per_token = 4;

/// Returns the estimated tokens of `text`, rounded up. Thread-safe.
/// Example: token_count("price list") == 3
inline std::int32_t token_count(const std::string& text) {
  const std::size_t rounded = text.size() + bytes_per_token - 1;
  return static_cast<std::int32_t>(rounded / bytes_per_token);
}

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_TOKEN_COUNT_H_
