/// Decides how many engines of a service prefill and how many decode.
#ifndef CITRONWHARF_GATEWAY_STAGE_PLANNER_H_
#define CITRONWHARF_GATEWAY_STAGE_PLANNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/engine_scheduler.h"

namespace citronwharf {

struct stage_planner_options {
  /// Load to be ready for, as a multiple of the present one: a burst comes and
  /// goes within the time that a switch takes.
  double burst_factor = 2;
  /// Demand below this share of the engines says nothing of the ratio.
  double min_demand_share = 0.2;
  /// Demand is averaged over this.
  duration demand_window = seconds(6);
  /// The first second of a load that is measured over a second is no measure.
  duration ramp = seconds(1);
  /// Demand is trusted after there was some for so long.
  duration settling = seconds(2);
  /// An order is not repeated before it was surely carried out or lost: orders
  /// without an answer may be carried out seconds later.
  duration order_lifetime = seconds(20);
  /// Between two orders to the same engine. Switching costs seconds of service.
  duration min_stay = seconds(30);
  /// A decode engine ends its requests before it switches. Above this share of
  /// decode memory in use none is taken away: decode engines read prompts
  /// themselves meanwhile.
  double max_decode_use = 0.5;
  /// Engines that fail are mostly back sooner than another one has switched.
  /// After this long they are left out of the count.
  duration outage_patience = seconds(10);
};

/// Orders one engine to another stage.
struct stage_order {
  std::string server;  ///< id
  std::string address;
  engine_stage stage = engine_stage::none;
  std::uint64_t engines = 0;   ///< of the service that are not leaving
  std::uint64_t target = 0;    ///< of them that shall prefill
  double prefill_engines = 0;  ///< demand
  double decode_engines = 0;
};

/// Load it answers: decode memory is full while most prefill engines are idle,
/// or prompts queue while decode engines are idle. No I/O, no clock of its
/// own. One thread.
class stage_planner {
 public:
  explicit stage_planner(stage_planner_options options);

  /// Takes the present demand for a service's engines. Call at even spans.
  void report(const std::string& service, const engine_load& in,
              time_point now);
  /// Forgets the demand, as when another process led meanwhile. Orders that
  /// were announced stand.
  void reset();
  /// An engine was ordered to another stage, by this process or the one that
  /// led before.
  void ordered(const std::string& server, engine_stage to, time_point now);
  /// Returns the orders that are due now, given the engines of a service and
  /// the ids of those that fail.
  std::vector<stage_order> plan(const std::string& service,
                                const std::vector<listed_server>& engines,
                                const std::set<std::string>& failing,
                                time_point now);

 private:
  struct sample {
    time_point at;
    double prefill = 0;
    double decode = 0;
  };
  struct demand_of {
    std::deque<sample> samples;
    time_point since{};
    time_point outage_since{};  // zero while no engine fails
  };
  struct given_order {
    engine_stage stage = engine_stage::none;
    time_point at;
  };

  static sample average(const demand_of& of, time_point now);
  std::size_t target(const sample& demand, std::size_t engines,
                     std::size_t prefilling) const;
  engine_stage stage_of(const listed_server& server, time_point now) const;

  stage_planner_options options_;
  std::map<std::string, demand_of> demand_;    // by service
  std::map<std::string, given_order> orders_;  // by server id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_STAGE_PLANNER_H_
