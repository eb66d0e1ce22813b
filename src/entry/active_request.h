/// Drives one accepted request through the steps allow, claim, place, relay and
/// answer, and performs the actions of its state machine.
#ifndef CITRONWHARF_ENTRY_ACTIVE_REQUEST_H_
#define CITRONWHARF_ENTRY_ACTIVE_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/authenticate.h"
#include "entry/entry_context.h"
#include "entry/plain_state_machine.h"
#include "entry/pools_state_machine.h"
#include "entry/relay.h"
#include "entry/route.h"

namespace citronwharf {

/// Returns the X-Request-Id of a request of this process. Thread-safe.
std::string format_request_id(const process_context& process,
                              std::uint64_t number);

/// A request that has been read and whose route is known.
struct accepted_request {
  std::uint64_t number = 0;  ///< unique within this incarnation of the entry
  caller_identity caller;
  routed_call call;
  std::optional<claim_request> claim;  ///< for its Idempotency-Key
};

/// Not thread-safe; use from the event loop thread only.
class active_request {
 public:
  /// Precondition: `context` outlives the request, and a slot of the waiting
  /// limiter has been taken for it.
  active_request(entry_context& context, accepted_request request,
                 std::unique_ptr<http_exchange> exchange, active_span root);
  ~active_request();
  active_request(const active_request&) = delete;
  active_request& operator=(const active_request&) = delete;

  /// Acquires the allowance; all further steps follow without more calls.
  void start();

  /// Passes an endpoint's reply to the state machine.
  template <typename Reply>
  void on_reply(const std::string& from, const Reply& reply);
  void on_session(const std::string& endpoint, std::uint64_t incarnation);
  void on_configuration();
  void on_timer();
  std::vector<held_attempt> held() const;

 private:
  void on_allowance_decision(const allowance_decision& decision);
  void request_claim();
  void on_claim_reply(const claim_reply& reply);
  void replay(const claimed_answer& answer);
  void finish_claim(request_outcome outcome);
  void start_state_machine();
  void start_pools(const pools_call& call);
  void start_plain(plain_call call);
  request_hooks make_hooks();
  attempt_key base_key() const;
  void on_caller_left();
  void refuse(problem failure);

  void perform(request_actions actions);
  void perform_action(const request_action& action, request_actions& follow_up);
  void send(const send_action& action, request_actions& follow_up);
  request_actions report_send_failure(const std::string& endpoint,
                                      const attempt_key& key);
  void record_sent(const send_action& action);
  void record_report(const report_action& action);
  void start_stage_span(const stage_action& action);
  void relay_tokens(const std::vector<std::string>& tokens);
  void finish(const finish_action& action);
  void complete_request(request_outcome outcome,
                        const std::optional<problem>& failure);
  void refund_unused(std::int32_t output_tokens);
  void arm_timer();
  void leave_waiting_limiter();

  entry_context& context_;
  accepted_request request_;
  relay relay_;
  active_span root_;
  active_span stage_span_;
  active_span relay_span_;
  runtime_timer timer_;
  time_point accepted_at_;
  time_point deadline_;
  time_point last_token_{};
  time_point timer_wake_time_{};
  bool holds_waiting_slot_ = true;  ///< in the waiting limiter
  bool ended_ = false;
  std::uint64_t charged_allowance_id_ = 0;  ///< the granted acquisition
  std::uint64_t pending_allowance_id_ = 0;  ///< 0 when none is pending
  std::uint64_t pending_claim_id_ = 0;      ///< 0 when none is pending
  bool claim_unfinished_ = false;           ///< must be finished
  claimed_answer answer_;                   ///< stored with the claim
  double charged_tokens_ = 0;               ///< taken from the allowance
  std::unique_ptr<pools_state_machine> pools_machine_;
  std::unique_ptr<plain_state_machine> plain_machine_;
};

template <typename Reply>
void active_request::on_reply(const std::string& from, const Reply& reply) {
  const time_point now = runtime_clock::now();
  if constexpr (std::is_same_v<Reply, plain_reply>) {
    if (plain_machine_) {
      perform(plain_machine_->on_reply(from, reply, now));
    }
  } else {
    if (pools_machine_) {
      perform(pools_machine_->on_reply(from, reply, now));
    }
  }
}

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ACTIVE_REQUEST_H_
