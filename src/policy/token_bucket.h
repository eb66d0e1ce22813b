/// A token bucket: never gives more than rate * t + burst in any span t.
#ifndef CITRONWHARF_POLICY_TOKEN_BUCKET_H_
#define CITRONWHARF_POLICY_TOKEN_BUCKET_H_

#include "base/clock.h"
#include "citronwharf/configuration.h"

namespace citronwharf {

/// No I/O, no clock of its own; `now` never goes back between calls (earlier
/// readings count as no time passed). One thread.
class token_bucket {
 public:
  /// Starts with `tokens`, cut to the burst. Precondition: limit >= 0.
  token_bucket(allowance limit, double tokens, time_point now);

  /// Takes a new limit; what has accrued is kept, cut to the new burst.
  void set_limit(allowance limit, time_point now);
  /// Takes `tokens` if all of them are there.
  bool take(double tokens, time_point now);
  /// Puts tokens back, never over the burst.
  void put_back(double tokens, time_point now);
  /// Returns what is there.
  double available(time_point now);
  /// Returns the span until `tokens` are there; duration::max() when they
  /// never are: more than the burst, or no rate.
  duration wait_for(double tokens, time_point now);
  const allowance& limit() const { return limit_; }

 private:
  void accrue(time_point now);

  allowance limit_;
  double tokens_;
  time_point at_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_TOKEN_BUCKET_H_
