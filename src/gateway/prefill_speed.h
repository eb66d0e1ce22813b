/// How long the engines of a service take to read a prompt, learned from what
/// they did.
#ifndef CITRONWHARF_GATEWAY_PREFILL_SPEED_H_
#define CITRONWHARF_GATEWAY_PREFILL_SPEED_H_

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace citronwharf {

struct prefill_speed_options {
  /// Until enough is known; a large model on one accelerator.
  duration initial_latency = milliseconds(40);
  double initial_s_per_token = 20e-6;
  /// Prompts are told apart by their size in steps of so many tokens.
  std::int64_t bucket_tokens = 1000;
  /// The shortest span of a size is forgotten by this share with each further
  /// one, since engines may turn slower.
  double forget_share = 0.02;
};

/// A line through the shortest spans seen for each size of prompt: the longer
/// ones include a queue. Load it answers: engines whose latency and speed are
/// unknown and differ by a factor of fifty between models. No I/O, no clock of
/// its own. One thread.
class prefill_speed {
 public:
  explicit prefill_speed(prefill_speed_options options);

  /// An engine read a prompt within the span, its queue included.
  /// Precondition: both are positive.
  void take(std::int64_t tokens, duration span);

  /// Beside the reading of tokens.
  duration latency() const { return latency_; }
  double s_per_token() const { return s_per_token_; }
  /// Returns the span for a prompt at an engine without a queue.
  duration predict(std::int64_t tokens) const;

 private:
  struct shortest {
    double tokens = 0;
    double span_s = 0;
  };

  void fit();

  prefill_speed_options options_;
  duration latency_;
  double s_per_token_;
  std::map<std::int64_t, shortest> buckets_;  // by size
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_PREFILL_SPEED_H_
