#include "gateway/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {
namespace {

// A retry may reach its server up to a tenth of the window after it was taken.
constexpr double delivery_margin = 0.9;
// Share of the slack for processes younger than a window.
constexpr double recently_started_share = 0.4;

}  // namespace

retry_budget::retry_budget(retry_budget_options options, time_point started,
                           double rounding)
    : options_(options), started_(started), rounding_(rounding) {}

std::int64_t retry_budget::slot_at(time_point at) const {
  return at.time_since_epoch() / (options_.window / window_slots);
}

std::uint32_t& retry_budget::at(ring& slots, std::int64_t slot) {
  return slots[static_cast<std::size_t>(slot) % slots.size()];
}

retry_budget::request_history& retry_budget::history_until(
    const std::string& service, time_point now) {
  request_history& history = services_[service];
  const std::int64_t slot = slot_at(now);
  for (std::int64_t slot_index =
           std::max(history.newest + 1, slot - kept_slots + 1);
       slot_index <= slot; ++slot_index) {
    at(history.requests, slot_index) = 0;
    at(history.retries, slot_index) = 0;
  }
  history.newest = std::max(history.newest, slot);
  return history;
}

bool retry_budget::is_kept(const request_history& history, std::int64_t slot) {
  return slot <= history.newest && slot > history.newest - kept_slots;
}

void retry_budget::request(const std::string& service, time_point received,
                           time_point now) {
  request_history& history = history_until(service, now);
  const std::int64_t slot = slot_at(received);
  if (is_kept(history, slot)) {
    ++at(history.requests, slot);
  }
}

double retry_budget::slack_share(std::size_t processes, time_point now) const {
  const bool recently_started = now - started_ < options_.window;
  const double share =
      recently_started ? recently_started_share : 1 - recently_started_share;
  return share * options_.slack /
         static_cast<double>(std::max<std::size_t>(1, processes));
}

bool retry_budget::can_take(const std::string& service, std::size_t processes,
                            time_point now) {
  request_history& history = history_until(service, now);
  const double process_slack = slack_share(processes, now);
  // Checks every span of up to a window that ends now and starts at a retry or
  // in the newest slot. `requests` counts the span, `requests_before` the
  // window before it.
  double retries = 1;
  double requests = 0;
  double requests_before = 0;
  for (std::int64_t slot_index = history.newest;
       slot_index > history.newest - window_slots; --slot_index) {
    requests_before += at(history.requests, slot_index);
  }
  for (std::int64_t from = history.newest; from > history.newest - window_slots;
       --from) {
    retries += at(history.retries, from);
    requests += at(history.requests, from);
    requests_before += at(history.requests, from - window_slots);
    requests_before -= at(history.requests, from);
    const bool is_span_start =
        from == history.newest || at(history.retries, from) > 0;
    const double allowed =
        delivery_margin *
        (options_.ratio * (requests + requests_before) / 2 + process_slack);
    if (is_span_start && retries > std::floor(allowed + rounding_)) {
      return false;
    }
  }
  return true;
}

bool retry_budget::take(const std::string& service, std::size_t processes,
                        time_point now) {
  if (!can_take(service, processes, now)) {
    return false;
  }
  ++at(services_[service].retries, slot_at(now));
  return true;
}

void retry_budget::put_back(const std::string& service, time_point taken) {
  request_history& history = services_[service];
  const std::int64_t slot = slot_at(taken);
  if (is_kept(history, slot) && at(history.retries, slot) > 0) {
    --at(history.retries, slot);
  }
}

}  // namespace citronwharf
