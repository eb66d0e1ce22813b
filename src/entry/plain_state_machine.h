/// The life of one call to a plain route. A call that may not be repeated is
/// sent again only where it is proved that it did not run.
#ifndef CITRONWHARF_ENTRY_PLAIN_STATE_MACHINE_H_
#define CITRONWHARF_ENTRY_PLAIN_STATE_MACHINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "entry/request_actions.h"

namespace citronwharf {

/// What is fixed for the life of a plain call.
struct plain_work {
  attempt_key key;           ///< attempt 0; the life counts up from it
  std::string organisation;  ///< "" on open routes
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
  std::uint32_t most_attempts = 3;
};

/// A deterministic state machine without I/O or clock, as pools_state_machine.
class plain_state_machine {
 public:
  plain_state_machine(plain_work work, plain_state_machine_options options,
                      request_hooks hooks);

  /// Precondition: called once, before any event.
  request_actions start(time_point now);
  request_actions on_reply(const std::string& from, const plain_reply& reply,
                           time_point now);
  /// A session came up with `incarnation`, or was lost (0).
  request_actions on_session(const std::string& endpoint,
                             std::uint64_t incarnation, time_point now);
  /// The call to `endpoint` surely never left.
  request_actions on_send_failed(const std::string& endpoint,
                                 const attempt_key& key, time_point now);
  request_actions on_cancel(time_point now);
  request_actions on_timer(time_point now);

  time_point wake() const;
  std::vector<held_attempt> held() const;
  bool finished() const { return stage_ == request_stage::ended; }
  /// Returns whether the service may have run the call or may run it yet.
  bool running() const { return ran_ || stage_ == request_stage::decode; }

 private:
  void try_next(time_point now);
  void not_run_there(time_point now);
  void may_have_run(time_point now);
  void give_up(int status, const char* reason, const char* detail,
               duration retry_after);
  void finish(std::optional<problem> why);
  void clear_place(bool cancel);
  bool pending(const std::string& from, const attempt_key& key) const;
  request_actions take_actions();

  plain_work work_;
  plain_state_machine_options options_;
  request_hooks hooks_;
  request_actions actions_;
  request_stage stage_ = request_stage::idle;
  bool ran_ = false;
  std::uint32_t attempts_ = 0;
  std::string endpoint_;  ///< where the call is, "" when nowhere
  std::uint64_t incarnation_ = 0;
  attempt_key key_;
  std::vector<std::string> excluded_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_PLAIN_STATE_MACHINE_H_
