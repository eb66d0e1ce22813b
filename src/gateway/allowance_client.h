/// Takes tokens of organisations' allowances for a gateway, and counts them
/// for all gateways where this process leads.
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
  duration waited{};      ///< for the tokens
  duration wait{};        ///< when refused: until the caller may come back
  const char* source;     ///< who decided: surplus, leader or own_part
  bool by_leader = true;  ///< the first two
};

/// Tokens that a request was granted. Immutable.
struct allowance_grant {
  double tokens = 0;
  bool by_leader = false;  ///< or from its surplus, else this gateway's part
  time_point at;
};
inline bool operator==(const allowance_grant& lhs, const allowance_grant& rhs) {
  return lhs.tokens == rhs.tokens && lhs.by_leader == rhs.by_leader &&
         lhs.at == rhs.at;
}

/// Loop's thread only. Preconditions: peers and cluster outlive it.
class allowance_client {
 public:
  using done = std::function<void(const allowance_answer&)>;
  /// Returns the limit of an organisation by its name.
  using limit_of = std::function<allowance(const std::string&)>;

  allowance_client(boost::asio::io_context& loop, peer_hub& peers,
                   document_cluster& cluster, std::uint64_t seed,
                   limit_of limits);
  ~allowance_client();
  allowance_client(const allowance_client&) = delete;
  allowance_client& operator=(const allowance_client&) = delete;

  /// Asks for tokens, for which the request may wait as long as `max_wait`, for
  /// a leader too; `answer` is called once, perhaps before this returns.
  void take(const std::string& organisation, double tokens, duration max_wait,
            done answer);
  /// Gives back the tokens of a request that never ran.
  void give_back(const std::string& organisation, const allowance_grant& of);

 private:
  struct pending_ask {
    std::string organisation;
    double tokens = 0;
    time_point asked;
    time_point until;     // it may wait for tokens
    time_point deadline;  // of the leader's next reply
    done answer;
  };

  fleet_tokens_reply count(const std::string& process,
                           const fleet_tokens_ask& in);
  void take_reply(const fleet_tokens_reply& in);
  void tell_spent();
  void reply_to_queued();
  void ask_or_decide(pending_ask ask);
  void decide_alone(pending_ask ask);
  void sweep();
  void arm();
  void arm_queue();

  peer_hub& peers_;
  document_cluster& cluster_;
  std::mt19937_64 random_;
  limit_of limits_;
  runtime_timer timer_;
  bool armed_ = false;
  runtime_timer queue_timer_;
  fleet_allowance_leader home_;
  bool led_ = false;
  fleet_allowance_share share_;
  std::uint64_t last_ask_ = 0;
  std::map<std::uint64_t, pending_ask> asks_;
  std::vector<pending_ask> parked_;  // until there is a leader
  // Shared with handlers that may come after the client is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ALLOWANCE_CLIENT_H_
