/// Asks the leader for engines on behalf of a gateway's generations, and places
/// those of all gateways where this process leads.
#ifndef CITRONWHARF_GATEWAY_PLACEMENT_CLIENT_H_
#define CITRONWHARF_GATEWAY_PLACEMENT_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/process_context.h"
#include "control/document_cluster.h"
#include "gateway/engine_scheduler.h"

namespace citronwharf {

/// Loop's thread only. Preconditions: process and cluster outlive it.
class placement_client {
 public:
  /// Called with the grant once it is placed or refused, or with not_leading
  /// when no leader answers and the gateway has to decide alone.
  using done = std::function<void(const placement_grant&)>;

  placement_client(process_context& process, document_cluster& cluster);
  ~placement_client();
  placement_client(const placement_client&) = delete;
  placement_client& operator=(const placement_client&) = delete;

  void start();
  /// The engines of the fleet, and switches of them.
  void set_engines(const std::vector<listed_server>& listed);
  void set_profile(const std::string& service, const engine_profile& profile);
  void switching(const std::string& engine, const announced_switch& in);
  void mark_outlier(const std::string& engine, duration span);

  /// Asks for engines. Returns the id of the ask, to be released at its end
  /// whatever came of it; `answer` isn't called within this call, nor after
  /// the release.
  std::uint64_t ask(placement_ask in, done answer);
  /// Tells that a generation runs on an engine that the leader did not grant.
  std::uint64_t claim(placement_claim in);
  void release(std::uint64_t id, std::int64_t output_tokens, duration span);
  /// Releases a grant without having sent anything to its engines.
  void give_back(std::uint64_t id);
  void observe(const engine_observation& in);

  /// Returns the demand for a service's engines; at the leader only.
  engine_load load(const std::string& service);
  /// Returns the engines of a service that fail; at the leader only.
  std::set<std::string> failing(const std::string& service) const;
  bool leads() const { return led_; }

 private:
  struct pending_ask {
    done answer;
    time_point deadline;   // for a word of the leader
    bool waiting = false;  // in the leader's queue
  };

  struct running_generation {
    placement_claim claim;  // without its age; server "" until it is placed
    time_point placed_at;
  };

  void set_handlers();
  template <typename Message>
  void tell_leader(const Message& out);
  void take_lead();
  void pump();
  void deliver(const placement_decision& decision);
  void take_grant(const placement_grant& in);
  void decide_alone(std::uint64_t id);
  void forget(const placement_release& in);
  void tick();
  void log_state(time_point now);
  void tell_waiting(time_point now);
  void leader_is_alive();
  void schedule_tick();
  void claim_all();

  process_context& process_;
  document_cluster& cluster_;
  runtime_timer timer_;
  engine_scheduler scheduler_;
  bool led_ = false;
  std::string claimed_at_;  // leader that knows what runs here
  time_point asks_again_at_{};
  time_point state_logged_at_{};
  time_point told_waiting_at_{};
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, pending_ask> asks_;
  std::map<std::uint64_t, running_generation> running_;
  // Shared with handlers that may come after the client is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_PLACEMENT_CLIENT_H_
