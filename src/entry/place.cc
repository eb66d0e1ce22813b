#include "entry/place.h"

#include <algorithm>

namespace citronwharf {
namespace {

constexpr int content_too_large = 413;
constexpr std::uint64_t fnv_offset = 14695981039346656037U;
constexpr std::uint64_t fnv_prime = 1099511628211U;

std::uint64_t add(std::uint64_t hash, const std::string& text,
                  std::size_t most) {
  for (std::size_t at = 0; at < std::min(text.size(), most); ++at) {
    hash = (hash ^ static_cast<unsigned char>(text[at])) * fnv_prime;
  }
  return hash;
}

}  // namespace

std::uint64_t prefix_hash(const std::string& model, const std::string& prompt) {
  const std::uint64_t hash =
      add(add(fnv_offset, model, model.size()), prompt, prefix_bytes);
  return std::max<std::uint64_t>(hash, 1);
}

void endpoint_memory::observe(const std::string& endpoint,
                              const endpoint_load& load) {
  const std::int64_t tokens =
      static_cast<std::int64_t>(load.pieces_total) * load.piece_tokens;
  if (tokens > 0) {
    tokens_[endpoint] = tokens;
  }
}

std::optional<std::int64_t> endpoint_memory::largest(
    const configuration& current, const std::string& pool) const {
  std::optional<std::int64_t> most;
  for (const endpoint& one : current.endpoints) {
    if (one.pool != pool || one.draining) {
      continue;
    }
    const auto known = tokens_.find(one.name);
    if (known == tokens_.end()) {
      return std::nullopt;
    }
    most = std::max(most.value_or(0), known->second);
  }
  return most;
}

std::optional<problem> check_size(const routed_call& call,
                                  const configuration& current,
                                  const endpoint_memory& memory) {
  const auto* pools = std::get_if<pools_call>(&call.call);
  if (pools == nullptr) {
    return std::nullopt;
  }
  const auto most = memory.largest(current, call.to.decode_pool);
  const std::int64_t needed =
      static_cast<std::int64_t>(pools->prompt_tokens) + pools->max_tokens;
  if (!most || needed <= *most) {
    return std::nullopt;
  }
  return problem{content_too_large,
                 request_outcome::not_run,
                 reasons::too_large,
                 "no endpoint's memory holds the prompt and its answer",
                 {},
                 false};
}

}  // namespace citronwharf
