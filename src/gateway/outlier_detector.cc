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

std::int64_t total(const server_outcomes& of) {
  return of.good + of.errors + of.lost + of.refused;
}

// Bad outcomes that a server as good as its peers would hardly reach by chance:
// four deviations of the difference between both above what is expected. Few
// outcomes of the peers say little, so that some are added to them.
double chance_limit(const server_outcomes& own, std::int64_t bad_of_peers,
                    const server_outcomes& peers) {
  constexpr double prior_bad = 2;
  constexpr double prior_total = 6;
  constexpr double deviations = 4;
  const auto own_total = static_cast<double>(total(own));
  const double peers_total = static_cast<double>(total(peers)) + prior_total;
  const double share =
      (static_cast<double>(bad_of_peers) + prior_bad) / peers_total;
  const double variance =
      own_total * share * (1 - share) * (1 + own_total / peers_total);
  return own_total * share + deviations * std::sqrt(variance);
}

}  // namespace

void outlier_detector::take(const outcome_report& in, time_point now) {
  for (const server_outcomes& each : in.servers) {
    server_state& state = servers_[each.server];
    state.samples.push_back({now, each});
    add(state.sum, each, 1);
  }
}

void outlier_detector::forget_old(time_point now) {
  for (auto each = servers_.begin(); each != servers_.end();) {
    server_state& state = each->second;
    while (!state.samples.empty() &&
           now - state.samples.front().at > options_.window) {
      add(state.sum, state.samples.front().counts, -1);
      state.samples.pop_front();
    }
    const bool forgotten =
        state.samples.empty() && now > state.out_until + options_.forget_after;
    each = forgotten ? servers_.erase(each) : std::next(each);
  }
}

std::string outlier_detector::fault_of(const server_outcomes& own,
                                       const server_outcomes& peers) const {
  const auto stands_out = [&](std::int64_t bad, std::int64_t of_peers,
                              std::int64_t min_count, double min_share) {
    const auto count = static_cast<double>(bad);
    return bad >= min_count &&
           count >= min_share * static_cast<double>(total(own)) &&
           count > chance_limit(own, of_peers, peers);
  };
  if (stands_out(own.lost, peers.lost, options_.min_lost,
                 options_.min_lost_share)) {
    return "lost";
  }
  if (stands_out(own.errors, peers.errors, options_.min_errors,
                 options_.min_error_share)) {
    return "errors";
  }
  if (stands_out(own.refused, peers.refused, options_.min_refused,
                 options_.min_refused_share)) {
    return "refused";
  }
  return "";
}

std::vector<outlier_notice> outlier_detector::decide(
    const std::vector<listed_server>& listed, time_point now) {
  forget_old(now);
  struct service_state {
    std::size_t servers = 0;
    std::size_t out = 0;
    server_outcomes sum;
  };
  std::map<std::string, service_state> services;
  for (const listed_server& each : listed) {
    if (each.leaving) {
      continue;
    }
    service_state& of = services[each.service];
    ++of.servers;
    const auto found = servers_.find(each.id);
    if (found != servers_.end()) {
      of.out += now < found->second.out_until ? 1 : 0;
      add(of.sum, found->second.sum, 1);
    }
  }
  std::vector<outlier_notice> out;
  for (const listed_server& each : listed) {
    const auto found = servers_.find(each.id);
    service_state& of = services[each.service];
    const bool may_go = 2 * (of.out + 1) < of.servers;
    if (found == servers_.end() || each.leaving || !may_go ||
        now < found->second.out_until) {
      continue;
    }
    server_state& state = found->second;
    server_outcomes peers = of.sum;
    add(peers, state.sum, -1);
    const std::string fault = fault_of(state.sum, peers);
    if (fault.empty()) {
      continue;
    }
    const bool again = state.span != duration{} &&
                       now < state.out_until + options_.forget_after;
    state.span = again ? std::min(options_.max_span, state.span * 2)
                       : options_.initial_span;
    state.out_until = now + state.span;
    state.samples.clear();
    state.sum = {};
    ++of.out;
    out.push_back(
        {each.id, fault,
         std::chrono::duration_cast<milliseconds>(state.span).count()});
  }
  return out;
}

}  // namespace citronwharf
