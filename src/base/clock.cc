#include "base/clock.h"

#include <algorithm>
#include <atomic>
#include <ctime>

namespace citronwharf {
namespace {

constexpr std::int64_t running = -1;
// While paused, timers look at the clock this often.
constexpr duration paused_poll = milliseconds(1);

std::atomic<std::int64_t> paused_at{running};
std::atomic<std::int64_t> offset{0};

// Counts the time for which the machine is suspended, which steady_clock leaves
// out: a lease must not outlive a suspension.
std::int64_t steady_now() noexcept {
  timespec reading{};
  if (clock_gettime(CLOCK_BOOTTIME, &reading) != 0) {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(now).count();
  }
  const auto now =
      seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
  return std::chrono::duration_cast<duration>(now).count();
}

}  // namespace

time_point runtime_clock::now() noexcept {
  const std::int64_t at = paused_at.load();
  const std::int64_t reading = at != running ? at : steady_now() + offset;
  return time_point(duration(reading));
}

void runtime_clock::pause() noexcept {
  paused_at = now().time_since_epoch().count();
}

void runtime_clock::advance(duration step) noexcept {
  paused_at += step.count();
}

void runtime_clock::resume() noexcept {
  const std::int64_t at = paused_at.load();
  offset = at - steady_now();
  paused_at = running;
}

bool runtime_clock::paused() noexcept {
  return paused_at != running;
}

duration runtime_wait_traits::to_wait_duration(const duration& wait) {
  return runtime_clock::paused() ? std::min(wait, paused_poll) : wait;
}

duration runtime_wait_traits::to_wait_duration(const time_point& until) {
  return to_wait_duration(until - runtime_clock::now());
}

}  // namespace citronwharf
