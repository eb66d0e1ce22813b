/// What the decision modules of a request tell their driver to do, and what
/// they may ask of it.
#ifndef CITRONWHARF_ENTRY_REQUEST_ACTIONS_H_
#define CITRONWHARF_ENTRY_REQUEST_ACTIONS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "entry/outcome.h"
#include "policy/placement.h"
#include "wire/request_messages.h"

namespace citronwharf {

using endpoint_message =
    std::variant<reserve_request, prefill_request, decode_request,
                 resume_request, cancel_request, plain_request>;

/// Returns the attempt that a message belongs to.
const attempt_key& key_of(const endpoint_message& message);

/// Sends a message. When that fails for anything but a cancel, the driver
/// reports it by on_send_failed.
struct send_action {
  std::string endpoint;
  endpoint_message message;
};

/// Gives the caller the next tokens, in order and without gaps.
struct relay_action {
  std::vector<std::string> tokens;
};

/// Gives the caller the whole answer of a plain service.
struct plain_answer_action {
  std::int32_t status = 0;
  std::vector<header_field> headers;
  std::string body;
};

/// Tells placement how work at an endpoint went.
struct report_action {
  enum class kind { failed, succeeded, measured, ended };
  kind what = kind::failed;
  std::string endpoint;
  std::int32_t tokens = 0;  ///< kinds measured and ended
  duration run{};           ///< kind measured
};

/// Counts prompt tokens whose prefill ran and was thrown away.
struct waste_action {
  std::int32_t prompt_tokens = 0;
};

/// Where a request stands; each change starts a span.
enum class request_stage {
  idle,
  reserve,
  wait,
  prefill,
  decode,
  resume,
  ended
};

struct stage_action {
  request_stage stage = request_stage::idle;
  std::string endpoint;
};

/// Ends the request; the last action of a life. Without a problem it is done.
struct finish_action {
  std::optional<problem> why;
  std::int32_t total_tokens = 0;
};

using request_action =
    std::variant<send_action, relay_action, plain_answer_action, report_action,
                 waste_action, stage_action, finish_action>;
using request_actions = std::vector<request_action>;

/// Something that an endpoint may hold for an attempt.
struct held_attempt {
  std::string endpoint;
  attempt_key key;
};

/// What a life asks while it decides. None of them does I/O or keeps a
/// reference to the life.
struct request_hooks {
  /// Ranks endpoints, see placement::choose.
  std::function<std::vector<placement_choice>(const placement_query&,
                                              std::size_t most, time_point)>
      choose;
  /// Returns when a pool is predicted to take work, see placement.
  std::function<duration(const std::string& pool, time_point)> retry_after;
  /// Returns the incarnation of an endpoint's session, 0 without one.
  std::function<std::uint64_t(const std::string& endpoint)> incarnation;
  /// Checks key and freshness just before work is sent; a problem forbids it.
  std::function<std::optional<problem>(time_point)> permitted;
  /// Takes one retry out of the process's budget.
  std::function<bool()> take_retry;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_REQUEST_ACTIONS_H_
