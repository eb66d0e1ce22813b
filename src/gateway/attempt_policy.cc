#include "gateway/attempt_policy.h"

namespace citronwharf {
namespace {

constexpr int first_server_error = 500;

bool surely_not_run(const attempt_report& report) {
  return !report.sent || (report.answered && report.not_run);
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
  if (report.answered && !report.not_run) {
    return attempt_decision::deliver;
  }
  return progress.possible_executions == 0 && !progress.may_be_running
             ? attempt_decision::refuse_not_run
             : attempt_decision::fail_unknown;
}

attempt_decision decide_after_attempt(const attempt_report& report,
                                      const request_progress& progress) {
  const bool succeeded =
      report.answered && !report.not_run && report.status < first_server_error;
  if (succeeded) {
    return attempt_decision::deliver;
  }
  return may_retry(report, progress) ? attempt_decision::retry
                                     : decide_without_retry(report, progress);
}

}  // namespace citronwharf
