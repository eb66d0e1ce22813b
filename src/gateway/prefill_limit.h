/// How long a gateway waits for a prefill engine before the decode engine
/// prefills the prompt itself.
#ifndef CITRONWHARF_GATEWAY_PREFILL_LIMIT_H_
#define CITRONWHARF_GATEWAY_PREFILL_LIMIT_H_

#include <algorithm>

#include "base/clock.h"

namespace citronwharf {

/// A prefill that exceeds the predicted time by this much is given up.
constexpr duration prefill_grace = milliseconds(400);
constexpr duration min_prefill_timeout = milliseconds(450);

struct prefill_limit {
  duration span{};  ///< until the prefill is given up
  /// No slowness that is known explains the delay. If false, the caller's time
  /// runs out while the engine may still be busy with the prompt.
  bool is_fault = true;
};

/// `predicted` is the time that the prefill takes, and `late` the time that it
/// may take beside a busy neighbour, zero if that isn't known. `caller_left` is
/// the time until another engine has to begin for the caller to get an answer.
inline prefill_limit limit_prefill(duration predicted, duration late,
                                   duration caller_left) {
  prefill_limit out;
  const duration usual =
      std::max(min_prefill_timeout, predicted + prefill_grace);
  const duration slowed = std::max(usual, late + prefill_grace);
  out.span = std::max(usual, std::min(slowed, caller_left));
  out.is_fault = out.span == slowed;
  return out;
}

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_PREFILL_LIMIT_H_
