/// The life of one request to a pools route, from the first ask for decode
/// memory to its one final answer. docs/REQUEST-LIFE.md has the state picture.
#ifndef CITRONWHARF_ENTRY_POOLS_STATE_MACHINE_H_
#define CITRONWHARF_ENTRY_POOLS_STATE_MACHINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry/request_actions.h"

namespace citronwharf {

/// What is fixed for the life of a pools request.
struct pools_work {
  attempt_key key;           ///< attempt 0; the life counts up from it
  std::string organisation;  ///< "" on open routes
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
  bool idempotent = true;  ///< whether generation may run a second time
};

struct pools_state_machine_options {
  duration resume_window = milliseconds(1000);  ///< for a lost session
  duration stall_limit = milliseconds(5000);    ///< decode without any frame
  duration export_margin = milliseconds(50);    ///< least life of a transfer
  duration first_wait = milliseconds(20);       ///< after refusals; doubles
  duration longest_wait = milliseconds(1000);
  std::uint32_t most_prefills = 4;  ///< sent for one request
  std::uint32_t most_resumes = 4;   ///< asked of one attempt
  std::size_t most_crossed = 64;    ///< token frames kept out of order
  std::int32_t most_choices = 3;    ///< endpoints asked in one round
};

/// A deterministic state machine without I/O or clock: events and `now` go in,
/// actions come out. Frames of other attempts are dropped, and what an endpoint
/// still does for them is cancelled; after the finish_action nothing else
/// comes. One thread.
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
  /// A session came up with `incarnation`, or was lost (0).
  request_actions on_session(const std::string& endpoint,
                             std::uint64_t incarnation, time_point now);
  /// The last message to `endpoint` for `key` surely never left.
  request_actions on_send_failed(const std::string& endpoint,
                                 const attempt_key& key, time_point now);
  /// The caller is gone.
  request_actions on_cancel(time_point now);
  /// The configuration changed: a withdrawn key ends what has not run.
  request_actions on_configuration(time_point now);
  /// Precondition: none; does nothing before wake().
  request_actions on_timer(time_point now);

  /// Returns when on_timer has something to do.
  time_point wake() const;
  /// Returns what endpoints may hold for this request, for wanted_attempts.
  std::vector<held_attempt> held() const;
  bool finished() const { return stage_ == request_stage::ended; }
  /// Returns whether runnable work is at an endpoint or has been.
  bool running() const;
  std::int32_t relayed() const { return have_; }

 private:
  /// Work placed at one endpoint.
  struct placed {
    std::string endpoint;  ///< "" when none
    std::uint64_t incarnation = 0;
    attempt_key key;
    bool lost = false;  ///< the session was lost since
    bool active() const { return !endpoint.empty(); }
  };
  /// An exported KV cache, held at `prefill_`.
  struct exported {
    std::string id;
    std::string engine_address;
    time_point expires{};
  };

  attempt_key next_key();
  work_header header(const placed& at, time_point now) const;
  std::int32_t whole_prompt_tokens() const {
    return work_.prompt_tokens + have_;
  }
  bool pending(const placed& at, const std::string& from,
               const attempt_key& key);
  void enter(request_stage stage, const std::string& endpoint, time_point wake);
  void send(const std::string& endpoint, endpoint_message message);
  void report(report_action::kind what, const std::string& endpoint,
              std::int32_t tokens = 0, duration run = {});
  void release(placed& at, bool cancel);
  void drop_export();

  void reserve(time_point now);
  void send_reserve(time_point now);
  void refused(const reserve_reply& reply, time_point now);
  void next_decode(time_point now);
  void granted(time_point now);
  void start_prefill(time_point now);
  void prefill_failed(bool ran, time_point now);
  void start_decode(time_point now);
  void take_tokens(const tokens_message& in, time_point now);
  void relay(std::vector<std::string> tokens);
  void relay_crossed();
  void take_end(const decode_finished& in, time_point now);
  void resume(time_point now);
  void decode_failed(bool blamed, bool ran, time_point now);
  void wait(const char* reason, duration retry_after, time_point now);
  void stage_ended(time_point now);
  void give_up(int status, const char* reason, const char* detail,
               duration retry_after);
  void finish(std::optional<problem> why);
  request_actions take_actions();

  pools_work work_;
  pools_state_machine_options options_;
  request_hooks hooks_;
  request_actions actions_;

  request_stage stage_ = request_stage::idle;
  time_point stage_wake_{};
  std::uint32_t attempts_ = 0;
  std::uint32_t prefills_ = 0;
  std::uint32_t resumes_ = 0;
  std::uint32_t rounds_ = 0;  ///< of refusals, for the growing wait
  bool ran_ = false;          ///< something ran, or it can't be excluded
  bool generated_ = false;    ///< as ran_, for generation

  placed decode_;   ///< asked, promised or running there
  placed prefill_;  ///< running there, or holding the export
  std::optional<exported> export_;
  std::vector<std::string> excluded_decode_;
  std::vector<std::string> excluded_prefill_;
  duration ready_in_{};        ///< predicted prefill time at the last ask
  duration retry_after_{};     ///< least one told in this round
  time_point decode_ready_{};  ///< when promised pieces are predicted free
  bool too_large_ = false;     ///< every refusal of this round said so

  std::int32_t have_ = 0;  ///< tokens given to the caller
  std::string sent_;       ///< their text
  std::optional<std::int32_t> total_;
  std::map<std::int32_t, std::vector<std::string>> crossed_;  ///< by offset
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_POOLS_STATE_MACHINE_H_
