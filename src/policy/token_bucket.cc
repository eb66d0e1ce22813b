#include "policy/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {
namespace {

constexpr double microseconds_per_second = 1e6;
// Bound of the rounding error of summed doubles.
constexpr double rounding_tolerance_tokens = 1e-6;
// Longer waits are reported as duration::max().
constexpr double max_finite_wait_us = 1e15;

}  // namespace

token_bucket::token_bucket(allowance limit, double tokens, time_point now)
    : limit_(limit),
      tokens_(std::min(tokens, limit.burst_tokens)),
      accrued_until_(now) {}

void token_bucket::accrue(time_point now) {
  if (now <= accrued_until_) return;
  const auto span = static_cast<double>((now - accrued_until_).count());
  const double gained =
      limit_.tokens_per_second * span / microseconds_per_second;
  tokens_ = std::min(limit_.burst_tokens, tokens_ + gained);
  accrued_until_ = now;
}

void token_bucket::set_limit(allowance limit, time_point now) {
  accrue(now);
  limit_ = limit;
  tokens_ = std::min(tokens_, limit.burst_tokens);
}

bool token_bucket::take(double tokens, time_point now) {
  accrue(now);
  if (tokens > tokens_ + rounding_tolerance_tokens) return false;
  tokens_ -= tokens;
  return true;
}

void token_bucket::put_back(double tokens, time_point now) {
  accrue(now);
  tokens_ = std::min(limit_.burst_tokens, tokens_ + std::max(tokens, 0.0));
}

double token_bucket::available(time_point now) {
  accrue(now);
  return tokens_;
}

duration token_bucket::wait_for(double tokens, time_point now) {
  accrue(now);
  const double shortfall = tokens - tokens_;
  if (shortfall <= rounding_tolerance_tokens) return duration::zero();
  const bool never = tokens > limit_.burst_tokens + rounding_tolerance_tokens ||
                     limit_.tokens_per_second <= 0;
  if (never) return duration::max();
  const double wait_us =
      std::ceil(shortfall / limit_.tokens_per_second * microseconds_per_second);
  if (wait_us > max_finite_wait_us) return duration::max();
  return duration(static_cast<duration::rep>(wait_us));
}

}  // namespace citronwharf
