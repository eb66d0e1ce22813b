#include "policy/fair_share.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {
namespace {

constexpr double min_weight = 1e-6;
// An organisation is discarded after this many averaging windows without items.
constexpr int retention_windows = 8;
constexpr double max_credit = 2;
// A level above this multiple of the highest demand limits no organisation and
// is reset.
constexpr double max_level_factor = 1.2;
constexpr double max_retry_after_s = 60;

}  // namespace

double fair_share::rate_at(const offered_load& load, time_point now) const {
  const double elapsed_windows =
      to_seconds(now - load.updated_at) / to_seconds(options_.averaging_window);
  return load.rate * std::exp(-elapsed_windows);
}

// Returns the highest offered rate per weight and discards organisations that
// have sent nothing for `retention_windows`.
double fair_share::highest_demand(time_point now) {
  double highest = 0;
  for (auto each = loads_.begin(); each != loads_.end();) {
    if (now - each->second.updated_at >
        options_.averaging_window * retention_windows) {
      each = loads_.erase(each);
      continue;
    }
    highest =
        std::max(highest, rate_at(each->second, now) / each->second.weight);
    ++each;
  }
  return highest;
}

void fair_share::record_outcome(bool had_capacity, time_point now) {
  highest_demand_ = highest_demand(now);
  if (admission_level_ <= 0 && !had_capacity)
    admission_level_ = highest_demand_ * max_level_factor;
  admission_level_ *=
      had_capacity ? 1 + options_.increase : 1 - options_.decrease;
  if (admission_level_ > highest_demand_ * max_level_factor)
    admission_level_ = 0;
}

share_decision fair_share::offer(const std::string& organisation, double weight,
                                 double cost, time_point now) {
  const auto inserted = loads_.try_emplace(organisation);
  offered_load& load = inserted.first->second;
  if (inserted.second) load.credit = 1;
  load.weight = std::max(weight, min_weight);
  load.rate = rate_at(load, now) + cost / to_seconds(options_.averaging_window);
  load.updated_at = now;
  const double allowed = admission_level_ * load.weight;
  const double share =
      admission_level_ > 0 ? std::min(1.0, allowed / load.rate) : 1;
  load.credit = std::min(load.credit + share, max_credit);
  share_decision decision;
  if (share >= 1 || load.credit >= 1) {
    load.credit = std::max(0.0, load.credit - 1);
    return decision;
  }
  decision.admitted = false;
  const double wait =
      std::min(cost * (1 - load.credit) / allowed, max_retry_after_s);
  decision.retry_after = from_seconds(wait);
  return decision;
}

}  // namespace citronwharf
