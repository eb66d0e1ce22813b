#include "gateway/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {
namespace {

void add(server_outcomes& sum, const server_outcomes& in, std::int64_t times) {
  sum.good += times * in.good;
  sum.errors += times * in.errors;
  sum.lost += times * in.lost;
  sum.refused += times * in.refused;
}

std::int64_t total(const server_outcomes& outcomes) {
  return outcomes.good + outcomes.errors + outcomes.lost + outcomes.refused;
}

// Returns the number of bad outcomes that a server as good as its peers would
// hardly exceed by chance: four standard deviations above the expected number,
// where the variance covers both the server's and the peers' outcomes. A prior
// is added to the peers' outcomes, since few of them say little.
double max_bad_by_chance(const server_outcomes& own, std::int64_t bad_of_peers,
                         const server_outcomes& peers) {
  constexpr double prior_bad = 2;
  constexpr double prior_total = 6;
  constexpr double max_deviations = 4;
  const auto own_total = static_cast<double>(total(own));
  const double peers_total = static_cast<double>(total(peers)) + prior_total;
  const double share =
      (static_cast<double>(bad_of_peers) + prior_bad) / peers_total;
  const double variance =
      own_total * share * (1 - share) * (1 + own_total / peers_total);
  return own_total * share + max_deviations * std::sqrt(variance);
}

}  // namespace

void outlier_detector::record(const outcome_report& in, time_point now) {
  for (const server_outcomes& each : in.servers) {
    server_state& state = servers_[each.server];
    state.samples.push_back({now, each});
    add(state.totals, each, 1);
  }
}

void outlier_detector::expire_samples(time_point now) {
  for (auto each = servers_.begin(); each != servers_.end();) {
    server_state& state = each->second;
    while (!state.samples.empty() &&
           now - state.samples.front().at > options_.window) {
      add(state.totals, state.samples.front().counts, -1);
      state.samples.pop_front();
    }
    const bool expired = state.samples.empty() &&
                         now > state.ejected_until + options_.reset_after;
    each = expired ? servers_.erase(each) : std::next(each);
  }
}

std::string outlier_detector::outlier_reason(
    const server_outcomes& own, const server_outcomes& peers) const {
  const auto is_outlier = [&](std::int64_t bad, std::int64_t peers_bad,
                              std::int64_t min_count, double min_share) {
    const auto count = static_cast<double>(bad);
    return bad >= min_count &&
           count >= min_share * static_cast<double>(total(own)) &&
           count > max_bad_by_chance(own, peers_bad, peers);
  };
  if (is_outlier(own.lost, peers.lost, options_.min_lost,
                 options_.min_lost_share)) {
    return "lost";
  }
  if (is_outlier(own.errors, peers.errors, options_.min_errors,
                 options_.min_error_share)) {
    return "errors";
  }
  if (is_outlier(own.refused, peers.refused, options_.min_refused,
                 options_.min_refused_share)) {
    return "refused";
  }
  return "";
}

std::vector<outlier_notice> outlier_detector::find_outliers(
    const std::vector<listed_server>& listed, time_point now) {
  expire_samples(now);
  struct service_state {
    std::size_t servers = 0;
    std::size_t ejected = 0;
    server_outcomes totals;
  };
  std::map<std::string, service_state> services;
  for (const listed_server& each : listed) {
    if (each.leaving) {
      continue;
    }
    service_state& peer_group = services[each.service];
    ++peer_group.servers;
    const auto found = servers_.find(each.id);
    if (found != servers_.end()) {
      peer_group.ejected += now < found->second.ejected_until ? 1 : 0;
      add(peer_group.totals, found->second.totals, 1);
    }
  }
  std::vector<outlier_notice> out;
  for (const listed_server& each : listed) {
    const auto found = servers_.find(each.id);
    service_state& peer_group = services[each.service];
    const bool may_eject = 2 * (peer_group.ejected + 1) < peer_group.servers;
    if (found == servers_.end() || each.leaving || !may_eject ||
        now < found->second.ejected_until) {
      continue;
    }
    server_state& state = found->second;
    server_outcomes peers = peer_group.totals;
    add(peers, state.totals, -1);
    const std::string reason = outlier_reason(state.totals, peers);
    if (reason.empty()) {
      continue;
    }
    const bool repeated = state.ejection_span != duration{} &&
                          now < state.ejected_until + options_.reset_after;
    state.ejection_span =
        repeated ? std::min(options_.max_span, state.ejection_span * 2)
                 : options_.initial_span;
    state.ejected_until = now + state.ejection_span;
    state.samples.clear();
    state.totals = {};
    ++peer_group.ejected;
    out.push_back({each.id, reason,
                   std::chrono::duration_cast<milliseconds>(state.ejection_span)
                       .count()});
  }
  return out;
}

}  // namespace citronwharf
