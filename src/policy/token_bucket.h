/// A token bucket: grants at most rate * t + burst tokens in any interval of
/// length t.
#ifndef CITRONWHARF_POLICY_TOKEN_BUCKET_H_
#define CITRONWHARF_POLICY_TOKEN_BUCKET_H_

#include "base/clock.h"
#include "citronwharf/configuration.h"

namespace citronwharf {

/// Performs no I/O and reads no clock; the caller passes `now`, which does not
/// go back between calls (an earlier `now` counts as no time passed). Not
/// thread-safe.
class token_bucket {
 public:
  /// Starts with `tokens`, capped at the burst. Precondition: limit >= 0.
  token_bucket(allowance limit, double tokens, time_point now);

  /// Sets a new limit; accrued tokens are kept, capped at the new burst.
  void set_limit(allowance limit, time_point now);
  /// Takes `tokens` if all of them are available; returns whether it did.
  bool take(double tokens, time_point now);
  /// Returns tokens to the bucket, capped at the burst.
  void put_back(double tokens, time_point now);
  /// Returns the available tokens.
  double available(time_point now);
  /// Returns the time until `tokens` are available; duration::max() if they
  /// never are, because they exceed the burst or the rate is 0.
  duration wait_for(double tokens, time_point now);
  const allowance& limit() const { return limit_; }

 private:
  void accrue(time_point now);

  allowance limit_;
  double tokens_;
  time_point accrued_until_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_TOKEN_BUCKET_H_
