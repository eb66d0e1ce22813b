/// Switches engines between prefill and decode. Active only while this process
/// leads.
#ifndef CITRONWHARF_GATEWAY_STAGE_CONTROLLER_H_
#define CITRONWHARF_GATEWAY_STAGE_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/document_cluster.h"
#include "gateway/codec.h"
#include "gateway/placement_client.h"
#include "gateway/server_limits.h"
#include "gateway/server_list.h"
#include "gateway/stage_planner.h"
#include "net/http_pool.h"

namespace citronwharf {

/// Not thread-safe; use from the event loop thread only. Preconditions: the
/// references outlive it.
class stage_controller {
 public:
  /// Returns the engine profiles by service.
  using profiles_of = std::function<std::map<std::string, engine_profile>()>;

  stage_controller(process_context& process, document_cluster& cluster,
                   const gateway_codec& codec, http_pool& pool,
                   server_list& servers, placement_client& placement,
                   const server_limits& limits, profiles_of profiles);
  ~stage_controller();
  stage_controller(const stage_controller&) = delete;
  stage_controller& operator=(const stage_controller&) = delete;

  void start();

 private:
  struct pending_order {
    stage_order order;
    std::unique_ptr<http_call> call;
  };

  void tick();
  bool can_order(time_point now);
  void issue_order(stage_order order, const engine_profile& profile);
  void send_order(std::uint64_t id, const engine_report& report);
  void end_order(std::uint64_t id, const std::string& outcome);

  process_context& process_;
  document_cluster& cluster_;
  const gateway_codec& codec_;
  http_pool& pool_;
  server_list& servers_;
  placement_client& placement_;
  const server_limits& limits_;
  profiles_of profiles_;
  runtime_timer timer_;
  stage_planner planner_;
  std::uint64_t leader_term_ = 0;
  time_point leader_since_{};
  std::uint64_t last_order_id_ = 0;
  std::map<std::uint64_t, pending_order> pending_orders_;
  // Checked by handlers that may run after the controller is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_STAGE_CONTROLLER_H_
