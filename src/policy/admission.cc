#include "policy/admission.h"

#include <algorithm>

namespace citronwharf {
namespace {

constexpr double min_recorded_seconds = 0.25;
constexpr duration max_predicted_wait = seconds(60);

duration bounded_wait(double wait_seconds) {
  return from_seconds(
      std::clamp(wait_seconds, 0.0, to_seconds(max_predicted_wait)));
}

}  // namespace

void admission::record_service(double cost, bool others_wait, time_point now) {
  if (backlogged_) {
    recorded_cost_ += cost;
    recorded_seconds_ += to_seconds(now - recorded_at_);
  }
  const double averaging_window = to_seconds(options_.averaging_window);
  if (recorded_seconds_ > averaging_window) {
    recorded_cost_ *= averaging_window / recorded_seconds_;
    recorded_seconds_ = averaging_window;
  }
  recorded_at_ = now;
  backlogged_ = others_wait;
}

double admission::rate() const {
  return recorded_seconds_ < min_recorded_seconds
             ? 0
             : recorded_cost_ / recorded_seconds_;
}

admission_decision admission::decide(const fair_queue& queue,
                                     const queue_item& item,
                                     duration slack) const {
  admission_decision decision;
  const double service_rate = rate();
  if (service_rate <= 0 || queue.size() == 0) return decision;
  const bool has_waiting = queue.size_of(item.organisation) > 0;
  const double other_weight =
      queue.waiting_weight() - (has_waiting ? item.weight : 0);
  const double share =
      item.weight / (std::max(0.0, other_weight) + item.weight);
  const double cost_including_item =
      queue.waiting_cost_of(item.organisation) + item.cost;
  decision.predicted_wait =
      bounded_wait(cost_including_item / (service_rate * share));
  const duration allowed_wait =
      bounded_wait(to_seconds(slack) * options_.tolerance);
  if (decision.predicted_wait <= allowed_wait) return decision;
  decision.admitted = false;
  decision.retry_after =
      decision.predicted_wait - std::max(slack, duration::zero());
  return decision;
}

}  // namespace citronwharf
