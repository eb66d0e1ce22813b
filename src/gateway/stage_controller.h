/// Measures the demand for prefill at this gateway and, where this process
/// leads, has engines switch between prefill and decode.
#ifndef CITRONWHARF_GATEWAY_STAGE_CONTROLLER_H_
#define CITRONWHARF_GATEWAY_STAGE_CONTROLLER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/document_cluster.h"
#include "gateway/codec.h"
#include "gateway/server_list.h"
#include "gateway/stage_planner.h"
#include "net/http_pool.h"

namespace citronwharf {

/// Measures how much of the engines is asked for, and how long prompts wait at
/// the prefill engines. No clock of its own. One thread.
class engine_meter {
 public:
  /// A request asks for a prefill of so many tokens.
  void asked(const std::string& service, std::int64_t tokens, time_point now);
  /// A prefill took so long: the shortest ones tell an engine's speed.
  void took(std::int64_t tokens, duration span, time_point now);
  /// A prefill was given up on after so long.
  void gave_up(duration span, time_point now);
  /// A request takes, or gives back, so many engines' worth of memory.
  void decodes(const std::string& service, double engines);
  /// Returns the demand by service over the last seconds.
  std::vector<engine_demand> demand(time_point now);
  /// Returns the share of prompts that decode engines had better read
  /// themselves: the longer prompts have waited at prefill engines lately, the
  /// more. Load it answers: many gateways that send to few prefill engines
  /// without knowing of each other.
  double overflow_share(time_point now);

 private:
  struct prompt {
    time_point at;
    std::int64_t tokens = 0;
  };
  double wait_now(time_point now) const;
  void waited(double seconds, time_point now);

  std::map<std::string, std::deque<prompt>> prompts_;  // by service
  std::map<std::string, double> decoding_;  // engines' worth, by service
  double seconds_per_token_ = 0;            // 0: not known
  double wait_s_ = 0;  // in front of prefill engines, as of wait_at_
  time_point wait_at_{};
};

/// Loop's thread only. Preconditions: the references outlive it.
class stage_controller {
 public:
  /// Returns the profile of a service's engines, or nullptr.
  using profile_of = std::function<const engine_profile*(const std::string&)>;

  stage_controller(process_context& process, document_cluster& cluster,
                   const gateway_codec& codec, http_pool& pool,
                   server_list& servers, profile_of profiles);
  ~stage_controller();
  stage_controller(const stage_controller&) = delete;
  stage_controller& operator=(const stage_controller&) = delete;

  void start();
  engine_meter& meter() { return meter_; }

 private:
  struct running_order {
    stage_order order;
    std::unique_ptr<http_call> call;
  };

  void tick();
  bool may_order(time_point now);
  void give(stage_order order, const engine_profile& profile);
  void send_order(std::uint64_t id, const engine_report& report);
  void end_order(std::uint64_t id, const std::string& outcome);

  process_context& process_;
  document_cluster& cluster_;
  const gateway_codec& codec_;
  http_pool& pool_;
  server_list& servers_;
  profile_of profiles_;
  runtime_timer timer_;
  engine_meter meter_;
  stage_planner planner_;
  std::uint64_t led_term_ = 0;
  time_point leads_since_{};
  std::uint64_t last_order_ = 0;
  std::map<std::uint64_t, running_order> running_;
  // Shared with handlers that may come after the controller is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_STAGE_CONTROLLER_H_
