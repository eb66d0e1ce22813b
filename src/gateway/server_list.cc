#include "gateway/server_list.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citronwharf {
namespace {

// Cost added for a server in another failure domain: only decides between
// servers of equal load.
constexpr double other_domain_cost = 0.02;
// Cost added for a server that failed recently, which is only used as a last
// resort.
constexpr double ejected_cost = 1000;
constexpr double full_cost = 10;
// Cost added for a server that is shutting down.
constexpr double leaving_cost = 1;
// Cost added for a server whose limit is used up, and for each second until it
// takes another request. Less than that of a server that failed, since waiting
// helps.
constexpr double limited_cost = 100;
constexpr double limited_cost_per_second = 10;
// Cost added for a cold server: that of all its slots in use, so that a warm
// server with a free slot is chosen before it.
constexpr double cold_cost = 1;
// Random cost that breaks ties, so that gateways do not all choose the same
// server.
constexpr double max_tie_break_noise = 0.01;

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
    // An evacuation hides what the directory says of the server.
    if (!each.evacuated) {
      if (state.listed_leaving && !each.leaving) {
        // The server has restarted under the same id.
        state.leaving_until = time_point{};
      }
      state.listed_leaving = each.leaving;
    }
    listed_server merged = each;
    merged.leaving = each.leaving || now < state.leaving_until;
    if (merged.leaving && !state.listed.leaving) {
      state.leaving_since = now;
    }
    changed = changed || state.listed != merged;
    state.listed = std::move(merged);
  }
  for (auto each = servers_.begin(); each != servers_.end();) {
    const bool removed = ids.count(each->first) == 0;
    changed = changed || removed;
    each = removed ? servers_.erase(each) : std::next(each);
  }
  return changed;
}

std::size_t server_list::leaving() const {
  return static_cast<std::size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& each) { return each.second.listed.leaving; }));
}

bool server_list::is_full(const server_state& state,
                          const server_criteria& criteria, time_point now) {
  if (now < state.full_until) {
    return true;
  }
  if (criteria.kv_tokens > 0 &&
      state.tokens + criteria.tokens > criteria.kv_tokens) {
    return true;
  }
  return state.listed.slots > 0 && state.in_flight >= state.listed.slots;
}

double server_list::cost(const server_state& state,
                         const server_criteria& criteria, time_point now) {
  std::int64_t busy_requests = state.in_flight;
  if (state.load &&
      now - state.load_received_at < options_.load_report_lifetime) {
    busy_requests =
        std::max(busy_requests, state.load->running + state.load->waiting);
  }
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(1, state.listed.slots));
  double cost = static_cast<double>(busy_requests) / slots;
  if (criteria.kv_tokens > 0) {
    // A request sent by another gateway is assumed to take as much memory as
    // this one.
    const auto tokens = static_cast<double>(
        std::max(state.tokens,
                 busy_requests * std::max<std::int64_t>(criteria.tokens, 1)));
    cost = std::max(cost, tokens / static_cast<double>(criteria.kv_tokens));
  }
  if (!criteria.preferred_domain.empty() &&
      state.listed.failure_domain != criteria.preferred_domain) {
    cost += other_domain_cost;
  }
  if (is_full(state, criteria, now)) {
    cost += full_cost;
  }
  if (state.listed.leaving) {
    cost += leaving_cost;
  }
  if (options_.is_cold && options_.is_cold(state.listed.id, now)) {
    cost += cold_cost;
  }
  if (state.ejection_state.holds(now) || now < state.outlier_until) {
    cost += ejected_cost;
  }
  if (now < state.limited_until) {
    cost += limited_cost +
            limited_cost_per_second * to_seconds(state.limited_until - now);
  }
  std::uniform_real_distribution<double> noise(0, max_tie_break_noise);
  return cost + noise(random_);
}

