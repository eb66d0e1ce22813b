#include "fake/tokens.h"

#include <fmt/format.h>

namespace citronwharf::fake {
namespace {

constexpr std::uint32_t fnv_offset = 2166136261U;
constexpr std::uint32_t fnv_prime = 16777619U;

std::uint32_t digest(const std::string& text) {
  std::uint32_t hash = fnv_offset;
  for (const char letter : text) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * fnv_prime;
  }
  return hash;
}

}  // namespace

std::string fake_token(const std::string& prompt, std::int32_t index) {
  return fmt::format("{:08x}.{} ", digest(prompt), index);
}

std::string fake_answer(const std::string& prompt, std::int32_t tokens) {
  std::string answer;
  for (std::int32_t index = 0; index < tokens; ++index) {
    answer += fake_token(prompt, index);
  }
  return answer;
}

std::string base_prompt(const std::string& text, std::int32_t tokens) {
  // The length of an answer does not depend on its prompt.
  const std::size_t tail = fake_answer("", tokens).size();
  if (tail > text.size()) {
    return text;
  }
  const std::string base = text.substr(0, text.size() - tail);
  return base + fake_answer(base, tokens) == text ? base : text;
}

}  // namespace citronwharf::fake
