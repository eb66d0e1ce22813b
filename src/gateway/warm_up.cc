#include "gateway/warm_up.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citronwharf {
namespace {

// Each response of a cold server tells how long it stays cold. An end that is
// later than the known one by less than this is no news: it differs by the time
// that the response was under way.
constexpr duration min_extension = milliseconds(200);
// Limit on what other gateways report, ten times what servers need to warm up.
constexpr std::int64_t max_left_ms = 60000;

std::int64_t to_ms(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

}  // namespace

void warm_up::set_services(const std::vector<gateway_service>& services) {
  services_.clear();
  lowest_rate_.reset();
  for (const gateway_service& each : services) {
    if (each.cold_requests_per_second > 0) {
      lowest_rate_ =
          std::min(lowest_rate_.value_or(each.cold_requests_per_second),
                   each.cold_requests_per_second);
      services_[each.name] = {milliseconds(each.cold_ms),
                              each.cold_requests_per_second};
    }
  }
}

void warm_up::set_servers(const std::vector<listed_server>& listed,
                          time_point now) {
  const bool is_first =
      !std::exchange(was_listed_, was_listed_ || !listed.empty());
  std::set<std::string> ids;
  for (const listed_server& each : listed) {
    ids.insert(each.id);
    const auto [found, is_new] = servers_.try_emplace(each.id);
    server_state& state = found->second;
    if ((is_new && !is_first) || (state.leaving && !each.leaving)) {
      state.started_at = now;
    }
    // A value that the list repeats was counted when it came.
    if (each.cold_left_ms != state.listed_left_ms) {
      state.listed_until = now + milliseconds(each.cold_left_ms);
    }
    state.service = each.service;
    state.failure_domain = each.failure_domain;
    state.leaving = each.leaving;
    state.listed_left_ms = each.cold_left_ms;
  }
  for (auto each = servers_.begin(); each != servers_.end();) {
    each = ids.count(each->first) == 0 ? servers_.erase(each) : std::next(each);
  }
}

std::optional<cold_state> warm_up::refused_connection(const std::string& server,
                                                      time_point now) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || find_terms(found->second) == nullptr) {
    return std::nullopt;
  }
  const bool is_news = !found->second.refused_at;
  found->second.refused_at = now;
  return is_news ? std::optional(cold_state{server, true, 0}) : std::nullopt;
}

std::optional<cold_state> warm_up::answered(const std::string& server,
                                            std::optional<duration> left,
                                            time_point sent_at,
                                            time_point now) {
  const auto found = servers_.find(server);
  const terms* terms =
      found == servers_.end() ? nullptr : find_terms(found->second);
  if (terms == nullptr) {
    return std::nullopt;
  }
  server_state& state = found->second;
  // A response to an earlier request comes from before the refusal.
  const bool returned = state.refused_at && sent_at > *state.refused_at;
  const time_point until =
      now + std::max(left.value_or(duration{}),
                     returned ? terms->cold_time : duration{});
  const bool extends =
      until > std::max(now, known_end(state, *terms) + min_extension);
  if (!returned && !extends) {
    return std::nullopt;
  }
  if (returned) {
    state.refused_at.reset();
  }
  state.learned_until = std::max(state.learned_until, until);
  return cold_state{server, false, to_ms(state.learned_until - now)};
}

bool warm_up::merge(const cold_state& in, time_point now) {
  const auto found = servers_.find(in.server);
  if (found == servers_.end()) {
    return false;
  }
  server_state& state = found->second;
  if (in.unreachable) {
    const bool is_news = !state.refused_at;
    state.refused_at = now;
    return is_news;
  }
  const bool answers_again = std::exchange(state.refused_at, {}).has_value();
  const time_point until =
      now + milliseconds(std::clamp<std::int64_t>(in.left_ms, 0, max_left_ms));
  const bool extends = until > state.learned_until + min_extension;
  state.learned_until = std::max(state.learned_until, until);
  return answers_again || extends;
}

void warm_up::on_domain_restored(const std::string& domain, time_point now) {
  for (auto& [id, state] : servers_) {
    if (state.failure_domain == domain) {
      state.started_at = now;
    }
  }
}

const warm_up::terms* warm_up::find_terms(const server_state& of) const {
  const auto found = services_.find(of.service);
  return found == services_.end() ? nullptr : &found->second;
}

// Returns when a server that can be reached is warm.
time_point warm_up::known_end(const server_state& of, const terms& with) {
  return std::max(
      {of.listed_until, of.learned_until,
       of.started_at ? *of.started_at + with.cold_time : time_point{}});
}

bool warm_up::is_cold(const server_state& of, time_point now) const {
  const terms* terms = find_terms(of);
  return terms != nullptr && (of.refused_at || now < known_end(of, *terms));
}

std::optional<double> warm_up::rate(const std::string& server,
                                    time_point now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return lowest_rate_;
  }
  return is_cold(found->second, now)
             ? std::optional(find_terms(found->second)->requests_per_second)
             : std::nullopt;
}

std::size_t warm_up::cold_servers(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [&](const auto& each) { return is_cold(each.second, now); }));
}

std::vector<cold_state> warm_up::learned(time_point now) const {
  std::vector<cold_state> out;
  for (const auto& [id, state] : servers_) {
    if (state.refused_at) {
      out.push_back({id, true, 0});
    } else if (now < state.learned_until) {
      out.push_back({id, false, to_ms(state.learned_until - now)});
    }
  }
  return out;
}

}  // namespace citronwharf
