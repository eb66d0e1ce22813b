#include "control/freshness.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace citronwharf {

void freshness::answered(const freshness_answer& answer, time_point sent,
                         time_point now) {
  for (auto known = answers_.begin(); known != answers_.end();) {
    const bool expired = known->second.sent + lease_ <= now;
    known = expired ? answers_.erase(known) : std::next(known);
  }
  if (answer.replica.empty() || answer.voters.empty() || sent + lease_ <= now) {
    return;
  }
  const auto known = answers_.find(answer.replica);
  if (known == answers_.end() || known->second.sent <= sent) {
    answers_[answer.replica] = {answer, sent};
  }
}

// Returns the send time that a majority of `voters`, among those counted,
// answered after.
std::optional<time_point> freshness::majority_since(
    const group& voters, const group& counted, std::uint64_t version) const {
  std::vector<time_point> sent;
  for (const auto& [replica, known] : answers_) {
    if (voters.count(replica) != 0 && counted.count(replica) != 0 &&
        known.answer.newest_version <= version) {
      sent.push_back(known.sent);
    }
  }
  const std::size_t majority = voters.size() / 2 + 1;
  if (sent.size() < majority) {
    return std::nullopt;
  }
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return sent[majority - 1];
}

// Counts the answers of the candidate's voters alone. Every group that one of
// them names needs a majority.
std::optional<time_point> freshness::since_by_group(
    const group& candidate, std::uint64_t version) const {
  std::optional<time_point> since =
      majority_since(candidate, candidate, version);
  for (const auto& [replica, known] : answers_) {
    if (candidate.count(replica) == 0 ||
        known.answer.newest_version > version) {
      continue;
    }
    const auto other = majority_since(known.answer.voters, candidate, version);
    since =
        since && other ? std::optional(std::min(*since, *other)) : std::nullopt;
  }
  return since;
}

std::optional<time_point> freshness::fresh_until(std::uint64_t version) const {
  std::optional<time_point> best;
  for (const auto& [replica, known] : answers_) {
    const auto since = since_by_group(known.answer.voters, version);
    if (since && (!best || *since > *best)) {
      best = since;
    }
  }
  return best ? std::optional(*best + lease_) : std::nullopt;
}

}  // namespace citronwharf
