#include "control/proposal_table.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace citronwharf {

void proposal_table::add(const log_position& position, time_point deadline,
                         replica::proposal_done done) {
  pending_[position.index] = {position.term, deadline, std::move(done)};
}

void proposal_table::applied(const log_position& position,
                             nlohmann::json result) {
  const auto found = pending_.find(position.index);
  if (found == pending_.end()) {
    return;
  }
  const pending proposal = std::move(found->second);
  pending_.erase(found);
  if (proposal.term == position.term) {
    proposal.done(proposal_result{position.index, std::move(result)});
  } else {
    proposal.done(absl::AbortedError("another leader's entry took its place"));
  }
}

void proposal_table::end_unknown(std::uint64_t term_led, time_point now) {
  std::vector<std::pair<replica::proposal_done, absl::Status>> ended;
  for (auto at = pending_.begin(); at != pending_.end();) {
    pending& proposal = at->second;
    if (proposal.term != term_led) {
      ended.emplace_back(std::move(proposal.done),
                         absl::AbortedError("leader changed; outcome unknown"));
    } else if (proposal.deadline <= now) {
      ended.emplace_back(std::move(proposal.done),
                         absl::DeadlineExceededError("outcome unknown"));
    } else {
      ++at;
      continue;
    }
    at = pending_.erase(at);
  }
  for (auto& [done, why] : ended) {
    done(why);
  }
}

time_point proposal_table::next_deadline() const {
  time_point earliest = time_point::max();
  for (const auto& [index, proposal] : pending_) {
    earliest = std::min(earliest, proposal.deadline);
  }
  return earliest;
}

}  // namespace citronwharf
