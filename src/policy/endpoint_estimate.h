/// What an entry has learned of one endpoint: its load, speed and health.
#ifndef CITRONWHARF_POLICY_ENDPOINT_ESTIMATE_H_
#define CITRONWHARF_POLICY_ENDPOINT_ESTIMATE_H_

#include <cstdint>
#include <deque>

#include "base/clock.h"
#include "citronwharf/configuration.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// Bounds of how long a failing endpoint is out of choice.
struct suspension_limits {
  duration first = milliseconds(200);
  duration longest = seconds(10);
};

/// Combines the last load report with what this entry sent since. No I/O, no
/// clock of its own. One thread.
class endpoint_estimate {
 public:
  /// Reports tell of the endpoint as it was up to `lag` before they came.
  endpoint_estimate(endpoint_role role, duration lag)
      : role_(role), lag_(lag) {}

  void set_role(endpoint_role role) { role_ = role; }
  /// Takes a load report; a new incarnation starts without outstanding work.
  void observe(const endpoint_load& load, time_point now);
  void sent(std::int32_t tokens, time_point now);
  void ended(std::int32_t tokens);
  void set_reachable(bool up) { reachable_ = up; }
  void failed(const suspension_limits& limits, time_point now);
  void succeeded();
  /// Learns the speed from a prefill; short prompts tell nothing of it.
  void measured(std::int32_t prompt_tokens, duration run);

  /// Returns whether new work may go there.
  bool usable(time_point now) const;
  /// Returns until when it is out of choice.
  time_point suspended_until() const { return suspended_until_; }
  /// Returns requests waiting and running by the last report alone.
  std::int32_t reported_load() const;
  /// Returns the span until work that is sent now would start.
  duration predicted_wait(time_point now) const;
  /// Returns how long this request would run there.
  duration predicted_run(std::int32_t prompt_tokens,
                         std::int32_t max_tokens) const;

 private:
  struct sending {
    time_point at;
    std::int32_t tokens = 0;
  };

  void forget_reported(time_point until);
  double tokens_per_second() const;
  duration time_of(double tokens) const;

  endpoint_role role_;
  duration lag_;
  endpoint_load load_;
  time_point observed_at_{};
  double measured_speed_ = 0;       // tokens per second, 0: not known
  std::int64_t outstanding_ = 0;    // tokens sent and not ended
  std::int32_t requests_ = 0;       // requests sent and not ended
  std::deque<sending> unreported_;  // what the report may not tell of
  std::int64_t unreported_tokens_ = 0;
  bool reachable_ = true;
  std::int32_t failures_ = 0;  // in a row
  time_point suspended_until_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ENDPOINT_ESTIMATE_H_
