/// Requests of one gateway that wait for engine memory.
#ifndef CITRONWHARF_GATEWAY_MEMORY_QUEUE_H_
#define CITRONWHARF_GATEWAY_MEMORY_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "base/clock.h"

namespace citronwharf {

/// Load it answers: a burst fills the memory of all decode engines. Memory that
/// comes free serves as many requests however many wait for it, so that those
/// that would wait in vain are refused at once, and only the first in the queue
/// asks the engines. No I/O, no clock of its own. One thread.
class memory_queue {
 public:
  using ticket = std::uint64_t;

  /// Returns how long a request that joins now would wait, going by how fast
  /// the queue has moved during the last second.
  duration predicted_wait(time_point now);
  /// Joins at the end. `wake` is called when the request becomes the first.
  ticket join(time_point now, std::function<void()> wake);
  /// Returns whether the request is the first and may ask the engines.
  bool is_first(ticket of) const {
    return !waiting_.empty() && waiting_.front().number == of;
  }
  /// Leaves the queue, with memory or without.
  void leave(ticket of, bool with_memory, time_point now);
  bool empty() const { return waiting_.empty(); }

 private:
  struct waiter {
    ticket number = 0;
    std::function<void()> wake;
  };

  std::deque<waiter> waiting_;
  ticket last_ = 0;
  std::deque<time_point> served_;  // during the last second
  time_point busy_since_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_MEMORY_QUEUE_H_
