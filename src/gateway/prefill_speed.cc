#include "gateway/prefill_speed.h"

#include <algorithm>

namespace citronwharf {
namespace {

// A line through fewer sizes, or sizes closer together than this, says little.
constexpr std::size_t min_buckets = 3;
constexpr std::int64_t min_spread_buckets = 3;

}  // namespace

prefill_speed::prefill_speed(prefill_speed_options options)
    : options_(options),
      latency_(options.initial_latency),
      s_per_token_(options.initial_s_per_token) {}

duration prefill_speed::predict(std::int64_t tokens) const {
  return latency_ + from_seconds(s_per_token_ * static_cast<double>(tokens));
}

void prefill_speed::take(std::int64_t tokens, duration span) {
  const double span_s = to_seconds(span);
  shortest& of = buckets_[tokens / options_.bucket_tokens];
  of.span_s *= 1 + options_.forget_share;
  if (of.span_s == 0 || span_s < of.span_s) {
    of = {static_cast<double>(tokens), span_s};
  }
  fit();
}

// Least squares over the buckets.
void prefill_speed::fit() {
  if (buckets_.size() < min_buckets ||
      buckets_.rbegin()->first - buckets_.begin()->first < min_spread_buckets) {
    return;
  }
  const auto count = static_cast<double>(buckets_.size());
  double mean_tokens = 0;
  double mean_span_s = 0;
  for (const auto& [size, each] : buckets_) {
    mean_tokens += each.tokens / count;
    mean_span_s += each.span_s / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [size, each] : buckets_) {
    const double off = each.tokens - mean_tokens;
    covariance += off * (each.span_s - mean_span_s);
    variance += off * off;
  }
  const double slope = covariance / variance;
  if (slope <= 0) {
    return;  // queues hide the speed for the moment
  }
  // No engine reads faster than the line through zero that lies below all.
  s_per_token_ = std::min(slope, mean_span_s / mean_tokens);
  latency_ = std::max(duration{},
                      from_seconds(mean_span_s - s_per_token_ * mean_tokens));
}

}  // namespace citronwharf
