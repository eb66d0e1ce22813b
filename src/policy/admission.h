/// Admission control: whether a request that would wait in a fair queue can
/// meet its target.
#ifndef CITRONWHARF_POLICY_ADMISSION_H_
#define CITRONWHARF_POLICY_ADMISSION_H_

#include <string>

#include "base/clock.h"
#include "policy/fair_queue.h"

namespace citronwharf {

struct admission_options {
  duration averaging_window = seconds(2);  ///< of the service rate
  /// A request is refused when its predicted wait exceeds this multiple of its
  /// slack. Above 1, since predictions err and slots may free up earlier.
  double tolerance = 1.5;
};

struct admission_decision {
  bool admitted = true;
  duration predicted_wait{};
  duration retry_after{};  ///< if refused: until the wait fits the slack
};

/// Measures the service rate of a queue and predicts from it how long an
/// organisation's next item waits, given the organisation's share. Performs no
/// I/O and reads no clock; the caller passes `now`. Not thread-safe.
class admission {
 public:
  explicit admission(admission_options options) : options_(options) {}

  /// Records that service of `cost` began; `others_wait` tells whether items
  /// remain in the queue. Only spans with waiting items count, since the rate
  /// of an idle server says nothing about its capacity. Precondition: `now`
  /// does not go back.
  void record_service(double cost, bool others_wait, time_point now);
  /// Decides whether to admit an item that may wait for `slack`.
  admission_decision decide(const fair_queue& queue, const queue_item& item,
                            duration slack) const;
  /// Returns the measured rate in cost per second, 0 while too little is known.
  double rate() const;

 private:
  admission_options options_;
  double recorded_cost_ = 0;     // decays over options_.averaging_window
  double recorded_seconds_ = 0;  // with backlog; decays likewise
  time_point recorded_at_{};
  bool backlogged_ = false;  // since recorded_at_
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ADMISSION_H_
