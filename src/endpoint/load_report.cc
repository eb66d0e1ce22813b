#include "endpoint/load_report.h"

#include <algorithm>

namespace citronwharf {
namespace {

constexpr double new_share = 0.2;  ///< weight of the newest measurement
constexpr double microseconds_per_second = 1e6;

duration mix(duration known, duration measured) {
  return duration(static_cast<std::int64_t>(
      (1 - new_share) * static_cast<double>(known.count()) +
      new_share * static_cast<double>(measured.count())));
}

}  // namespace

void load_report::prefilled(std::int32_t tokens, duration run) {
  const double span =
      std::max(1.0, static_cast<double>(run.count())) / microseconds_per_second;
  prefill_rate_ =
      (1 - new_share) * prefill_rate_ + new_share * std::max(1, tokens) / span;
}

void load_report::generated(std::int32_t tokens, duration gap) {
  if (tokens > 0) {
    token_interval_ = mix(token_interval_, gap / tokens);
  }
}

void load_report::called(duration run) {
  call_time_ = mix(call_time_, run);
}

duration load_report::prefill_time(double tokens) const {
  return duration(static_cast<std::int64_t>(tokens / prefill_rate_ *
                                            microseconds_per_second));
}

duration load_report::decode_time(std::int32_t tokens) const {
  return token_interval_ * std::max(0, tokens);
}

}  // namespace citronwharf
