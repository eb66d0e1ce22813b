/// Whether a request that would wait in a fair queue can meet its target.
#ifndef CITRONWHARF_POLICY_ADMISSION_H_
#define CITRONWHARF_POLICY_ADMISSION_H_

#include <string>

#include "base/clock.h"
#include "policy/fair_queue.h"

namespace citronwharf {

struct admission_options {
  duration memory = seconds(2);  ///< over which the service rate is learned
  /// A request is refused when its predicted wait is longer than this many
  /// times its slack; above 1, since predictions err and slots get free.
  double tolerance = 1.5;
};

struct admission_decision {
  bool admitted = true;
  duration predicted_wait{};
  duration retry_after{};  ///< when refused: until the wait fits the slack
};

/// Learns how fast a queue is served, and predicts from it how long an
/// organisation's next item waits, given its share. No I/O, no clock of its
/// own. One thread.
class admission {
 public:
  explicit admission(admission_options options) : options_(options) {}

  /// Service of `cost` began; `more` tells whether others still wait. Only
  /// spans in which some waited count, since an idle server's rate says
  /// nothing. Precondition: `now` does not go back.
  void served(double cost, bool more, time_point now);
  /// Decides on an item that may wait for `slack`.
  admission_decision decide(const fair_queue& queue, const queue_item& item,
                            duration slack) const;
  /// Returns the learned rate in cost a second, 0 when little is known.
  double rate() const;

 private:
  admission_options options_;
  double cost_ = 0;  // served, fading with options_.memory
  double span_ = 0;  // seconds of backlog, fading likewise
  time_point at_{};
  bool backlogged_ = false;  // since at_
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ADMISSION_H_
