#include "gateway/stage_planner.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {

stage_planner::stage_planner(stage_planner_options options)
    : options_(options) {}

void stage_planner::reset() {
  demand_.clear();
}

void stage_planner::record_order(const std::string& server,
                                 engine_stage new_stage, time_point now) {
  orders_[server] = {new_stage, now};
}

void stage_planner::report(const std::string& service, const engine_demand& in,
                           time_point now) {
  service_demand& history = demand_[service];
  if (history.demand_since == time_point{} && in.prefill <= 0) {
    return;
  }
  if (history.demand_since == time_point{}) {
    history.demand_since = now;
  }
  if (now - history.demand_since < options_.warm_up) {
    return;
  }
  history.samples.push_back({now, in.prefill, in.decode});
  while (now - history.samples.front().at > options_.demand_window) {
    history.samples.pop_front();
  }
}

stage_planner::demand_sample stage_planner::average(
    const service_demand& history, time_point now) {
  demand_sample out{now, 0, 0};
  const auto count = static_cast<double>(history.samples.size());
  for (const demand_sample& each : history.samples) {
    out.prefill += each.prefill / count;
    out.decode += each.decode / count;
  }
  return out;
}

// Returns the number of engines that should prefill. A switching engine serves
// nobody for seconds, so none is switched while both stages have capacity for a
// burst. If they cannot both have that, engines are divided in proportion to
// demand.
std::size_t stage_planner::target_prefill_engines(
    const demand_sample& demand, std::size_t engines,
    std::size_t prefill_count) const {
  const auto engines_needed = [this](double stage_demand) {
    return static_cast<std::size_t>(
        std::ceil(options_.burst_factor * stage_demand));
  };
  const std::size_t prefill = engines_needed(demand.prefill);
  const std::size_t decode = engines_needed(demand.decode);
  if (prefill + decode <= engines) {
    return std::clamp<std::size_t>(prefill_count, prefill, engines - decode);
  }
  const double share = demand.prefill / (demand.prefill + demand.decode);
  const auto planned_prefill = static_cast<std::size_t>(
      std::round(share * static_cast<double>(engines)));
  return std::clamp<std::size_t>(planned_prefill, 1, engines - 1);
}

// Returns the stage of the engine, or the one it will have once its order is
// carried out.
engine_stage stage_planner::stage_of(const listed_server& server,
                                     time_point now) const {
  const auto issued = orders_.find(server.id);
  const bool under_way = issued != orders_.end() &&
                         now - issued->second.at < options_.order_lifetime;
  return under_way ? issued->second.stage : server.stage;
}

std::vector<stage_order> stage_planner::plan(
    const std::string& service, const std::vector<listed_server>& engines,
    const std::set<std::string>& failing, time_point now) {
  const auto found = demand_.find(service);
  if (found == demand_.end()) {
    return {};
  }
  service_demand& history = found->second;
  if (failing.empty()) {
    history.outage_since = time_point{};
  } else if (history.outage_since == time_point{}) {
    history.outage_since = now;
  }
  if (!failing.empty() && now - history.outage_since < options_.outage_grace) {
    return {};
  }
  const demand_sample demand = average(history, now);
  if (history.samples.empty() ||
      now - history.demand_since < options_.min_demand_age ||
      demand.prefill <= 0 || demand.decode <= 0) {
    return {};
  }
  std::vector<const listed_server*> counted_engines;
  std::size_t prefill_count = 0;
  for (const listed_server& engine : engines) {
    const engine_stage stage = stage_of(engine, now);
    if (engine.service != service || engine.leaving ||
        stage == engine_stage::none || failing.count(engine.id) != 0) {
      continue;
    }
    counted_engines.push_back(&engine);
    prefill_count += stage == engine_stage::prefill ? 1 : 0;
  }
  const double min_demand =
      options_.min_demand_share * static_cast<double>(counted_engines.size());
  if (counted_engines.size() < 2 ||
      demand.prefill + demand.decode < min_demand) {
    return {};
  }
  const std::size_t planned_prefill =
      target_prefill_engines(demand, counted_engines.size(), prefill_count);
  const auto decode_count =
      static_cast<double>(counted_engines.size() - prefill_count);
  const bool decode_has_room =
      demand.decode < options_.max_decode_utilisation * decode_count;
  const bool prefill_starved =
      static_cast<double>(prefill_count) < demand.prefill &&
      planned_prefill > prefill_count && decode_has_room;
  std::size_t switches = 0;
  engine_stage new_stage = engine_stage::none;
  if (prefill_count > planned_prefill) {
    switches = prefill_count - planned_prefill;
    new_stage = engine_stage::decode;
  } else if (prefill_starved) {
    switches = 1;
    new_stage = engine_stage::prefill;
  }
  std::vector<stage_order> out;
  for (const listed_server* engine : counted_engines) {
    const auto issued = orders_.find(engine->id);
    const bool switched_recently =
        issued != orders_.end() &&
        now - issued->second.at < options_.min_switch_interval;
    if (switches == 0 || switched_recently ||
        stage_of(*engine, now) == new_stage) {
      continue;
    }
    --switches;
    stage_order order;
    order.server = engine->id;
    order.address = engine->address;
    order.stage = new_stage;
    order.engines = counted_engines.size();
    order.target = planned_prefill;
    order.prefill_engines = demand.prefill;
    order.decode_engines = demand.decode;
    orders_[engine->id] = {new_stage, now};
    out.push_back(order);
  }
  return out;
}

}  // namespace citronwharf
