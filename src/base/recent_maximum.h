/// The largest value that was heard of within a span of time.
#ifndef CITRONWHARF_BASE_RECENT_MAXIMUM_H_
#define CITRONWHARF_BASE_RECENT_MAXIMUM_H_

#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace citronwharf {

/// No clock of its own. One thread.
class recent_maximum {
 public:
  /// `unknown` is the value until the first add().
  recent_maximum(std::uint64_t unknown, duration span)
      : span_(span), value_(unknown) {}

  void add(std::uint64_t value, time_point now) {
    while (!heard_.empty() && heard_.back().value <= value) {
      heard_.pop_back();
    }
    heard_.push_back({value, now});
    while (now - heard_.front().at > span_) {
      heard_.pop_front();
    }
    value_ = heard_.front().value;
  }

  /// Returns the maximum at the last add(), since silence says nothing.
  std::uint64_t value() const { return value_; }

 private:
  struct heard_value {
    std::uint64_t value = 0;
    time_point at;
  };

  duration span_;
  std::uint64_t value_;
  std::deque<heard_value> heard_;  // falling
};

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_RECENT_MAXIMUM_H_
