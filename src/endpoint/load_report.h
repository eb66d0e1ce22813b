/// Rates learned from the engine's work, and predictions from them.
#ifndef CITRONWHARF_ENDPOINT_LOAD_REPORT_H_
#define CITRONWHARF_ENDPOINT_LOAD_REPORT_H_

#include <cstdint>

#include "base/clock.h"

namespace citronwharf {

/// Learns how fast the engine is, by exponentially weighted means. Before the
/// first measurement it assumes the rates given. No I/O. One thread.
class load_report {
 public:
  /// A prefill of `tokens` took `run`.
  void prefilled(std::int32_t tokens, duration run);
  /// `tokens` came `gap` after the token before them.
  void generated(std::int32_t tokens, duration gap);
  /// A plain call took `run`.
  void called(duration run);

  /// Returns the predicted time for prompts of `tokens` in sum.
  duration prefill_time(double tokens) const;
  /// Returns the predicted time for `tokens` of one stream.
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