std::optional<chosen_server> server_list::choose(
    const server_criteria& criteria, time_point now) {
  const server_state* best_server = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (const auto& [id, state] : servers_) {
    const listed_server& listed = state.listed;
    const bool takes_resumed =
        !criteria.software_version.empty() && !listed.evacuated &&
        now < state.leaving_since + options_.resume_at_leaving;
    if (listed.service != criteria.service ||
        (listed.leaving && !takes_resumed) ||
        criteria.excluded.count(id) != 0 || now < state.stage_switch.until ||
        (!criteria.software_version.empty() &&
         listed.software_version != criteria.software_version) ||
        in_backoff(state, now) ||
        (criteria.stage != engine_stage::none &&
         state.stage_switch.stage_now(listed.stage, now) != criteria.stage)) {
      continue;
    }
    const double candidate_cost = cost(state, criteria, now);
    if (candidate_cost < best_cost) {
      best_server = &state;
      best_cost = candidate_cost;
    }
  }
  if (best_server == nullptr) {
    return std::nullopt;
  }
  chosen_server out;
  out.server = best_server->listed;
  out.server.stage =
      best_server->stage_switch.stage_now(best_server->listed.stage, now);
  out.in_flight = best_server->in_flight;
  out.full = is_full(*best_server, criteria, now);
  out.limit_wait = std::max(duration{}, best_server->limited_until - now);
  if (best_server->load &&
      now - best_server->load_received_at < options_.load_report_lifetime) {
    out.reported_load = best_server->load->running + best_server->load->waiting;
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
  state.sends_in_backoff += in_backoff(state, now) ? 1 : 0;
  state.ejection_state.tried(options_.eject, now);
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
      state.ejection_state.served(options_.eject);
      return std::nullopt;
    case server_result::abandoned:
      return std::nullopt;
    case server_result::timed_out:
    case server_result::unreachable:
      return state.ejection_state.failed(true, options_.eject, now);
    case server_result::failed:
      return state.ejection_state.failed(false, options_.eject, now);
  }
  return std::nullopt;
}

std::optional<duration> server_list::silent(const std::string& id,
                                            time_point now) {
  const auto found = servers_.find(id);
  return found == servers_.end()
             ? std::nullopt
             : found->second.ejection_state.failed(true, options_.eject, now);
}

void server_list::answers(const std::string& id) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.ejection_state.served(options_.eject);
  }
}

void server_list::refused(const std::string& id, time_point now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.full_until = now + options_.full_lifetime;
  }
}

void server_list::switching(const std::string& id,
                            const announced_switch& announced) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.stage_switch = announced;
  }
}

bool server_list::is_switching(const std::string& id, time_point now) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && now < found->second.stage_switch.until;
}

std::optional<std::string> server_list::software_version(
    const std::string& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end()
             ? std::nullopt
             : std::optional(found->second.listed.software_version);
}

bool server_list::has_version(const std::string& service,
                              const std::string& version) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
    const listed_server& listed = each.second.listed;
    return listed.service == service && (!listed.leaving || listed.evacuated) &&
           listed.software_version == version;
  });
}

void server_list::mark_outlier(const std::string& id, duration span,
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
  if (!found->second.listed.leaving) {
    found->second.leaving_since = now;
  }
  found->second.listed.leaving = true;
  return true;
}

void server_list::start_backoff(const std::string& id, duration span,
                                time_point now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  server_state& state = found->second;
  // A further refusal during the back-off only extends it.
  if (now >= state.backoff_until) {
    state.backoff_started = now;
    state.sends_in_backoff = 0;
  }
  state.backoff_until = std::max(state.backoff_until, now + span);
  state.full_until = std::max(state.full_until, state.backoff_until);
}

void server_list::limit_reached(const std::string& id, duration span,
                                time_point now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.limited_until = now + span;
  }
}

bool server_list::may_send(const std::string& id, time_point now) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return true;
  }
  const server_state& state = found->second;
  return !state.listed.evacuated &&
         (!in_backoff(state, now) ||
          state.sends_in_backoff < options_.max_sends_in_backoff);
}

bool server_list::is_evacuated(const std::string& id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && found->second.listed.evacuated;
}

std::set<std::string> server_list::servers_in_backoff(
    const std::string& service, time_point now) const {
  std::set<std::string> out;
  for (const auto& [id, state] : servers_) {
    if (state.listed.service == service && now < state.backoff_until) {
      out.insert(id);
    }
  }
  return out;
}

std::optional<duration> server_list::min_wait(const std::string& service,
                                              time_point now) const {
  std::optional<duration> out;
  for (const auto& [id, state] : servers_) {
    const time_point until = std::max(state.backoff_until, state.limited_until);
    if (state.listed.service == service && !state.listed.leaving &&
        now < until) {
      out = out ? std::min(*out, until - now) : until - now;
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

std::vector<listed_server> server_list::servers_of_service(
    const std::string& service) const {
  std::vector<listed_server> out;
  for (const auto& [id, state] : servers_) {
    if (state.listed.service == service) {
      out.push_back(state.listed);
    }
  }
  return out;
}

void server_list::update_load(const std::string& id, const server_load& load,
                              time_point now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.load = load;
    found->second.load_received_at = now;
  }
}

void server_list::eject_server(const std::string& id, time_point now) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    found->second.ejection_state.eject(options_.eject, now);
  }
}

}  // namespace citronwharf
