/// Decides how a request continues after an attempt at a server.
#ifndef CITRONWHARF_GATEWAY_ATTEMPT_POLICY_H_
#define CITRONWHARF_GATEWAY_ATTEMPT_POLICY_H_

#include <cstdint>

#include "base/clock.h"
#include "gateway/gateway_configuration.h"

namespace citronwharf {

/// Result of an attempt at one server.
struct attempt_report {
  bool sent = false;      ///< a byte of the request may have reached the server
  bool answered = false;  ///< a complete response was received
  bool not_run = false;   ///< the response states that nothing ran
  int status = 0;         ///< HTTP status of the response
};

/// State of the whole request, including the last attempt.
struct request_progress {
  repeatability repeat = repeatability::at_most_once;
  std::int64_t max_servers = 1;          ///< number that may run it
  std::int64_t possible_executions = 0;  ///< servers that may have run it
  std::int64_t attempts = 0;             ///< so far
  bool may_be_running = false;           ///< at a server, at this moment
  duration time_left{};
};

enum class attempt_decision {
  deliver,         ///< pass the response on
  retry,           ///< try another server if the retry budget allows it
  refuse_not_run,  ///< nothing has run: the caller may retry
  fail_unknown     ///< something may have run
};

/// Limit for attempts, whatever the reason: beyond it a request costs the
/// servers more than it is worth.
constexpr std::int64_t max_attempts = 4;

/// Minimum remaining time for a retry to be useful.
constexpr duration min_retry_time = milliseconds(60);

/// Returns whether the request may be sent to a server that may run it. A
/// request that may run once is not sent while an earlier attempt may be
/// running or may have run. Thread-safe.
bool may_start_attempt(const request_progress& progress);

/// Returns how to continue after an attempt. A request is only repeated if the
/// attempt certainly ran nothing or the request may run again. Thread-safe.
attempt_decision decide_after_attempt(const attempt_report& report,
                                      const request_progress& progress);

/// Returns how to continue when a retry was due but is not possible.
/// Thread-safe.
attempt_decision decide_without_retry(const attempt_report& report,
                                      const request_progress& progress);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ATTEMPT_POLICY_H_
