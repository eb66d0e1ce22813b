#include "gateway/attempt_policy.h"

namespace citronwharf {
namespace {

constexpr int first_server_error = 500;

bool ran_nothing(const attempt_report& report) {
  return !report.sent || (report.answered && report.not_run);
}

bool may_retry(const attempt_report& report, const request_progress& progress) {
  if (progress.sends >= max_sends || progress.time_left < min_retry_time) {
    return false;
  }
  if (ran_nothing(report)) {
    return true;
  }
  return progress.repeat != repeatability::at_most_once &&
         progress.servers_run < progress.max_servers;
}

}  // namespace

verdict without_retry(const attempt_report& report,
                      const request_progress& progress) {
  if (report.answered && !report.not_run) {
    return verdict::deliver;
  }
  return progress.servers_run == 0 ? verdict::refuse_not_run
                                   : verdict::fail_unknown;
}

verdict after_attempt(const attempt_report& report,
                      const request_progress& progress) {
  const bool succeeded =
      report.answered && !report.not_run && report.status < first_server_error;
  if (succeeded) {
    return verdict::deliver;
  }
  return may_retry(report, progress) ? verdict::retry
                                     : without_retry(report, progress);
}

}  // namespace citronwharf
