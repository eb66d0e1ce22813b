/// Monotonic clock that tests can pause and advance, and a timer based on it.
#ifndef CITRONWHARF_BASE_CLOCK_H_
#define CITRONWHARF_BASE_CLOCK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
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

/// A timer based on runtime_clock. Once it has been cancelled, set again or
/// destroyed it does not expire, even if its expiry was queued in the event
/// loop before. Asio's own timers then still report success, so that an answer
/// and its timeout could both be acted on. Not thread-safe. Example:
/// timer.expires_after(std::chrono::seconds(2));
class runtime_timer {
 public:
  explicit runtime_timer(const boost::asio::any_io_executor& executor)
      : timer_(executor) {}
  explicit runtime_timer(boost::asio::io_context& loop)
      : runtime_timer(loop.get_executor()) {}
  ~runtime_timer() { abort_waits(); }
  runtime_timer(runtime_timer&&) = default;
  runtime_timer& operator=(runtime_timer&&) = delete;
  runtime_timer(const runtime_timer&) = delete;
  runtime_timer& operator=(const runtime_timer&) = delete;

  /// Set the time of expiry. Waits that have not been handled are aborted.
  void expires_after(duration span) {
    abort_waits();
    timer_.expires_after(span);
  }
  void expires_at(time_point until) {
    abort_waits();
    timer_.expires_at(until);
  }
  time_point expiry() const { return timer_.expiry(); }
  /// Returns whether a wait is outstanding that ends at `due` or before. What
  /// sets a timer on each event asks this first: setting it aborts an expiry
  /// that is queued, so frequent events could postpone it for ever.
  bool expires_by(time_point due) const {
    return state_->waiting && timer_.expiry() <= due;
  }
  /// Aborts all waits that have not been handled.
  void cancel() {
    abort_waits();
    boost::system::error_code ignored;
    timer_.cancel(ignored);
  }

  /// Calls `handler` with no error when the timer expires, with
  /// operation_aborted if the wait is aborted. Never calls it from within this
  /// function.
  template <typename Handler>
  void async_wait(Handler handler) {
    state_->waiting = true;
    timer_.async_wait([started_in = state_->generation, state = state_,
                       handler = std::move(handler)](
                          boost::system::error_code error) mutable {
      if (state->generation != started_in) {
        error = boost::asio::error::operation_aborted;
      } else {
        state->waiting = false;
      }
      handler(error);
    });
  }

 private:
  struct wait_state {
    std::uint64_t generation = 0;  // incremented when waits are aborted
    bool waiting = false;          // a wait of this generation is outstanding
  };

  void abort_waits() {
    if (state_ != nullptr) {  // else moved from
      ++state_->generation;
      state_->waiting = false;
    }
  }

  boost::asio::basic_waitable_timer<runtime_clock, runtime_wait_traits> timer_;
  // Outlives the timer in its handlers.
  std::shared_ptr<wait_state> state_ = std::make_shared<wait_state>();
};

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
