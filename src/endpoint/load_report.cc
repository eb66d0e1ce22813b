#include "endpoint/load_report.h"

#include <algorithm>

namespace citronwharf {
namespace {

constexpr double new_sample_weight = 0.2;
constexpr double microseconds_per_second = 1e6;

duration update_average(duration average, duration measured) {
  return duration(static_cast<std::int64_t>(
      (1 - new_sample_weight) * static_cast<double>(average.count()) +
      new_sample_weight * static_cast<double>(measured.count())));
}

}  // namespace

void rate_estimator::record_prefill(std::int32_t tokens, duration run_time) {
  const double run_seconds =
      std::max(1.0, static_cast<double>(run_time.count())) /
      microseconds_per_second;
  prefill_rate_ = (1 - new_sample_weight) * prefill_rate_ +
                  new_sample_weight * std::max(1, tokens) / run_seconds;
}

void rate_estimator::record_tokens(std::int32_t tokens, duration gap) {
  if (tokens > 0) {
    token_interval_ = update_average(token_interval_, gap / tokens);
  }
}

void rate_estimator::record_plain_call(duration run_time) {
  call_time_ = update_average(call_time_, run_time);
}

duration rate_estimator::prefill_time(double tokens) const {
  return duration(static_cast<std::int64_t>(tokens / prefill_rate_ *
                                            microseconds_per_second));
}

duration rate_estimator::decode_time(std::int32_t tokens) const {
  return token_interval_ * std::max(0, tokens);
}

}  // namespace citronwharf
