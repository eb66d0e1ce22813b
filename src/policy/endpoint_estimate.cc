#include "policy/endpoint_estimate.h"

#include <algorithm>

namespace citronwharf {
namespace {

constexpr double microseconds_per_second = 1e6;
// Used until a measurement or a load report is available.
constexpr double default_tokens_per_second = 10000;
constexpr duration default_token_interval = milliseconds(25);
// The time of shorter prompts is mostly fixed cost, not token throughput.
constexpr std::int32_t min_measured_prompt_tokens = 256;
constexpr double speed_smoothing_factor = 0.2;
constexpr std::int32_t max_doublings = 16;
constexpr std::size_t max_unreported_requests = 1024;

}  // namespace

void endpoint_estimate::observe(const endpoint_load& load, time_point now) {
  if (load.incarnation != load_.incarnation && load_.incarnation != 0) {
    outstanding_tokens_ = 0;
    outstanding_requests_ = 0;
    discard_reported(now);
  }
  load_ = load;
  observed_at_ = now;
  discard_reported(now - report_lag_);
}

void endpoint_estimate::sent(std::int32_t tokens, time_point now) {
  outstanding_tokens_ += tokens;
  ++outstanding_requests_;
  unreported_requests_.push_back({now, tokens});
  unreported_tokens_ += tokens;
  if (unreported_requests_.size() > max_unreported_requests) {
    discard_reported(unreported_requests_.front().at);
  }
}

void endpoint_estimate::discard_reported(time_point sent_until) {
  while (!unreported_requests_.empty() &&
         unreported_requests_.front().at <= sent_until) {
    unreported_tokens_ -= unreported_requests_.front().tokens;
    unreported_requests_.pop_front();
  }
}

void endpoint_estimate::ended(std::int32_t tokens) {
  outstanding_tokens_ = std::max<std::int64_t>(0, outstanding_tokens_ - tokens);
  outstanding_requests_ = std::max(0, outstanding_requests_ - 1);
  const auto match = std::find_if(
      unreported_requests_.begin(), unreported_requests_.end(),
      [tokens](const sent_request& each) { return each.tokens == tokens; });
  if (match == unreported_requests_.end()) return;
  unreported_tokens_ -= tokens;
  unreported_requests_.erase(match);
}

void endpoint_estimate::failed(const suspension_limits& limits,
                               time_point now) {
  const std::int32_t doublings = std::min(consecutive_failures_, max_doublings);
  const duration suspension = limits.initial * (1LL << doublings);
  suspended_until_ = now + std::min(suspension, limits.max_duration);
  ++consecutive_failures_;
}

void endpoint_estimate::succeeded() {
  consecutive_failures_ = 0;
  suspended_until_ = time_point{};
}

void endpoint_estimate::measured(std::int32_t prompt_tokens,
                                 duration run_time) {
  if (prompt_tokens < min_measured_prompt_tokens ||
      run_time <= duration::zero())
    return;
  const double speed = prompt_tokens * microseconds_per_second /
                       static_cast<double>(run_time.count());
  if (measured_tokens_per_second_ <= 0) {
    measured_tokens_per_second_ = speed;
  } else {
    measured_tokens_per_second_ +=
        speed_smoothing_factor * (speed - measured_tokens_per_second_);
  }
}

bool endpoint_estimate::usable(time_point now) const {
  if (!reachable_ || load_.leaving) return false;
  if (consecutive_failures_ == 0) return true;
  return now >= suspended_until_ && outstanding_requests_ == 0;
}

std::int32_t endpoint_estimate::reported_load() const {
  return load_.waiting + load_.running;
}

duration endpoint_estimate::predicted_wait(time_point now) const {
  const duration age = now - observed_at_;
  const duration reported = from_microseconds(load_.queue_delay_us);
  const duration remaining = std::max(duration::zero(), reported - age);
  if (role_ == endpoint_role::prefill) {
    const duration outstanding_time =
        processing_time(static_cast<double>(outstanding_tokens_));
    const auto unreported = static_cast<double>(unreported_tokens_);
    return std::max(remaining + processing_time(unreported), outstanding_time);
  }
  const auto unreported =
      static_cast<std::int32_t>(unreported_requests_.size());
  const std::int32_t free_pieces = load_.pieces_free - unreported;
  if (load_.pieces_total == 0 || free_pieces > 0) return remaining;
  return std::max(remaining, from_microseconds(load_.token_interval_us));
}

duration endpoint_estimate::predicted_run(std::int32_t prompt_tokens,
                                          std::int32_t max_tokens) const {
  if (role_ == endpoint_role::prefill) return processing_time(prompt_tokens);
  if (role_ == endpoint_role::plain) return duration::zero();
  const duration reported = from_microseconds(load_.token_interval_us);
  const bool known = reported > duration::zero();
  const duration interval = known ? reported : default_token_interval;
  // Requests that the report does not include yet enlarge the batch.
  const auto unreported = static_cast<double>(unreported_requests_.size());
  const double growth = 1 + unreported / (1.0 + load_.running);
  const double run_time =
      static_cast<double>(interval.count()) * growth * max_tokens;
  return duration(static_cast<duration::rep>(run_time));
}

double endpoint_estimate::tokens_per_second() const {
  if (measured_tokens_per_second_ > 0) return measured_tokens_per_second_;
  if (load_.tokens_per_second > 0) return load_.tokens_per_second;
  return default_tokens_per_second;
}

duration endpoint_estimate::processing_time(double tokens) const {
  const double span = tokens / tokens_per_second() * microseconds_per_second;
  return duration(static_cast<duration::rep>(span));
}

}  // namespace citronwharf
