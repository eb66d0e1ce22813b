/// Limits how many retries a service receives from this process, so that
/// retries cannot multiply an overload.
#ifndef CITRONWHARF_GATEWAY_RETRY_BUDGET_H_
#define CITRONWHARF_GATEWAY_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace citronwharf {

struct retry_budget_options {
  double ratio = 0.2;  ///< retries as a share of the requests
  double slack = 60;   ///< retries beyond the ratio, over all processes
  duration window = seconds(10);
};

/// Designed for this load: servers that fail or refuse requests of many
/// gateways, while gateways are killed and restarted.
/// The bound holds for the fleet without any communication because the limits
/// of the processes add up. In any span of up to a window, a process sends at
/// most `ratio` times the mean of the requests of that span and those of the
/// window before it, plus its part of the slack. A restarted process does not
/// know what it sent before, so one part of the slack is reserved for processes
/// younger than a window and the rest is for the others.
/// Reads no clock; the caller passes `now`. Not thread-safe; use from the event
/// loop thread only.
class retry_budget {
 public:
  /// `rounding` is drawn at random per process from [0, 1), so that fractions
  /// of a retry add up over the fleet.
  retry_budget(retry_budget_options options, time_point started,
               double rounding);

  /// Records a request for the service, which may have been received earlier
  /// than `now`.
  void request(const std::string& service, time_point received, time_point now);
  /// Takes one retry if the budget allows it. `processes` is the number that
  /// share the slack.
  bool take(const std::string& service, std::size_t processes, time_point now);
  /// Returns whether take() would succeed.
  bool can_take(const std::string& service, std::size_t processes,
                time_point now);
  /// Gives back a retry that was taken at `taken` but turned out not to be one.
  /// Precondition: take() succeeded then.
  void put_back(const std::string& service, time_point taken);

 private:
  // Slots that a window is divided into: short relative to the window, few
  // enough to iterate over.
  static constexpr std::int64_t window_slots = 100;
  // A span of up to a window, and the window before the longest span.
  static constexpr std::int64_t kept_slots = 2 * window_slots;
  using ring = std::array<std::uint32_t, kept_slots>;

  struct request_history {
    ring requests{};
    ring retries{};
    std::int64_t newest = 0;  // newest slot
  };

  static std::uint32_t& at(ring& slots, std::int64_t slot);
  static bool is_kept(const request_history& history, std::int64_t slot);
  std::int64_t slot_at(time_point at) const;
  /// Returns the history of a service, advanced to `now`.
  request_history& history_until(const std::string& service, time_point now);
  double slack_share(std::size_t processes, time_point now) const;

  retry_budget_options options_;
  time_point started_;
  double rounding_;
  std::map<std::string, request_history> services_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_RETRY_BUDGET_H_
