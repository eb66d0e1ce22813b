#include "entry/place.h"

#include <algorithm>

namespace citronwharf {
namespace {

constexpr int content_too_large = 413;
constexpr std::uint64_t fnv_offset = 14695981039346656037U;
constexpr std::uint64_t fnv_prime = 1099511628211U;

std::uint64_t hash_bytes(std::uint64_t hash, const std::string& text,
                         std::size_t limit) {
  for (std::size_t index = 0; index < std::min(text.size(), limit); ++index) {
    hash = (hash ^ static_cast<unsigned char>(text[index])) * fnv_prime;
  }
  return hash;
}

}  // namespace

std::uint64_t prefix_hash(const std::string& model, const std::string& prompt) {
  const std::uint64_t hash =
      hash_bytes(hash_bytes(fnv_offset, model, model.size()), prompt,
                 affinity_prefix_bytes);
  return std::max<std::uint64_t>(hash, 1);
}

void endpoint_memory::observe(const std::string& endpoint,
                              const endpoint_load& load) {
  const std::int64_t tokens =
      static_cast<std::int64_t>(load.pieces_total) * load.piece_tokens;
  if (tokens > 0) {
    capacities_[endpoint] = tokens;
  }
}

std::optional<std::int64_t> endpoint_memory::largest_capacity(
    const configuration& current, const std::string& pool) const {
  std::optional<std::int64_t> largest;
  for (const endpoint& one : current.endpoints) {
    if (one.pool != pool || one.draining) {
      continue;
    }
    const auto found = capacities_.find(one.name);
    if (found == capacities_.end()) {
      return std::nullopt;
    }
    largest = std::max(largest.value_or(0), found->second);
  }
  return largest;
}

std::optional<problem> check_size(const routed_call& call,
                                  const configuration& current,
                                  const endpoint_memory& memory) {
  const auto* pools = std::get_if<pools_call>(&call.call);
  if (pools == nullptr) {
    return std::nullopt;
  }
  const auto capacity = memory.largest_capacity(current, call.to.decode_pool);
  const std::int64_t needed =
      static_cast<std::int64_t>(pools->prompt_tokens) + pools->max_tokens;
  if (!capacity || needed <= *capacity) {
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
