/// Queue of the requests of one gateway that wait for engine memory.
#ifndef CITRONWHARF_GATEWAY_MEMORY_QUEUE_H_
#define CITRONWHARF_GATEWAY_MEMORY_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "base/clock.h"

namespace citronwharf {

/// Designed for this load: a burst fills the memory of all decode engines. The
/// memory that is freed serves the same number of requests however many wait
/// for it, so requests that would wait in vain are refused at once, and only
/// the first in the queue polls the engines.
///
/// Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class memory_queue {
 public:
  using ticket = std::uint64_t;

  /// Returns how long a request that joins now would wait, estimated from the
  /// rate at which the queue was served during the last second.
  duration predicted_wait(std::int64_t urgency, time_point now);
  /// Adds a request behind those that are as urgent or more (0 is the most
  /// urgent), and behind those that several others have passed. `wake` is
  /// called when it becomes the first because others leave.
  ticket join(std::int64_t urgency, time_point now, std::function<void()> wake);
  /// Returns whether the request is the first and may poll the engines.
  bool is_first(ticket id) const {
    return !waiters_.empty() && waiters_.front().number == id;
  }
  /// Removes a request; `with_memory` says whether it got memory.
  void leave(ticket id, bool with_memory, time_point now);
  bool empty() const { return waiters_.empty(); }

 private:
  struct waiter {
    ticket number = 0;
    std::int64_t urgency = 0;
    int passed = 0;  // by more urgent requests that joined later
    std::function<void()> wake;
  };

  std::deque<waiter>::iterator position(std::int64_t urgency);

  std::deque<waiter> waiters_;
  ticket last_ticket_ = 0;
  std::deque<time_point> served_;  // times within the last second
  time_point busy_since_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_MEMORY_QUEUE_H_
