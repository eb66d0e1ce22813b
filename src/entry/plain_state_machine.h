/// State machine of one call to a plain route. A call that is not idempotent is
/// sent again only if it is proved that it did not run.
#ifndef CITRONWHARF_ENTRY_PLAIN_STATE_MACHINE_H_
#define CITRONWHARF_ENTRY_PLAIN_STATE_MACHINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "entry/request_actions.h"

namespace citronwharf {

/// Parameters of a plain call; they do not change once it has started.
struct plain_work {
  attempt_key key;           ///< attempt 0; each attempt increments it
  std::string organisation;  ///< empty on open routes
  double weight = 1.0;
  std::string service;
  std::string pool;
  std::string method;
  std::string target;
  std::vector<header_field> headers;
  std::string body;
  time_point deadline{};
  bool idempotent = false;
};

struct plain_state_machine_options {
  std::uint32_t max_attempts = 3;
};

/// Deterministic state machine; see pools_state_machine for its conventions.
class plain_state_machine {
 public:
  plain_state_machine(plain_work work, plain_state_machine_options options,
                      request_hooks hooks);

  /// Precondition: called once, before any event.
  request_actions start(time_point now);
  request_actions on_reply(const std::string& from, const plain_reply& reply,
                           time_point now);
  /// A session was established with `incarnation`, or was lost (0).
  request_actions on_session(const std::string& endpoint,
                             std::uint64_t incarnation, time_point now);
  /// The call to `endpoint` was certainly not sent.
  request_actions on_send_failed(const std::string& endpoint,
                                 const attempt_key& key, time_point now);
  request_actions on_cancel(time_point now);
  request_actions on_timer(time_point now);

  time_point wake_time() const;
  std::vector<held_attempt> held() const;
  bool finished() const { return stage_ == request_stage::ended; }
  /// Returns whether the service may have run the call or may still run it.
  bool running() const {
    return may_have_run_ || stage_ == request_stage::decode;
  }

 private:
  void try_next(time_point now);
  void handle_not_run(time_point now);
  void handle_possible_run(time_point now);
  void finish_with_problem(int status, const char* reason, const char* detail,
                           duration retry_after);
  void finish(std::optional<problem> failure);
  void release_attempt(bool cancel);
  bool is_current_attempt(const std::string& from,
                          const attempt_key& key) const;
  request_actions take_actions();

  plain_work work_;
  plain_state_machine_options options_;
  request_hooks hooks_;
  request_actions actions_;
  request_stage stage_ = request_stage::idle;
  bool may_have_run_ = false;
  std::uint32_t attempt_count_ = 0;
  std::string endpoint_;  ///< of the current attempt; empty when none
  std::uint64_t incarnation_ = 0;
  attempt_key key_;
  std::vector<std::string> excluded_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_PLAIN_STATE_MACHINE_H_
