#include "policy/fair_share.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {
namespace {

constexpr double least_weight = 1e-6;
// An organisation is forgotten after so many times the memory.
constexpr int forgotten_after = 8;
constexpr double most_credit = 2;
// A level of so many times the highest demand limits nobody.
constexpr double most_level = 1.2;
constexpr double longest_retry = 60;  // seconds

}  // namespace

double fair_share::rate_at(const offered& of, time_point now) const {
  const double gone = to_seconds(now - of.at) / to_seconds(options_.memory);
  return of.rate * std::exp(-gone);
}

// Returns the highest offered rate for a weight of 1, and forgets the silent.
double fair_share::highest_demand(time_point now) {
  double most = 0;
  for (auto each = offers_.begin(); each != offers_.end();) {
    if (now - each->second.at > options_.memory * forgotten_after) {
      each = offers_.erase(each);
      continue;
    }
    most = std::max(most, rate_at(each->second, now) / each->second.weight);
    ++each;
  }
  return most;
}

void fair_share::outcome(bool found_room, time_point now) {
  highest_ = highest_demand(now);
  if (level_ <= 0 && !found_room) level_ = highest_ * most_level;
  level_ *= found_room ? 1 + options_.rise : 1 - options_.fall;
  if (level_ > highest_ * most_level) level_ = 0;
}

share_decision fair_share::offer(const std::string& organisation, double weight,
                                 double cost, time_point now) {
  const auto made = offers_.try_emplace(organisation);
  offered& of = made.first->second;
  if (made.second) of.credit = 1;
  of.weight = std::max(weight, least_weight);
  of.rate = rate_at(of, now) + cost / to_seconds(options_.memory);
  of.at = now;
  const double allowed = level_ * of.weight;
  const double share = level_ > 0 ? std::min(1.0, allowed / of.rate) : 1;
  of.credit = std::min(of.credit + share, most_credit);
  share_decision decided;
  if (share >= 1 || of.credit >= 1) {
    of.credit = std::max(0.0, of.credit - 1);
    return decided;
  }
  decided.admitted = false;
  const double wait = std::min(cost * (1 - of.credit) / allowed, longest_retry);
  decided.retry_after = from_seconds(wait);
  return decided;
}

}  // namespace citronwharf
