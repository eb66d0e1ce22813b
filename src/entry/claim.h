/// The filter that claims a request's Idempotency-Key before anything is sent:
/// the entry's side of claims.
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

/// Returns the digest that tells a request with the same key from another.
/// Thread-safe.
std::string request_digest(const caller_request& in);

/// Refuses a key on open routes, where callers can't be told apart.
std::optional<problem> check_claim(const caller_request& in, bool keyed);

/// Returns how a claim that was not granted ends the request; nothing for
/// granted and done.
std::optional<problem> claim_problem(claim_state state);

/// Asks the control replicas, whichever leads, until they answer. Loop's
/// thread only.
class claim_client {
 public:
  using claimed = std::function<void(const claim_reply&)>;

  explicit claim_client(process_context& process);
  claim_client(const claim_client&) = delete;
  claim_client& operator=(const claim_client&) = delete;

  /// Claims; `done` is called once, never before this returns, with state
  /// unavailable when there is no answer by `until`.
  /// Returns an id for abandon().
  std::uint64_t claim(claim_request in, time_point until, claimed done);
  /// Forgets a claim that was not answered yet.
  void abandon(std::uint64_t id) { waiting_.erase(id); }
  /// Tells a claim's end, again and again until it was taken or `until`.
  void finish(claim_finish in, time_point until);
  /// Returns whether nothing is waiting for an answer.
  bool idle() const { return waiting_.empty(); }
  /// Calls `handler` each time the last answer has come.
  void on_idle(std::function<void()> handler) { idle_ = std::move(handler); }

 private:
  struct waiting {
    std::variant<claim_request, claim_finish> message;
    time_point until;
    time_point again_at;
    claimed done;
  };

  std::uint64_t add(waiting added);
  void ask(waiting& one, time_point now);
  void take(const peer_id& from, const claim_reply& reply);
  std::string target() const;
  void next_target();
  void end(std::uint64_t id, const claim_reply& reply);
  void tick();
  void schedule_tick();

  process_context& process_;
  runtime_timer timer_;
  bool ticking_ = false;
  std::set<std::string> replicas_;  ///< processes that take claims
  std::string leader_;              ///< as last told, "" when unknown
  std::uint64_t last_id_ = 0;
  std::function<void()> idle_;
  std::map<std::uint64_t, waiting> waiting_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_CLAIM_H_
