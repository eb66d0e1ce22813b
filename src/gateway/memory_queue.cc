#include "gateway/memory_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronwharf {
namespace {

constexpr duration rate_window = seconds(1);
// Initial estimate for a queue that has just formed: two requests served in a
// fifth of a second, ten a second.
constexpr double initial_served = 2;
constexpr double initial_span_s = 0.2;

// A request lets this many more urgent ones pass, so that it isn't starved.
constexpr int max_passed = 3;

}  // namespace

// Returns where a request of this urgency joins.
std::deque<memory_queue::waiter>::iterator memory_queue::position(
    std::int64_t urgency) {
  auto at = waiters_.end();
  while (at != waiters_.begin() && std::prev(at)->urgency > urgency &&
         std::prev(at)->passed < max_passed) {
    --at;
  }
  return at;
}

duration memory_queue::predicted_wait(std::int64_t urgency, time_point now) {
  if (waiters_.empty()) {
    busy_since_ = now;
    served_.clear();
  }
  while (!served_.empty() && now - served_.front() > rate_window) {
    served_.pop_front();
  }
  const double span_s =
      to_seconds(std::min<duration>(rate_window, now - busy_since_));
  const double per_second =
      (static_cast<double>(served_.size()) + initial_served) /
      (span_s + initial_span_s);
  const double wait_s =
      static_cast<double>(position(urgency) - waiters_.begin() + 1) /
      per_second;
  return from_seconds(wait_s);
}

memory_queue::ticket memory_queue::join(std::int64_t urgency, time_point now,
                                        std::function<void()> wake) {
  if (waiters_.empty()) {
    busy_since_ = now;
    served_.clear();
  }
  const auto at = position(urgency);
  std::for_each(at, waiters_.end(), [](waiter& each) { ++each.passed; });
  waiters_.insert(at, {++last_ticket_, urgency, 0, std::move(wake)});
  return last_ticket_;
}

void memory_queue::leave(ticket id, bool with_memory, time_point now) {
  const auto found =
      std::find_if(waiters_.begin(), waiters_.end(),
                   [&](const waiter& each) { return each.number == id; });
  if (found == waiters_.end()) {
    return;
  }
  const bool first = found == waiters_.begin();
  waiters_.erase(found);
  if (with_memory) {
    served_.push_back(now);
  }
  if (first && !waiters_.empty()) {
    waiters_.front().wake();
  }
}

}  // namespace citronwharf
