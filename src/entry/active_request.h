/// One accepted request on its way through the filters allow, claim, place,
/// relay and answer: the driver of its life.
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
std::string request_name(const process_context& process, std::uint64_t number);

/// What a request starts with, once it is read and its route is known.
struct accepted_request {
  std::uint64_t number = 0;  ///< counted by this incarnation of the entry
  caller_identity caller;
  routed_call call;
  std::optional<claim_request> claim;  ///< of its Idempotency-Key
};

/// Loop's thread only.
class active_request {
 public:
  /// Precondition: `context` outlives it; a place in the waiting room is
  /// taken for it.
  active_request(entry_context& context, accepted_request in,
                 std::unique_ptr<http_exchange> exchange, active_span root);
  ~active_request();
  active_request(const active_request&) = delete;
  active_request& operator=(const active_request&) = delete;

  /// Takes the allowance, then goes on by itself to the end.
  void start();

  /// Hands a reply of an endpoint to the life.
  template <typename Reply>
  void on_reply(const std::string& from, const Reply& reply);
  void on_session(const std::string& endpoint, std::uint64_t incarnation);
  void on_configuration();
  void on_timer();
  std::vector<held_attempt> held() const;

 private:
  void allowed(const allowance_decision& decision);
  void claim();
  void claim_answered(const claim_reply& reply);
  void replay(const claimed_answer& answer);
  void finish_claim(request_outcome outcome);
  void place();
  void place_pools(const pools_call& call);
  void place_plain(plain_call call);
  request_hooks make_hooks();
  attempt_key base_key() const;
  void caller_left();
  void refuse(problem why);

  void perform(request_actions actions);
  void perform_one(const request_action& action, request_actions& more);
  void send(const send_action& action, request_actions& more);
  request_actions send_failed(const std::string& endpoint,
                              const attempt_key& key);
  void note_sent(const send_action& action);
  void note_report(const report_action& action);
  void note_stage(const stage_action& action);
  void relay_tokens(const std::vector<std::string>& tokens);
  void finish(const finish_action& action);
  void end(request_outcome outcome, const std::optional<problem>& why);
  void settle(std::int32_t output_tokens);
  void arm_timer();
  void leave_waiting_limiter();

  entry_context& context_;
  accepted_request in_;
  relay relay_;
  active_span root_;
  active_span stage_span_;
  active_span relay_span_;
  runtime_timer timer_;
  time_point accepted_at_;
  time_point deadline_;
  time_point last_token_{};
  time_point armed_for_{};
  bool waits_ = true;  ///< holds a place in the waiting room
  bool ended_ = false;
  std::uint64_t charge_id_ = 0;     ///< the granted acquire
  std::uint64_t allowance_id_ = 0;  ///< 0 when none is waited for
  std::uint64_t claim_id_ = 0;      ///< 0 when none is waited for
  bool claimed_ = false;            ///< the claim is to be finished
  claimed_answer answer_;           ///< to be stored with the claim
  double charged_ = 0;              ///< tokens taken from the allowance
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
