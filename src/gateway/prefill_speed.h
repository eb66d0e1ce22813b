/// Estimates how long the engines of a service take to prefill a prompt, from
/// measured prefills.
#ifndef CITRONWHARF_GATEWAY_PREFILL_SPEED_H_
#define CITRONWHARF_GATEWAY_PREFILL_SPEED_H_

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace citronwharf {

struct prefill_speed_options {
  /// Assumed until there are enough samples: a large model on one accelerator.
  duration initial_latency = milliseconds(40);
  double initial_s_per_token = 20e-6;
  /// Width of a bucket of prompt sizes.
  std::int64_t bucket_tokens = 1000;
  /// The shortest time of a bucket grows by this share with each further
  /// sample, since engines may become slower.
  double decay_per_sample = 0.02;
};

/// A least-squares line through the shortest times of each bucket of prompt
/// sizes; longer times include queueing. Designed for this load: engines whose
/// latency and speed are unknown and differ by a factor of fifty between
/// models.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class prefill_speed {
 public:
  explicit prefill_speed(prefill_speed_options options);

  /// Adds a prefill that took `span`, including any time in the queue.
  /// Precondition: both are positive.
  void add_sample(std::int64_t tokens, duration span);

  /// Returns the part of a prefill that does not depend on the prompt.
  duration latency() const { return latency_; }
  double s_per_token() const { return s_per_token_; }
  /// Returns the time for a prompt at an engine without a queue.
  duration predict(std::int64_t tokens) const;

 private:
  struct bucket {
    double tokens = 0;
    double span_s = 0;
  };

  void fit();

  prefill_speed_options options_;
  duration latency_;
  double s_per_token_;
  std::map<std::int64_t, bucket> buckets_;  // by tokens / bucket_tokens
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_PREFILL_SPEED_H_
