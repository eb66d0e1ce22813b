/// The entry's side of claims: claims a request's Idempotency-Key at the
/// control replicas before anything is sent to an endpoint.
#ifndef CITRONWHARF_ENTRY_CLAIM_H_
#define CITRONWHARF_ENTRY_CLAIM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "base/process_context.h"
#include "entry/outcome.h"
#include "entry/read.h"
#include "wire/claim_messages.h"

namespace citronwharf {

/// Returns a digest by which different requests with the same Idempotency-Key
/// are told apart. Thread-safe.
std::string request_digest(const caller_request& in);

/// Refuses an Idempotency-Key on open routes, where callers have no identity.
/// `keyed` tells whether the caller was authenticated.
std::optional<problem> check_idempotency_key(const caller_request& in,
                                             bool keyed);

/// Returns the problem that ends a request with a claim in this state; nothing
/// for granted and done.
std::optional<problem> claim_problem(claim_state state);

/// Sends claims to the leading control replica and resends them until they are
/// answered. Not thread-safe; use from the event loop thread only.
class claim_client {
 public:
  using claim_callback = std::function<void(const claim_reply&)>;

  explicit claim_client(process_context& process);
  claim_client(const claim_client&) = delete;
  claim_client& operator=(const claim_client&) = delete;

  /// Claims a key. `done` is called once, never before this returns, with state
  /// unavailable if there is no answer by `deadline`.
  /// Returns an id for abandon().
  std::uint64_t claim(claim_request in, time_point deadline,
                      claim_callback done);
  /// Drops a claim that was not answered yet; its `done` is not called.
  void abandon(std::uint64_t id) { pending_.erase(id); }
  /// Reports the end of a claim; resends until it is answered or `deadline` has
  /// passed.
  void finish(claim_finish in, time_point deadline);
  /// Returns whether no message awaits an answer.
  bool idle() const { return pending_.empty(); }
  /// Sets a handler that is called each time the last pending message was
  /// answered or has passed its deadline.
  void on_idle(std::function<void()> handler) { on_idle_ = std::move(handler); }

 private:
  struct pending_message {
    std::variant<claim_request, claim_finish> message;
    time_point deadline;
    time_point resend_at;
    claim_callback done;
  };

  std::uint64_t add(pending_message added);
  void send_message(pending_message& pending, time_point now);
  void on_reply(const peer_id& from, const claim_reply& reply);
  std::string target_replica() const;
  void switch_replica();
  void complete(std::uint64_t id, const claim_reply& reply);
  void tick();
  void schedule_tick();

  process_context& process_;
  runtime_timer timer_;
  bool tick_scheduled_ = false;
  std::set<std::string> replicas_;  ///< processes that accept claims
  std::string leader_;              ///< last known or guessed, "" if unknown
  std::uint64_t last_id_ = 0;
  std::function<void()> on_idle_;
  std::map<std::uint64_t, pending_message> pending_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_CLAIM_H_
