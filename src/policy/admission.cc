#include "policy/admission.h"

#include <algorithm>

namespace citronwharf {
namespace {

constexpr double least_known_span = 0.25;  // seconds
constexpr duration longest_wait = seconds(60);

duration bounded_wait(double span) {
  return from_seconds(std::clamp(span, 0.0, to_seconds(longest_wait)));
}

}  // namespace

void admission::served(double cost, bool more, time_point now) {
  if (backlogged_) {
    cost_ += cost;
    span_ += to_seconds(now - at_);
  }
  const double memory = to_seconds(options_.memory);
  if (span_ > memory) {
    cost_ *= memory / span_;
    span_ = memory;
  }
  at_ = now;
  backlogged_ = more;
}

double admission::rate() const {
  return span_ < least_known_span ? 0 : cost_ / span_;
}

admission_decision admission::decide(const fair_queue& queue,
                                     const queue_item& item,
                                     duration slack) const {
  admission_decision made;
  const double known_rate = rate();
  if (known_rate <= 0 || queue.size() == 0) return made;
  const bool waits = queue.size_of(item.organisation) > 0;
  const double others = queue.waiting_weight() - (waits ? item.weight : 0);
  const double share = item.weight / (std::max(0.0, others) + item.weight);
  const double ahead = queue.waiting_cost_of(item.organisation) + item.cost;
  made.predicted_wait = bounded_wait(ahead / (known_rate * share));
  const duration allowed = bounded_wait(to_seconds(slack) * options_.tolerance);
  if (made.predicted_wait <= allowed) return made;
  made.admitted = false;
  made.retry_after = made.predicted_wait - std::max(slack, duration::zero());
  return made;
}

}  // namespace citronwharf
