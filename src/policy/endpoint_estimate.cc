#include "policy/endpoint_estimate.h"

#include <algorithm>

namespace citronwharf {
namespace {

constexpr double microseconds_per_second = 1e6;
// Taken until a measurement or a report says otherwise.
constexpr double assumed_tokens_per_second = 10000;
constexpr duration assumed_token_interval = milliseconds(25);
// Shorter runs are mostly fixed cost and say little of the speed.
constexpr std::int32_t least_measured_tokens = 256;
constexpr double new_measurement_weight = 0.2;
constexpr std::int32_t longest_doubling = 16;
constexpr std::size_t most_unreported = 1024;

}  // namespace

void endpoint_estimate::observe(const endpoint_load& load, time_point now) {
  if (load.incarnation != load_.incarnation && load_.incarnation != 0) {
    outstanding_ = 0;
    requests_ = 0;
    forget_reported(now);
  }
  load_ = load;
  observed_at_ = now;
  forget_reported(now - lag_);
}

void endpoint_estimate::sent(std::int32_t tokens, time_point now) {
  outstanding_ += tokens;
  ++requests_;
  unreported_.push_back({now, tokens});
  unreported_tokens_ += tokens;
  if (unreported_.size() > most_unreported) {
    forget_reported(unreported_.front().at);
  }
}

void endpoint_estimate::forget_reported(time_point until) {
  while (!unreported_.empty() && unreported_.front().at <= until) {
    unreported_tokens_ -= unreported_.front().tokens;
    unreported_.pop_front();
  }
}

void endpoint_estimate::ended(std::int32_t tokens) {
  outstanding_ = std::max<std::int64_t>(0, outstanding_ - tokens);
  requests_ = std::max(0, requests_ - 1);
  const auto same = std::find_if(
      unreported_.begin(), unreported_.end(),
      [tokens](const sending& each) { return each.tokens == tokens; });
  if (same == unreported_.end()) return;
  unreported_tokens_ -= tokens;
  unreported_.erase(same);
}

void endpoint_estimate::failed(const suspension_limits& limits,
                               time_point now) {
  const std::int32_t doublings = std::min(failures_, longest_doubling);
  const duration wait = limits.first * (1LL << doublings);
  suspended_until_ = now + std::min(wait, limits.longest);
  ++failures_;
}

void endpoint_estimate::succeeded() {
  failures_ = 0;
  suspended_until_ = time_point{};
}

void endpoint_estimate::measured(std::int32_t prompt_tokens, duration run) {
  if (prompt_tokens < least_measured_tokens || run <= duration::zero()) return;
  const double speed = prompt_tokens * microseconds_per_second /
                       static_cast<double>(run.count());
  if (measured_speed_ <= 0) {
    measured_speed_ = speed;
  } else {
    measured_speed_ += new_measurement_weight * (speed - measured_speed_);
  }
}

bool endpoint_estimate::usable(time_point now) const {
  if (!reachable_ || load_.leaving) return false;
  if (failures_ == 0) return true;
  return now >= suspended_until_ && requests_ == 0;
}

std::int32_t endpoint_estimate::reported_load() const {
  return load_.waiting + load_.running;
}

duration endpoint_estimate::predicted_wait(time_point now) const {
  const duration age = now - observed_at_;
  const duration reported = from_microseconds(load_.queue_delay_us);
  const duration left = std::max(duration::zero(), reported - age);
  if (role_ == endpoint_role::prefill) {
    const duration own = time_of(static_cast<double>(outstanding_));
    const auto newer = static_cast<double>(unreported_tokens_);
    return std::max(left + time_of(newer), own);
  }
  const auto newer = static_cast<std::int32_t>(unreported_.size());
  const std::int32_t free = load_.pieces_free - newer;
  if (load_.pieces_total == 0 || free > 0) return left;
  return std::max(left, from_microseconds(load_.token_interval_us));
}

duration endpoint_estimate::predicted_run(std::int32_t prompt_tokens,
                                          std::int32_t max_tokens) const {
  if (role_ == endpoint_role::prefill) return time_of(prompt_tokens);
  if (role_ == endpoint_role::plain) return duration::zero();
  const duration reported = from_microseconds(load_.token_interval_us);
  const bool known = reported > duration::zero();
  const duration interval = known ? reported : assumed_token_interval;
  // What the report does not tell of makes the batch larger.
  const auto newer = static_cast<double>(unreported_.size());
  const double growth = 1 + newer / (1.0 + load_.running);
  const double run =
      static_cast<double>(interval.count()) * growth * max_tokens;
  return duration(static_cast<duration::rep>(run));
}

double endpoint_estimate::tokens_per_second() const {
  if (measured_speed_ > 0) return measured_speed_;
  if (load_.tokens_per_second > 0) return load_.tokens_per_second;
  return assumed_tokens_per_second;
}

duration endpoint_estimate::time_of(double tokens) const {
  const double span = tokens / tokens_per_second() * microseconds_per_second;
  return duration(static_cast<duration::rep>(span));
}

}  // namespace citronwharf
