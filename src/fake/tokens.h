/// What the stand-in model generates: a function of the prompt alone, so that
/// tests know every caller's whole answer.
#ifndef CITRONWHARF_FAKE_TOKENS_H_
#define CITRONWHARF_FAKE_TOKENS_H_

#include <cstdint>
#include <string>

namespace citronwharf::fake {

/// Returns the token at `index` of the answer to `prompt`. Thread-safe.
/// Example: fake_token("hello", 0)
std::string fake_token(const std::string& prompt, std::int32_t index);

/// Returns the whole answer, tokens joined. Thread-safe.
std::string fake_answer(const std::string& prompt, std::int32_t tokens);

/// Returns the prompt that `text` continues: `text` without the first `tokens`
/// of that prompt's answer, when it ends with them, else `text`. Thread-safe.
std::string base_prompt(const std::string& text, std::int32_t tokens);

}  // namespace citronwharf::fake

#endif  // CITRONWHARF_FAKE_TOKENS_H_
