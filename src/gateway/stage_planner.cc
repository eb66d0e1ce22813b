#include "gateway/stage_planner.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {

stage_planner::stage_planner(stage_planner_options options)
    : options_(options) {}

void stage_planner::reset() {
  demand_.clear();
}

void stage_planner::ordered(const std::string& server, engine_stage to,
                            time_point now) {
  orders_[server] = {to, now};
}

void stage_planner::report(const std::string& service, const engine_load& in,
                           time_point now) {
  demand_of& of = demand_[service];
  if (of.since == time_point{} && in.prefill <= 0) {
    return;
  }
  if (of.since == time_point{}) {
    of.since = now;
  }
  if (now - of.since < options_.ramp) {
    return;
  }
  of.samples.push_back({now, in.prefill, in.decode});
  while (now - of.samples.front().at > options_.demand_window) {
    of.samples.pop_front();
  }
}

stage_planner::sample stage_planner::average(const demand_of& of,
                                             time_point now) {
  sample out{now, 0, 0};
  const auto count = static_cast<double>(of.samples.size());
  for (const sample& each : of.samples) {
    out.prefill += each.prefill / count;
    out.decode += each.decode / count;
  }
  return out;
}

// An engine that switches serves nobody for seconds, so that none does while
// both stages have room for a burst. Where they can't, both are to have the
// same room for their demand.
std::size_t stage_planner::target(const sample& demand, std::size_t engines,
                                  std::size_t prefilling) const {
  const auto needed = [this](double of) {
    return static_cast<std::size_t>(std::ceil(options_.burst_factor * of));
  };
  const std::size_t prefill = needed(demand.prefill);
  const std::size_t decode = needed(demand.decode);
  if (prefill + decode <= engines) {
    return std::clamp<std::size_t>(prefilling, prefill, engines - decode);
  }
  const double share = demand.prefill / (demand.prefill + demand.decode);
  const auto wanted = static_cast<std::size_t>(
      std::round(share * static_cast<double>(engines)));
  return std::clamp<std::size_t>(wanted, 1, engines - 1);
}

// What the engine does, or will do once its order is carried out.
engine_stage stage_planner::stage_of(const listed_server& server,
                                     time_point now) const {
  const auto given = orders_.find(server.id);
  const bool under_way = given != orders_.end() &&
                         now - given->second.at < options_.order_lifetime;
  return under_way ? given->second.stage : server.stage;
}

std::vector<stage_order> stage_planner::plan(
    const std::string& service, const std::vector<listed_server>& engines,
    const std::set<std::string>& failing, time_point now) {
  const auto found = demand_.find(service);
  if (found == demand_.end()) {
    return {};
  }
  demand_of& of = found->second;
  if (failing.empty()) {
    of.outage_since = time_point{};
  } else if (of.outage_since == time_point{}) {
    of.outage_since = now;
  }
  if (!failing.empty() && now - of.outage_since < options_.outage_patience) {
    return {};
  }
  const sample demand = average(of, now);
  if (of.samples.empty() || now - of.since < options_.settling ||
      demand.prefill <= 0 || demand.decode <= 0) {
    return {};
  }
  std::vector<const listed_server*> staged;
  std::size_t prefilling = 0;
  for (const listed_server& engine : engines) {
    const engine_stage stage = stage_of(engine, now);
    if (engine.service != service || engine.leaving ||
        stage == engine_stage::none || failing.count(engine.id) != 0) {
      continue;
    }
    staged.push_back(&engine);
    prefilling += stage == engine_stage::prefill ? 1 : 0;
  }
  const double known =
      options_.min_demand_share * static_cast<double>(staged.size());
  if (staged.size() < 2 || demand.prefill + demand.decode < known) {
    return {};
  }
  const std::size_t wanted = target(demand, staged.size(), prefilling);
  const auto decoding = static_cast<double>(staged.size() - prefilling);
  const bool decode_has_room =
      demand.decode < options_.max_decode_use * decoding;
  const bool starved = static_cast<double>(prefilling) < demand.prefill &&
                       wanted > prefilling && decode_has_room;
  std::size_t moves = 0;
  engine_stage to = engine_stage::none;
  if (prefilling > wanted) {
    moves = prefilling - wanted;
    to = engine_stage::decode;
  } else if (starved) {
    moves = 1;
    to = engine_stage::prefill;
  }
  std::vector<stage_order> out;
  for (const listed_server* engine : staged) {
    const auto given = orders_.find(engine->id);
    const bool stays =
        given != orders_.end() && now - given->second.at < options_.min_stay;
    if (moves == 0 || stays || stage_of(*engine, now) == to) {
      continue;
    }
    --moves;
    stage_order order;
    order.server = engine->id;
    order.address = engine->address;
    order.stage = to;
    order.engines = staged.size();
    order.target = wanted;
    order.prefill_engines = demand.prefill;
    order.decode_engines = demand.decode;
    orders_[engine->id] = {to, now};
    out.push_back(order);
  }
  return out;
}

}  // namespace citronwharf
