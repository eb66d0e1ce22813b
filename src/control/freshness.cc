#include "control/freshness.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace citronwharf {

void freshness::add_answer(const freshness_answer& answer, time_point sent,
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

// Returns the latest time t such that a majority of `voters`, counting only
// `counted_replicas`, replied to polls sent at t or later.
std::optional<time_point> freshness::majority_confirmed_since(
    const group& voters, const group& counted_replicas,
    std::uint64_t version) const {
  std::vector<time_point> sent;
  for (const auto& [replica, known] : answers_) {
    if (voters.count(replica) != 0 && counted_replicas.count(replica) != 0 &&
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

// Counts only answers of the candidate group's voters. Every group that one of
// these answers names needs a majority among them.
std::optional<time_point> freshness::group_confirmed_since(
    const group& candidate, std::uint64_t version) const {
  std::optional<time_point> since =
      majority_confirmed_since(candidate, candidate, version);
  for (const auto& [replica, known] : answers_) {
    if (candidate.count(replica) == 0 ||
        known.answer.newest_version > version) {
      continue;
    }
    const auto other_since =
        majority_confirmed_since(known.answer.voters, candidate, version);
    since = since && other_since ? std::optional(std::min(*since, *other_since))
                                 : std::nullopt;
  }
  return since;
}

std::optional<time_point> freshness::fresh_until(std::uint64_t version) const {
  std::optional<time_point> best;
  for (const auto& [replica, known] : answers_) {
    const auto since = group_confirmed_since(known.answer.voters, version);
    if (since && (!best || *since > *best)) {
      best = since;
    }
  }
  return best ? std::optional(*best + lease_) : std::nullopt;
}

}  // namespace citronwharf
