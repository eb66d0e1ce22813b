#include "gateway/memory_queue.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr duration window = seconds(1);
// A queue that has just formed is taken to move at ten requests a second: two
// served in a fifth of a second.
constexpr double prior_served = 2;
constexpr double prior_span_s = 0.2;

}  // namespace

duration memory_queue::predicted_wait(time_point now) {
  if (waiting_.empty()) {
    busy_since_ = now;
    served_.clear();
  }
  while (!served_.empty() && now - served_.front() > window) {
    served_.pop_front();
  }
  const double span_s =
      to_seconds(std::min<duration>(window, now - busy_since_));
  const double per_second =
      (static_cast<double>(served_.size()) + prior_served) /
      (span_s + prior_span_s);
  const double wait_s = static_cast<double>(waiting_.size() + 1) / per_second;
  return from_seconds(wait_s);
}

memory_queue::ticket memory_queue::join(time_point now,
                                        std::function<void()> wake) {
  if (waiting_.empty()) {
    busy_since_ = now;
    served_.clear();
  }
  waiting_.push_back({++last_, std::move(wake)});
  return last_;
}

void memory_queue::leave(ticket of, bool with_memory, time_point now) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const waiter& each) { return each.number == of; });
  if (found == waiting_.end()) {
    return;
  }
  const bool first = found == waiting_.begin();
  waiting_.erase(found);
  if (with_memory) {
    served_.push_back(now);
  }
  if (first && !waiting_.empty()) {
    waiting_.front().wake();
  }
}

}  // namespace citronwharf
