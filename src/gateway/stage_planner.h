/// Plans how many engines of a service prefill and how many decode.
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
  /// Load to be prepared for, as a multiple of the present load: a burst comes
  /// and goes within the time that a switch takes.
  double burst_factor = 2;
  /// Demand below this share of the engines is no basis for the ratio.
  double min_demand_share = 0.2;
  /// Window over which demand is averaged.
  duration demand_window = seconds(6);
  /// Demand is itself measured over a second, so the first second of a load is
  /// ignored.
  duration warm_up = seconds(1);
  /// Demand is acted upon only after it has existed for this long.
  duration min_demand_age = seconds(2);
  /// An order is considered to be in effect for this long and is not repeated:
  /// orders that were not answered may still be carried out seconds later.
  duration order_lifetime = seconds(20);
  /// Minimum time between two orders to one engine. A switch costs seconds of
  /// service.
  duration min_switch_interval = seconds(30);
  /// A decode engine finishes its requests before it switches. If more than
  /// this share of the decode memory is in use, no decode engine is switched;
  /// meanwhile decode engines prefill prompts themselves.
  double max_decode_utilisation = 0.5;
  /// Nothing is switched within this time after engines begin to fail: most
  /// recover sooner than another engine can switch. After that, engines that
  /// fail are not counted.
  duration outage_grace = seconds(10);
};

/// Order to one engine to switch to another stage.
struct stage_order {
  std::string server;  ///< id
  std::string address;
  engine_stage stage = engine_stage::none;
  std::uint64_t engines = 0;   ///< with a stage, not leaving or failing
  std::uint64_t target = 0;    ///< planned number of prefill engines
  double prefill_engines = 0;  ///< demand
  double decode_engines = 0;
};

/// Designed for this load: decode memory is full while most prefill engines are
/// idle, or prompts queue while decode engines are idle.
///
/// Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class stage_planner {
 public:
  explicit stage_planner(stage_planner_options options);

  /// Adds a sample of the demand for the engines of a service. Must be called
  /// at regular intervals.
  void report(const std::string& service, const engine_demand& in,
              time_point now);
  /// Clears the demand, for use when another process has led meanwhile.
  /// Recorded orders are kept.
  void reset();
  /// Records an order that this process or the previous leader has sent to an
  /// engine.
  void record_order(const std::string& server, engine_stage new_stage,
                    time_point now);
  /// Returns the orders that are due now, given the engines of a service and
  /// the ids of those that fail.
  std::vector<stage_order> plan(const std::string& service,
                                const std::vector<listed_server>& engines,
                                const std::set<std::string>& failing,
                                time_point now);

 private:
  struct demand_sample {
    time_point at;
    double prefill = 0;
    double decode = 0;
  };
  struct service_demand {
    std::deque<demand_sample> samples;
    time_point demand_since{};
    time_point outage_since{};  // zero: no engine fails
  };
  struct issued_order {
    engine_stage stage = engine_stage::none;
    time_point at;
  };

  static demand_sample average(const service_demand& history, time_point now);
  std::size_t target_prefill_engines(const demand_sample& demand,
                                     std::size_t engines,
                                     std::size_t prefill_count) const;
  engine_stage stage_of(const listed_server& server, time_point now) const;

  stage_planner_options options_;
  std::map<std::string, service_demand> demand_;  // by service
  std::map<std::string, issued_order> orders_;    // by server id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_STAGE_PLANNER_H_
