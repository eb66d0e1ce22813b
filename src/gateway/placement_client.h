/// Requests engines from the leader for the generations of a gateway. If this
/// process leads, also runs the scheduler for all gateways.
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

/// Not thread-safe; use from the event loop thread only. Preconditions: process
/// and cluster outlive it.
class placement_client {
 public:
  /// Called with the grant once the request is placed or refused, or with
  /// not_leading if no leader answers and the gateway has to decide locally.
  using grant_handler = std::function<void(const placement_grant&)>;

  placement_client(process_context& process, document_cluster& cluster,
                   engine_limit_hooks limits = {});
  ~placement_client();
  placement_client(const placement_client&) = delete;
  placement_client& operator=(const placement_client&) = delete;

  void start();
  /// Sets the engines of the fleet.
  void set_engines(const std::vector<listed_server>& listed);
  void set_profile(const std::string& service, const engine_profile& profile);
  void begin_switch(const std::string& engine, const announced_switch& in);
  void mark_outlier(const std::string& engine, duration span);

  /// Requests engines. Returns the id of the request, which must be released at
  /// its end whatever the outcome. `on_grant` is called neither from within
  /// this call nor after the release.
  std::uint64_t ask(placement_ask in, grant_handler on_grant);
  /// Reports a generation that runs on an engine without a grant of the leader.
  std::uint64_t claim(placement_claim in);
  void release(std::uint64_t id, std::int64_t output_tokens, duration span);
  /// Releases a grant for which nothing was sent to the engines.
  void release_unused(std::uint64_t id);
  void observe(const engine_observation& in);
  /// Records a prefill that this gateway observed. Preconditions: `tokens` and
  /// `span` are positive.
  void add_prefill(const std::string& service, std::int64_t tokens,
                   duration span);
  /// Returns the time of a prefill at an engine of the service without a queue,
  /// as learned from the prefills that this gateway observed.
  duration predicted_prefill(const std::string& service,
                             std::int64_t tokens) const;

  /// Returns the demand for the engines of a service. Valid at the leader only.
  engine_demand demand(const std::string& service);
  /// Returns the ids of the engines of a service that fail. Valid at the leader
  /// only.
  std::set<std::string> failing(const std::string& service) const;
  bool leads() const { return leading_; }

 private:
  struct pending_request {
    grant_handler on_grant;
    time_point deadline;            // for the next message of the leader
    bool queued_at_leader = false;  // as the leader has confirmed
  };

  struct running_generation {
    placement_claim claim;  // age not set; server "" until placed
    time_point placed_at;
  };

  void set_handlers();
  template <typename Message>
  void send_to_leader(const Message& out);
  void update_leadership();
  void send_decisions();
  void send_grant(const placement_decision& decision);
  void handle_grant(const placement_grant& in);
  void decide_locally(std::uint64_t id);
  void end_request(const placement_release& in);
  void tick();
  void log_usage(time_point now);
  void log_speeds();
  void send_keepalives(time_point now);
  void handle_keepalive();
  void schedule_tick();
  void send_claims();

  process_context& process_;
  document_cluster& cluster_;
  runtime_timer timer_;
  engine_scheduler scheduler_;
  bool leading_ = false;
  std::string claims_sent_to_;  // leader that got the claims of this process
  time_point leader_retry_at_{};
  time_point usage_logged_at_{};
  std::set<std::string> unequal_services_;  // as logged last
  time_point keepalives_sent_at_{};
  std::map<std::string, prefill_speed> prefills_;  // by service
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, pending_request> pending_;
  std::map<std::uint64_t, running_generation> running_;
  // Checked by handlers that may run after the client is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_PLACEMENT_CLIENT_H_
