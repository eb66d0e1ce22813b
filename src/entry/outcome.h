/// Outcomes of callers' requests and the problems that end them.
#ifndef CITRONWHARF_ENTRY_OUTCOME_H_
#define CITRONWHARF_ENTRY_OUTCOME_H_

#include <string>
#include <variant>

#include "base/clock.h"

namespace citronwharf {

/// What is known about a request that has ended. `not_run` is used only if it
/// is proved that no back end ran any part of it.
enum class request_outcome { done, not_run, unknown };

/// Returns "done", "not-run" or "unknown", the value of X-Outcome.
const char* to_string(request_outcome outcome);

/// Why a request ended without a complete answer.
struct problem {
  int status = 503;  ///< HTTP status
  request_outcome outcome = request_outcome::not_run;
  std::string reason;      ///< from `reasons`; problem type and metric label
  std::string detail;      ///< shown to the caller; must not contain secrets
  duration retry_after{};  ///< 0 if a retry does not help
  bool within_rate =
      false;  ///< refused although the organisation was within its rate
};
bool operator==(const problem& lhs, const problem& rhs);
bool operator!=(const problem& lhs, const problem& rhs);

/// Result of a request filter: the value for the next filter, or the problem
/// that ends the request.
template <typename Value>
using value_or_problem = std::variant<Value, problem>;

/// Names of problems. They are metric label values too, so keep their number
/// small.
namespace reasons {
inline constexpr const char* no_key = "no-key";
inline constexpr const char* wrong_key = "wrong-key";
inline constexpr const char* doubled_key = "doubled-key";
inline constexpr const char* bad_request = "bad-request";
inline constexpr const char* not_json = "not-json";
inline constexpr const char* wrong_type = "wrong-type";
inline constexpr const char* unknown_route = "unknown-route";
inline constexpr const char* wrong_method = "wrong-method";
inline constexpr const char* body_too_large = "body-too-large";
inline constexpr const char* too_many_headers = "too-many-headers";
inline constexpr const char* rate = "rate";
inline constexpr const char* queue_full = "queue-full";
inline constexpr const char* draining = "draining";
inline constexpr const char* claim_in_progress = "claim-in-progress";
inline constexpr const char* claim_unknown = "claim-unknown";
inline constexpr const char* claim_conflict = "claim-conflict";
inline constexpr const char* claim_unavailable = "claim-unavailable";
inline constexpr const char* key_withdrawn = "key-withdrawn";
inline constexpr const char* stale_configuration = "stale-configuration";
inline constexpr const char* caller_left = "caller-left";
inline constexpr const char* no_endpoint = "no-endpoint";
inline constexpr const char* no_memory = "no-memory";
inline constexpr const char* too_large = "prompt-too-large";
inline constexpr const char* deadline = "deadline";
inline constexpr const char* attempts_used = "attempts-used";
inline constexpr const char* bad_stream = "bad-stream";
inline constexpr const char* broken_off = "broken-off";
}  // namespace reasons

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_OUTCOME_H_
