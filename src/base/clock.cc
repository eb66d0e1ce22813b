#include "base/clock.h"

#include <algorithm>
#include <atomic>
#include <ctime>

namespace citronwharf {
namespace {

constexpr std::int64_t not_paused = -1;
// Interval at which timers read the clock while it is paused.
constexpr duration paused_poll_interval = milliseconds(1);

std::atomic<std::int64_t> paused_at{not_paused};
std::atomic<std::int64_t> resume_offset{0};

// Uses CLOCK_BOOTTIME, which includes the time for which the machine is
// suspended. steady_clock leaves that time out, so a lease could still be valid
// after a long suspension.
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
  const std::int64_t reading =
      at != not_paused ? at : steady_now() + resume_offset;
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
  resume_offset = at - steady_now();
  paused_at = not_paused;
}

bool runtime_clock::paused() noexcept {
  return paused_at != not_paused;
}

duration runtime_wait_traits::to_wait_duration(const duration& wait) {
  return runtime_clock::paused() ? std::min(wait, paused_poll_interval) : wait;
}

duration runtime_wait_traits::to_wait_duration(const time_point& until) {
  return to_wait_duration(until - runtime_clock::now());
}

}  // namespace citronwharf
