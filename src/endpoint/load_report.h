/// Estimates the engine's processing rates and predicts run times from them.
#ifndef CITRONWHARF_ENDPOINT_LOAD_REPORT_H_
#define CITRONWHARF_ENDPOINT_LOAD_REPORT_H_

#include <cstdint>

#include "base/clock.h"

namespace citronwharf {

/// Exponentially weighted moving averages of the measured rates. The initial
/// values of the members apply before the first measurement. Performs no I/O.
/// Not thread-safe.
class rate_estimator {
 public:
  /// Records that a prefill of `tokens` took `run_time`.
  void record_prefill(std::int32_t tokens, duration run_time);
  /// Records `tokens` that arrived `gap` after the previous token.
  void record_tokens(std::int32_t tokens, duration gap);
  /// Records that a plain call took `run_time`.
  void record_plain_call(duration run_time);

  /// Returns the predicted time to prefill prompts of `tokens` in total.
  duration prefill_time(double tokens) const;
  /// Returns the predicted time to decode `tokens` of one stream.
  duration decode_time(std::int32_t tokens) const;
  duration call_time() const { return call_time_; }
  double prefill_rate() const { return prefill_rate_; }  ///< tokens/s
  duration token_interval() const { return token_interval_; }

 private:
  double prefill_rate_ = 20000;
  duration token_interval_ = milliseconds(20);
  duration call_time_ = milliseconds(5);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_LOAD_REPORT_H_
