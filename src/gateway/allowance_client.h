/// Takes tokens of the fleet's allowances for a gateway. Keeps the accounts
/// for all gateways while this process is the leader.
#ifndef CITRONWHARF_GATEWAY_ALLOWANCE_CLIENT_H_
#define CITRONWHARF_GATEWAY_ALLOWANCE_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "control/document_cluster.h"
#include "gateway/fleet_allowance.h"
#include "net/peer_hub.h"

namespace citronwharf {

/// The outcome of asking for tokens.
struct allowance_answer {
  bool granted = false;
  duration waited{};      ///< until the decision
  duration wait{};        ///< when refused: until the caller may retry
  const char* source;     ///< what decided: surplus, leader or own_part
  bool by_leader = true;  ///< granted by the leader or from its surplus
};

/// Tokens that a request was granted. Immutable.
struct allowance_grant {
  double tokens = 0;
  /// Granted by the leader or from its surplus; else from this gateway's part.
  bool by_leader = false;
  time_point at;
};
inline bool operator==(const allowance_grant& lhs, const allowance_grant& rhs) {
  return lhs.tokens == rhs.tokens && lhs.by_leader == rhs.by_leader &&
         lhs.at == rhs.at;
}

/// Not thread-safe; use from the event loop thread only. Preconditions: peers
/// and cluster outlive it.
class allowance_client {
 public:
  using decision_handler = std::function<void(const allowance_answer&)>;
  /// Returns the limit of an account.
  using limit_lookup = std::function<account_limit(const std::string&)>;

  allowance_client(boost::asio::io_context& loop, peer_hub& peers,
                   document_cluster& cluster, std::uint64_t seed,
                   limit_lookup limits);
  ~allowance_client();
  allowance_client(const allowance_client&) = delete;
  allowance_client& operator=(const allowance_client&) = delete;

  /// Asks for tokens. The request may wait for up to `max_wait`, both for the
  /// tokens and for a leader. `urgency` orders the requests of an account, 0 is
  /// the most urgent. Calls `answer` once, possibly before returning.
  void take(const std::string& account, double tokens, std::int64_t urgency,
            duration max_wait, decision_handler answer);
  /// Returns whether the account has these tokens now. Valid at the leader
  /// only.
  bool has_tokens(const std::string& account, double tokens);
  /// Takes tokens for a request that this process places for the fleet. Valid
  /// at the leader only.
  void take_as_leader(const std::string& account, double tokens);
  /// Returns to the leader the tokens of a request that never ran.
  void return_tokens(const std::string& account, const allowance_grant& grant);

 private:
  struct pending_ask {
    std::string account;
    double tokens = 0;
    std::int64_t urgency = 0;
    // Goes after more urgent requests while there is no leader.
    bool yields = false;
    time_point asked_at;
    time_point wait_deadline;   // for its tokens
    time_point reply_deadline;  // for the leader's next reply
    decision_handler answer;
  };

  bool update_leadership();
  fleet_tokens_reply answer_ask(const std::string& process,
                                const fleet_tokens_ask& in);
  void on_reply(const fleet_tokens_reply& in);
  void report_spent();
  void reply_to_queued();
  void ask_leader_or_decide(pending_ask ask);
  void decide_locally(pending_ask ask);
  bool is_preceded(const pending_ask& ask) const;
  void check_deadlines();
  void schedule_check();
  void schedule_queue_replies();

  peer_hub& peers_;
  document_cluster& cluster_;
  std::mt19937_64 random_;
  limit_lookup limits_;
  runtime_timer check_timer_;
  bool check_scheduled_ = false;
  runtime_timer queue_timer_;
  fleet_allowance_leader leader_accounts_;
  bool was_leading_ = false;
  fleet_allowance_share share_;
  // Starts at random: the leader may reply to a queued request of an earlier
  // incarnation of this process.
  std::uint64_t last_ask_;
  std::map<std::uint64_t, pending_ask> pending_asks_;
  // Asked again at the next check: there was no leader, and the own part did
  // not suffice.
  std::vector<pending_ask> undecided_asks_;
  // Shared with handlers, which may run after the client was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ALLOWANCE_CLIENT_H_
