/// Compares the ways of holding an allowance over a fleet: an equal share for
/// each entry, and one home.
#ifndef CITRONWHARF_BENCH_POLICY_ALLOWANCE_H_
#define CITRONWHARF_BENCH_POLICY_ALLOWANCE_H_

#include <fmt/format.h>

#include <array>
#include <random>
#include <variant>

#include "policy/allowance_home.h"
#include "policy/token_bucket.h"

namespace citronwharf::bench {

constexpr std::size_t allowance_entries = 3;
constexpr allowance fleet_limit{10000, 20000};
constexpr duration allowance_deadline = seconds(2);
constexpr double allowance_demand = 0.7;  // of the rate
constexpr double mean_cost = 1100;        // tokens a request

/// Share of requests refused within the rate. `skew` is the part of an
/// organisation's requests that the balancer sends to the first entry.
struct allowance_result {
  int offered = 0;
  int split_refused = 0;
  int home_refused = 0;
};

inline allowance_result compare_allowances(std::uint64_t seed, double skew,
                                           duration length) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> unit(0, 1);
  std::uniform_real_distribution<double> cost_of(200, 2 * mean_cost - 200);
  std::exponential_distribution<double> gap(
      allowance_demand * fleet_limit.tokens_per_second / mean_cost);
  time_point now(seconds(1000));
  const time_point end = now + length;
  const allowance part{fleet_limit.tokens_per_second / allowance_entries,
                       fleet_limit.burst_tokens / allowance_entries};
  std::vector<token_bucket> split(allowance_entries,
                                  token_bucket(part, part.burst_tokens, now));
  std::array<time_point, allowance_entries> free_at{};  // first come first
  allowance_home home({}, 1);
  const home_terms terms{fleet_limit, now - seconds(100), allowance_entries};
  allowance_result made;
  const auto count = [&made](const home_replies& replies) {
    for (const home_reply& each : replies) {
      if (std::holds_alternative<allowance_refusal>(each.message)) {
        ++made.home_refused;
      }
    }
  };
  const auto settle = [&](const home_replies& replies) {
    for (const home_reply& each : replies) {
      const auto* grant = std::get_if<allowance_grant>(&each.message);
      if (grant == nullptr) continue;
      home.settle(each.entry, 1,
                  {grant->organisation, grant->id, grant->home_incarnation,
                   grant->epoch, 0},
                  now);
    }
  };
  while (now < end) {
    now += duration(std::int64_t(gap(random) * 1e6));
    const double cost = cost_of(random);
    const bool first = unit(random) < skew;
    const std::size_t at = first ? 0 : 1 + random() % (allowance_entries - 1);
    ++made.offered;
    const time_point turn = std::max(now, free_at[at]);
    const duration wait = split[at].wait_for(cost, turn);
    const bool never = wait == duration::max();
    if (never || turn + wait > now + allowance_deadline) {
      ++made.split_refused;
    } else {
      free_at[at] = turn + wait;
      split[at].take(cost, turn + wait);
    }
    home.authorise(now + seconds(1));
    home_replies replies = home.serve_waiting(now);
    allowance_ask ask;
    ask.organisation = "o";
    ask.id = std::uint64_t(made.offered);
    ask.needed = cost;
    ask.wanted = cost;
    ask.deadline_us = to_microseconds(allowance_deadline);
    for (const home_reply& each :
         home.ask(fmt::format("e{}", at), 1, ask, terms, now)) {
      replies.push_back(each);
    }
    count(replies);
    settle(replies);
  }
  return made;
}

}  // namespace citronwharf::bench

#endif  // CITRONWHARF_BENCH_POLICY_ALLOWANCE_H_
