/// Maximum of the values added within a sliding time window.
#ifndef CITRONWHARF_BASE_RECENT_MAXIMUM_H_
#define CITRONWHARF_BASE_RECENT_MAXIMUM_H_

#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace citronwharf {

/// Sliding-window maximum. Reads no clock: the caller passes the time.
/// Not thread-safe.
class recent_maximum {
 public:
  /// `initial` is the value until the first add().
  recent_maximum(std::uint64_t initial, duration window)
      : window_(window), value_(initial) {}

  void add(std::uint64_t value, time_point now) {
    while (!samples_.empty() && samples_.back().value <= value) {
      samples_.pop_back();
    }
    samples_.push_back({value, now});
    while (now - samples_.front().at > window_) {
      samples_.pop_front();
    }
    value_ = samples_.front().value;
  }

  /// Returns the maximum as of the last add(). Samples do not expire between
  /// calls of add(), since a lack of samples says nothing about the value.
  std::uint64_t value() const { return value_; }

 private:
  struct sample {
    std::uint64_t value = 0;
    time_point at;
  };

  duration window_;
  std::uint64_t value_;
  std::deque<sample> samples_;  // in order of decreasing value
};

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_RECENT_MAXIMUM_H_
