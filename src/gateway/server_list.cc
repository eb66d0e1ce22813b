#include "gateway/server_list.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citronwharf {
namespace {

// Added to the load of a server in another failure domain: enough to decide
// between equals.
constexpr double distance_cost = 0.02;
// Added for a server that failed lately, so that it only serves as the last
// resort.
constexpr double ejected_cost = 1000;
constexpr double full_cost = 10;
// Breaks ties, so that gateways don't all choose the same server.
constexpr double tie_break = 0.01;

}  // namespace

server_list::server_list(server_list_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

bool server_list::replace(const std::vector<listed_server>& listed,
                          time_point now) {
  bool changed = false;
  std::set<std::string> ids;
  for (const listed_server& each : listed) {
    ids.insert(each.id);
    server_state& state = servers_[each.id];
    if (state.listed_leaving && !each.leaving) {
      // It ended and came back under the same id.
      state.leaving_until = time_point{};
    }
    state.listed_leaving = each.leaving;
    listed_server known = each;
    known.leaving = each.leaving || now < state.leaving_until;
    changed = changed || state.listed != known;
    state.listed = std::move(known);
  }
  for (auto each = servers_.begin(); each != servers_.end();) {
    const bool gone = ids.count(each->first) == 0;
    changed = changed || gone;
    each = gone ? servers_.erase(each) : std::next(each);
  }
  return changed;
}

std::size_t server_list::leaving() const {
  return static_cast<std::size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& each) { return each.second.listed.leaving; }));
}

bool server_list::is_full(const server_state& state, const server_need& need,
                          time_point now) {
  if (now < state.full_until) {
    return true;
  }
  if (need.kv_tokens > 0 && state.tokens + need.tokens > need.kv_tokens) {
    return true;
  }
  return state.listed.slots > 0 && state.in_flight >= state.listed.slots;
}

double server_list::cost(const server_state& state, const server_need& need,
                         time_point now) {
  std::int64_t busy = state.in_flight;
  if (state.load && now - state.load_at < options_.load_lifetime) {
    busy = std::max(busy, state.load->running + state.load->waiting);
  }
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(1, state.listed.slots));
  double cost = static_cast<double>(busy) / slots;
  if (need.kv_tokens > 0) {
    // A request in another gateway's count takes about as much memory as this.
    const auto tokens = static_cast<double>(
        std::max(state.tokens, busy * std::max<std::int64_t>(need.tokens, 1)));
    cost = std::max(cost, tokens / static_cast<double>(need.kv_tokens));
  }
  if (!need.near.empty() && state.listed.failure_domain != need.near) {
    cost += distance_cost;
  }
  if (is_full(state, need, now)) {
    cost += full_cost;
  }
  if (state.ejected.holds(now) || now < state.outlier_until) {
    cost += ejected_cost;
  }
  std::uniform_real_distribution<double> noise(0, tie_break);
  return cost + noise(random_);
}

std::optional<chosen_server> server_list::choose(const server_need& need,
                                                 time_point now) {
  const server_state* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (const auto& [id, state] : servers_) {
    const listed_server& listed = state.listed;
    if (listed.service != need.service || listed.leaving ||
        need.excluded.count(id) != 0 || now < state.switched.until ||
        is_spared(state, now) ||
        (need.stage != engine_stage::none &&
         state.switched.stage_now(listed.stage, now) != need.stage)) {
      continue;
    }
    const double own = cost(state, need, now);
    if (own < best_cost) {
      best = &state;
      best_cost = own;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  chosen_server out;
  out.server = best->listed;
  out.server.stage = best->switched.stage_now(best->listed.stage, now);
  out.in_flight = best->in_flight;
  out.full = is_full(*best, need, now);
  if (best->load && now - best->load_at < options_.load_lifetime) {
    out.reported = best->load->running + best->load->waiting;
  }
  return out;
}

void server_list::started(const std::string& id, std::int64_t tokens,
                          time_point now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  server_state& state = found->second;
  ++state.in_flight;
  state.tokens += tokens;
  state.sent_while_spared += is_spared(state, now) ? 1 : 0;
  state.ejected.tried(options_.eject, now);
}

std::optional<duration> server_list::ended(const std::string& id,
                                           std::int64_t tokens,
                                           server_result result,
                                           time_point now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return std::nullopt;
  }
  server_state& state = found->second;
  state.in_flight = std::max<std::int64_t>(0, state.in_flight - 1);
  state.tokens = std::max<std::int64_t>(0, state.tokens - tokens);
  switch (result) {
    case server_result::served:
    case server_result::error:
    case server_result::refused:
      state.ejected.served(options_.eject);
      return std::nullopt;
    case server_result::abandoned:
      return std::nullopt;
    case server_result::timed_out:
    case server_result::unreachable:
      return state.ejected.failed(true, options_.eject, now);
    case server_result::failed:
      return state.ejected.failed(false, options_.eject, now);
  }
  return std::nullopt;
}

void server_list::answers(const std::string& id) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.ejected.served(options_.eject);
  }
}

void server_list::refused(const std::string& id, time_point now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.full_until = now + options_.full_lifetime;
  }
}

void server_list::switching(const std::string& id, const announced_switch& in) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.switched = in;
  }
}

bool server_list::is_switching(const std::string& id, time_point now) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && now < found->second.switched.until;
}

void server_list::leave_alone(const std::string& id, duration span,
                              time_point now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.outlier_until = now + span;
  }
}

bool server_list::leaves(const std::string& id, time_point now) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || now < found->second.leaving_until) {
    return false;
  }
  found->second.leaving_until = now + options_.leaving_lifetime;
  found->second.listed.leaving = true;
  return true;
}

void server_list::spare(const std::string& id, duration span, time_point now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  server_state& state = found->second;
  // A further refusal within the span only extends it.
  if (now >= state.spared_until) {
    state.spared_at = now;
    state.sent_while_spared = 0;
  }
  state.spared_until = std::max(state.spared_until, now + span);
  state.full_until = std::max(state.full_until, state.spared_until);
}

bool server_list::may_send(const std::string& id, time_point now) const {
  const auto found = servers_.find(id);
  return found == servers_.end() || !is_spared(found->second, now) ||
         found->second.sent_while_spared < options_.max_sends_while_spared;
}

std::set<std::string> server_list::spared(const std::string& service,
                                          time_point now) const {
  std::set<std::string> out;
  for (const auto& [id, state] : servers_) {
    if (state.listed.service == service && now < state.spared_until) {
      out.insert(id);
    }
  }
  return out;
}

std::optional<duration> server_list::spared_for(const std::string& service,
                                                time_point now) const {
  std::optional<duration> out;
  for (const auto& [id, state] : servers_) {
    if (state.listed.service == service && !state.listed.leaving &&
        now < state.spared_until) {
      const duration left = state.spared_until - now;
      out = out ? std::min(*out, left) : left;
    }
  }
  return out;
}

std::vector<listed_server> server_list::all() const {
  std::vector<listed_server> out;
  out.reserve(servers_.size());
  for (const auto& [id, state] : servers_) {
    out.push_back(state.listed);
  }
  return out;
}

std::vector<listed_server> server_list::of_service(
    const std::string& service) const {
  std::vector<listed_server> out;
  for (const auto& [id, state] : servers_) {
    if (state.listed.service == service) {
      out.push_back(state.listed);
    }
  }
  return out;
}

void server_list::reported(const std::string& id, const server_load& load,
                           time_point now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.load = load;
    found->second.load_at = now;
  }
}

void server_list::distrust(const std::string& id, time_point now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.ejected.eject(options_.eject, now);
  }
}

}  // namespace citronwharf
