/// State machine of one request to a pools route, from the first reservation of
/// decode memory to its single final answer. docs/REQUEST-LIFE.md has the state
/// diagram.
#ifndef CITRONWHARF_ENTRY_POOLS_STATE_MACHINE_H_
#define CITRONWHARF_ENTRY_POOLS_STATE_MACHINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry/request_actions.h"

namespace citronwharf {

/// Parameters of a pools request; they do not change once it has started.
struct pools_work {
  attempt_key key;           ///< attempt 0; each attempt increments it
  std::string organisation;  ///< empty on open routes
  double weight = 1.0;
  std::string service;
  std::string model;
  std::string prefill_pool;
  std::string decode_pool;
  std::string prompt;
  std::int32_t prompt_tokens = 0;
  std::int32_t max_tokens = 0;
  std::uint64_t prefix_hash = 0;
  time_point deadline{};
  bool idempotent = true;  ///< whether generation may be repeated
};

struct pools_state_machine_options {
  duration resume_window = milliseconds(1000);  ///< for a lost session
  duration stall_timeout = milliseconds(5000);  ///< wait for the next frame
  duration export_margin = milliseconds(50);    ///< before export expiry
  duration initial_backoff = milliseconds(20);  ///< doubles each round
  duration max_backoff = milliseconds(1000);
  std::uint32_t max_prefills = 4;            ///< per request
  std::uint32_t max_resumes = 4;             ///< per decode attempt
  std::size_t max_buffered_frames = 64;      ///< out-of-order token frames
  std::int32_t max_endpoints_per_round = 3;  ///< decode endpoints
};

/// Deterministic state machine: takes events and returns actions for its
/// driver to perform. Performs no I/O and reads no clock; the caller passes
/// `now`. Frames of other attempts are ignored and answered with a cancel. No
/// action follows the finish_action. Not thread-safe.
class pools_state_machine {
 public:
  pools_state_machine(pools_work work, pools_state_machine_options options,
                      request_hooks hooks);

  /// Precondition: called once, before any event.
  request_actions start(time_point now);

  request_actions on_reply(const std::string& from, const reserve_reply& reply,
                           time_point now);
  request_actions on_reply(const std::string& from, const prefill_reply& reply,
                           time_point now);
  request_actions on_reply(const std::string& from,
                           const tokens_message& tokens, time_point now);
  request_actions on_reply(const std::string& from,
                           const decode_finished& reply, time_point now);
  /// A session was established with `incarnation`, or was lost (0).
  request_actions on_session(const std::string& endpoint,
                             std::uint64_t incarnation, time_point now);
  /// The last message to `endpoint` for `key` was certainly not sent.
  request_actions on_send_failed(const std::string& endpoint,
                                 const attempt_key& key, time_point now);
  /// The caller disconnected.
  request_actions on_cancel(time_point now);
  /// The configuration changed. Ends the request if its key was withdrawn and
  /// nothing has run.
  request_actions on_configuration(time_point now);
  /// May be called at any time; does nothing before wake_time().
  request_actions on_timer(time_point now);

  /// Returns when on_timer must be called next.
  time_point wake_time() const;
  /// Returns the attempts that endpoints may hold for this request, for
  /// wanted_attempts.
  std::vector<held_attempt> held() const;
  bool finished() const { return stage_ == request_stage::ended; }
  /// Returns whether work that can run is or was at an endpoint.
  bool running() const;
  std::int32_t relayed_tokens() const { return relayed_tokens_; }

 private:
  /// An attempt assigned to one endpoint.
  struct assigned_attempt {
    std::string endpoint;  ///< empty when unassigned
    std::uint64_t incarnation = 0;
    attempt_key key;
    bool session_lost = false;  ///< since the assignment
    bool active() const { return !endpoint.empty(); }
  };
  /// A KV cache exported by the endpoint of `prefill_`.
  struct kv_export {
    std::string id;
    std::string engine_address;
    time_point expires{};
  };

  attempt_key next_key();
  work_header header(const assigned_attempt& assigned, time_point now) const;
  std::int32_t context_tokens() const {
    return work_.prompt_tokens + relayed_tokens_;
  }
  bool match_or_cancel(const assigned_attempt& assigned,
                       const std::string& from, const attempt_key& key);
  void enter_stage(request_stage stage, const std::string& endpoint,
                   time_point wake_time);
  void send(const std::string& endpoint, endpoint_message message);
  void report(report_action::kind what, const std::string& endpoint,
              std::int32_t tokens = 0, duration run = {});
  void release(assigned_attempt& assigned, bool cancel);
  void discard_export();

  void start_round(time_point now);
  void send_reserve(time_point now);
  void handle_refusal(const reserve_reply& reply, time_point now);
  void try_next_decode(time_point now);
  void handle_grant(time_point now);
  void start_prefill(time_point now);
  void handle_prefill_failure(bool ran, time_point now);
  void start_decode(time_point now);
  void handle_tokens(const tokens_message& in, time_point now);
  void relay_to_caller(std::vector<std::string> tokens);
  void relay_buffered();
  void handle_decode_finished(const decode_finished& in, time_point now);
  void request_resume(time_point now);
  void handle_decode_failure(bool endpoint_fault, bool ran, time_point now);
  void schedule_retry(const char* reason, duration retry_after, time_point now);
  void handle_stage_timeout(time_point now);
  void finish_with_problem(int status, const char* reason, const char* detail,
                           duration retry_after);
  void finish(std::optional<problem> failure);
  request_actions take_actions();

  pools_work work_;
  pools_state_machine_options options_;
  request_hooks hooks_;
  request_actions actions_;

  request_stage stage_ = request_stage::idle;
  time_point stage_wake_time_{};
  std::uint32_t attempt_count_ = 0;
  std::uint32_t prefill_count_ = 0;
  std::uint32_t resume_count_ = 0;
  std::uint32_t refused_rounds_ = 0;  ///< for the exponential backoff
  bool may_have_run_ = false;         ///< work ran, or may have
  bool may_have_generated_ = false;   ///< the same for generation

  assigned_attempt decode_;   ///< reserving, reserved or running
  assigned_attempt prefill_;  ///< running or holding the export
  std::optional<kv_export> export_;
  std::vector<std::string> excluded_decode_;
  std::vector<std::string> excluded_prefill_;
  duration predicted_prefill_{};    ///< as of the last reservation
  duration min_retry_after_{};      ///< least reported in this round
  time_point decode_ready_time_{};  ///< predicted, for the reserved memory
  bool all_too_large_ = false;      ///< in every refusal of this round

  std::int32_t relayed_tokens_ = 0;  ///< number of tokens
  std::string relayed_text_;         ///< text of these tokens
  std::optional<std::int32_t> total_tokens_;
  std::map<std::int32_t, std::vector<std::string>>
      buffered_tokens_;  ///< by offset
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_POOLS_STATE_MACHINE_H_
