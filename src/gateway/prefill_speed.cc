#include "gateway/prefill_speed.h"

#include <algorithm>

namespace citronwharf {
namespace {

// Minimum number of buckets, and distance between the smallest and the largest,
// for a meaningful fit.
constexpr std::size_t min_buckets = 3;
constexpr std::int64_t min_bucket_distance = 3;

}  // namespace

prefill_speed::prefill_speed(prefill_speed_options options)
    : options_(options),
      latency_(options.initial_latency),
      s_per_token_(options.initial_s_per_token) {}

duration prefill_speed::predict(std::int64_t tokens) const {
  return latency_ + from_seconds(s_per_token_ * static_cast<double>(tokens));
}

void prefill_speed::add_sample(std::int64_t tokens, duration span) {
  const double span_s = to_seconds(span);
  bucket& fastest = buckets_[tokens / options_.bucket_tokens];
  fastest.span_s *= 1 + options_.decay_per_sample;
  if (fastest.span_s == 0 || span_s < fastest.span_s) {
    fastest = {static_cast<double>(tokens), span_s};
  }
  fit();
}

// Fits a least-squares line to the buckets.
void prefill_speed::fit() {
  if (buckets_.size() < min_buckets ||
      buckets_.rbegin()->first - buckets_.begin()->first <
          min_bucket_distance) {
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
    const double deviation = each.tokens - mean_tokens;
    covariance += deviation * (each.span_s - mean_span_s);
    variance += deviation * deviation;
  }
  const double slope = covariance / variance;
  if (slope <= 0) {
    return;  // queueing hides the speed for now
  }
  // A fit with a negative latency would overestimate the time per token; the
  // slope is bounded by that of the line through the origin and the means.
  s_per_token_ = std::min(slope, mean_span_s / mean_tokens);
  latency_ = std::max(duration{},
                      from_seconds(mean_span_s - s_per_token_ * mean_tokens));
}

}  // namespace citronwharf
