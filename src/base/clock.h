/// Monotonic clock that tests can pause and advance, and a timer based on it.
#ifndef CITRONWHARF_BASE_CLOCK_H_
#define CITRONWHARF_BASE_CLOCK_H_

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

namespace citronwharf {

/// A monotonic clock. It follows the system's monotonic clock, including time
/// spent in suspension, until a test pauses it; a paused clock changes only by
/// advance(). Thread-safe.
class runtime_clock {
 public:
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<runtime_clock>;
  static constexpr bool is_steady = true;

  /// Returns the current time. Never decreases, whether running or paused.
  static time_point now() noexcept;
  /// Stops the clock at its current time. For tests.
  static void pause() noexcept;
  /// Advances a paused clock by `step`. Precondition: paused, step >= 0. For
  /// tests.
  static void advance(duration step) noexcept;
  /// Restarts the clock from its current time. For tests.
  static void resume() noexcept;
  static bool paused() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Asio wait traits: limits how long a timer sleeps before it reads the clock
/// again, so that timers notice advance().
struct runtime_wait_traits {
  static duration to_wait_duration(const duration& wait);
  static duration to_wait_duration(const time_point& until);
};

/// A timer based on runtime_clock. Not thread-safe.
/// Example: timer.expires_after(std::chrono::seconds(2));
using runtime_timer =
    boost::asio::basic_waitable_timer<runtime_clock, runtime_wait_traits>;

/// Calls `handler` when the timer expires, unless the timer is cancelled or
/// `*alive` is false at that time.
template <typename Handler>
void when_expired(runtime_timer& timer, const std::shared_ptr<bool>& alive,
                  Handler handler) {
  timer.async_wait([alive, handler = std::move(handler)](
                       boost::system::error_code error) mutable {
    if (!error && *alive) {
      handler();
    }
  });
}

inline double to_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}
inline duration from_seconds(double value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(value));
}

/// Microseconds as sent in messages, which carry durations, never time points.
inline std::int64_t to_microseconds(duration value) {
  return value.count();
}
inline duration from_microseconds(std::int64_t value) {
  return duration(value);
}

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_CLOCK_H_
