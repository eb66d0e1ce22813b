#include "gateway/attempt_policy.h"

namespace citronwharf {
namespace {

constexpr int first_server_error = 500;

bool surely_not_run(const attempt_report& report) {
  return !report.sent || (report.answered && report.not_run);
}

// Returns whether a status tells callers that the request has not run.
bool promises_not_run(int status) {
  constexpr int request_timeout = 408;
  constexpr int misdirected = 421;
  constexpr int too_many_requests = 429;
  constexpr int unavailable = 503;
  return status == request_timeout || status == misdirected ||
         status == too_many_requests || status == unavailable;
}

// A server that does not state that nothing ran may have run the request,
// whatever its status. The caller would send a request that may run once again.
bool may_deliver(const attempt_report& report,
                 const request_progress& progress) {
  return report.answered && !report.not_run &&
         (progress.repeat != repeatability::at_most_once ||
          !promises_not_run(report.status));
}

bool may_retry(const attempt_report& report, const request_progress& progress) {
  if (progress.attempts >= max_attempts ||
      progress.time_left < min_retry_time) {
    return false;
  }
  if (surely_not_run(report)) {
    return true;
  }
  return progress.repeat != repeatability::at_most_once &&
         progress.possible_executions < progress.max_servers;
}

}  // namespace

bool may_start_attempt(const request_progress& progress) {
  return progress.repeat != repeatability::at_most_once ||
         (!progress.may_be_running && progress.possible_executions == 0);
}

attempt_decision decide_without_retry(const attempt_report& report,
                                      const request_progress& progress) {
  if (may_deliver(report, progress)) {
    return attempt_decision::deliver;
  }
  return progress.possible_executions == 0 && !progress.may_be_running
             ? attempt_decision::refuse_not_run
             : attempt_decision::fail_unknown;
}

attempt_decision decide_after_attempt(const attempt_report& report,
                                      const request_progress& progress) {
  if (may_deliver(report, progress) && report.status < first_server_error) {
    return attempt_decision::deliver;
  }
  return may_retry(report, progress) ? attempt_decision::retry
                                     : decide_without_retry(report, progress);
}

}  // namespace citronwharf
