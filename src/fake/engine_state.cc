#include "fake/engine_state.h"

#include <algorithm>
#include <functional>

namespace citronwharf::fake {
namespace {

constexpr std::size_t max_events = 4096;

}  // namespace

const char* to_string(job_state state) {
  switch (state) {
    case job_state::queued:
      return "queued";
    case job_state::prefilling:
      return "prefilling";
    case job_state::exported:
      return "exported";
    case job_state::importing:
      return "importing";
    case job_state::running:
      return "running";
    case job_state::done:
      return "done";
  }
  return "";
}

bool piece_pool::take(job& holder, std::int32_t pieces) {
  if (pieces > free_) {
    return false;
  }
  free_ -= pieces;
  holder.pieces += pieces;
  return true;
}

void piece_pool::give_back(job& holder) {
  free_ += holder.pieces;
  holder.pieces = 0;
}

prefix_cache::prefix_cache(const engine_options& options)
    : max_blocks_(static_cast<std::size_t>(options.cache_tokens /
                                           options.piece_tokens)),
      block_tokens_(options.piece_tokens),
      delay_(options.cache_event_delay),
      gap_(options.cache_event_gap) {}

std::int32_t prefix_cache::use(const std::string& prompt,
                               std::int32_t prompt_tokens, time_point now) {
  if (prompt_tokens <= 0) {
    return 0;
  }
  const std::size_t bytes_per_block =
      std::max<std::size_t>(1, prompt.size() * block_tokens_ / prompt_tokens);
  std::int32_t cached = 0;
  bool leading = true;
  for (std::size_t end = bytes_per_block; end <= prompt.size();
       end += bytes_per_block) {
    const std::uint64_t block =
        std::hash<std::string_view>{}(std::string_view(prompt).substr(0, end));
    leading = leading && last_use_.count(block) > 0;
    cached += leading ? block_tokens_ : 0;
    if (last_use_.count(block) == 0) {
      add_event("stored", block, now);
    }
    last_use_[block] = ++uses_;
  }
  evict(now);
  return std::min(cached, prompt_tokens);
}

void prefix_cache::evict(time_point now) {
  while (last_use_.size() > max_blocks_) {
    const auto oldest = std::min_element(last_use_.begin(), last_use_.end(),
                                         [](const auto& lhs, const auto& rhs) {
                                           return lhs.second < rhs.second;
                                         });
    add_event("removed", oldest->first, now);
    last_use_.erase(oldest);
  }
}

void prefix_cache::add_event(const std::string& kind, std::uint64_t block,
                             time_point now) {
  ++sequence_;
  if (gap_ > 0 && sequence_ % static_cast<std::uint64_t>(gap_) == 0) {
    return;
  }
  events_.push_back({sequence_, kind, block, now + delay_});
  if (events_.size() > max_events) {
    events_.erase(events_.begin());
  }
}

nlohmann::json prefix_cache::events(std::uint64_t since, time_point now) const {
  nlohmann::json out = nlohmann::json::array();
  for (const event& one : events_) {
    if (one.sequence > since && one.out <= now) {
      out.push_back({{"sequence", one.sequence},
                     {"kind", one.kind},
                     {"block", one.block}});
    }
  }
  return out;
}

engine_fault fault_list::hit(const std::string& at) {
  for (engine_fault& fault : faults_) {
    if (fault.at == at && fault.count != 0) {
      fault.count -= fault.count > 0 ? 1 : 0;
      return fault;
    }
  }
  return {};
}

}  // namespace citronwharf::fake
