/// An entry's estimate of the load, speed and health of one endpoint.
#ifndef CITRONWHARF_POLICY_ENDPOINT_ESTIMATE_H_
#define CITRONWHARF_POLICY_ENDPOINT_ESTIMATE_H_

#include <cstdint>
#include <deque>

#include "base/clock.h"
#include "citronwharf/configuration.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// Back-off limits for the suspension of a failing endpoint.
struct suspension_limits {
  duration initial = milliseconds(200);
  duration max_duration = seconds(10);
};

/// Combines the last load report with the requests that this entry has sent
/// since. Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class endpoint_estimate {
 public:
  /// A load report may be up to `report_lag` old when it is received.
  endpoint_estimate(endpoint_role role, duration report_lag)
      : role_(role), report_lag_(report_lag) {}

  void set_role(endpoint_role role) { role_ = role; }
  /// Records a load report; a new incarnation resets the outstanding work.
  void observe(const endpoint_load& load, time_point now);
  void sent(std::int32_t tokens, time_point now);
  void ended(std::int32_t tokens);
  void set_reachable(bool is_up) { reachable_ = is_up; }
  void failed(const suspension_limits& limits, time_point now);
  void succeeded();
  /// Updates the speed from the time of a prefill. Short prompts are ignored,
  /// since their time is mostly fixed cost.
  void measured(std::int32_t prompt_tokens, duration run_time);

  /// Returns whether new work may be sent to the endpoint.
  bool usable(time_point now) const;
  /// Returns the end of the current or last suspension.
  time_point suspended_until() const { return suspended_until_; }
  /// Returns the waiting and running requests in the last report.
  std::int32_t reported_load() const;
  /// Returns the predicted time until a request sent now starts.
  duration predicted_wait(time_point now) const;
  /// Returns the predicted run time of a request.
  duration predicted_run(std::int32_t prompt_tokens,
                         std::int32_t max_tokens) const;

 private:
  struct sent_request {
    time_point at;
    std::int32_t tokens = 0;
  };

  void discard_reported(time_point sent_until);
  double tokens_per_second() const;
  duration processing_time(double tokens) const;

  endpoint_role role_;
  duration report_lag_;
  endpoint_load load_;
  time_point observed_at_{};
  double measured_tokens_per_second_ = 0;  // 0: not measured yet
  std::int64_t outstanding_tokens_ = 0;    // sent and not ended
  std::int32_t outstanding_requests_ = 0;  // sent and not ended
  std::deque<sent_request>
      unreported_requests_;  // possibly not in the last report
  std::int64_t unreported_tokens_ = 0;
  bool reachable_ = true;
  std::int32_t consecutive_failures_ = 0;
  time_point suspended_until_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ENDPOINT_ESTIMATE_H_
