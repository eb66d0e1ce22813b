/// Actions that the request state machines return to their driver, and the
/// callbacks that the driver provides to them.
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

/// Sends a message. If that fails, the driver calls on_send_failed, except for
/// a cancel.
struct send_action {
  std::string endpoint;
  endpoint_message message;
};

/// Relays the next tokens to the caller, in order and without gaps.
struct relay_action {
  std::vector<std::string> tokens;
};

/// Relays the complete answer of a plain service to the caller.
struct plain_answer_action {
  std::int32_t status = 0;
  std::vector<header_field> headers;
  std::string body;
};

/// Reports the result of work at an endpoint to placement.
struct report_action {
  enum class kind { failed, succeeded, measured, ended };
  kind what = kind::failed;
  std::string endpoint;
  std::int32_t tokens = 0;  ///< for measured and ended
  duration run{};           ///< for measured
};

/// Counts prompt tokens whose prefill ran but was not used.
struct waste_action {
  std::int32_t prompt_tokens = 0;
};

/// Stage of a request; each change starts a trace span.
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

/// Ends the request; always the last action. Without a problem the request
/// succeeded.
struct finish_action {
  std::optional<problem> failure;
  std::int32_t total_tokens = 0;
};

using request_action =
    std::variant<send_action, relay_action, plain_answer_action, report_action,
                 waste_action, stage_action, finish_action>;
using request_actions = std::vector<request_action>;

/// An attempt for which an endpoint may hold resources.
struct held_attempt {
  std::string endpoint;
  attempt_key key;
};

/// Callbacks of the request state machines. None performs I/O or keeps a
/// reference to the state machine.
struct request_hooks {
  /// Ranks endpoints; see placement::choose.
  std::function<std::vector<placement_choice>(
      const placement_query&, std::size_t max_choices, time_point)>
      choose;
  /// Returns the predicted wait until a pool accepts work; see placement.
  std::function<duration(const std::string& pool, time_point)> retry_after;
  /// Returns the incarnation of an endpoint's session, or 0 without one.
  std::function<std::uint64_t(const std::string& endpoint)> incarnation;
  /// Checks the caller's key and the configuration's freshness just before
  /// work is sent. A returned problem forbids sending.
  std::function<std::optional<problem>(time_point)> permitted;
  /// Takes one retry from the process-wide retry budget, if one is left.
  std::function<bool()> take_retry;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_REQUEST_ACTIONS_H_
