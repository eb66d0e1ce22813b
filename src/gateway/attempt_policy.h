/// Decides what becomes of a request after an attempt at a server.
#ifndef CITRONWHARF_GATEWAY_ATTEMPT_POLICY_H_
#define CITRONWHARF_GATEWAY_ATTEMPT_POLICY_H_

#include <cstdint>

#include "base/clock.h"
#include "gateway/gateway_configuration.h"

namespace citronwharf {

/// How an attempt at one server ended.
struct attempt_report {
  bool sent = false;      ///< a byte of the request may have reached the server
  bool answered = false;  ///< a whole response came
  bool not_run = false;   ///< the response states that nothing was run
  int status = 0;         ///< of the response
};

/// What is known of the request as a whole, the attempt included.
struct request_progress {
  repeatability repeat = repeatability::at_most_once;
  std::int64_t max_servers = 1;  ///< that may run it
  std::int64_t servers_run = 0;  ///< that may have run it
  std::int64_t sends = 0;        ///< attempts so far
  duration time_left{};
};

enum class verdict {
  deliver,         ///< pass the response on
  retry,           ///< send it to another server, if the budget has one
  refuse_not_run,  ///< nothing has run: the caller may come back
  fail_unknown     ///< something may have run
};

/// Attempts at most, whatever the reason: beyond, a request costs the servers
/// more than it is worth.
constexpr std::int64_t max_sends = 4;

/// A retry needs at least this much time to be of use.
constexpr duration min_retry_time = milliseconds(60);

/// Returns the verdict. Only an attempt that surely ran nothing, or a request
/// that may run again, is repeated. Thread-safe.
verdict after_attempt(const attempt_report& report,
                      const request_progress& progress);

/// Returns the verdict when a retry was due and can't be made. Thread-safe.
verdict without_retry(const attempt_report& report,
                      const request_progress& progress);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ATTEMPT_POLICY_H_
