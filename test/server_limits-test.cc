// Tests of the limits that servers name, without a network.
#include "gateway/server_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "gateway/fleet_allowance.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr time_point start = time_point(seconds(100));
constexpr auto request = response_kind::request;

server_limit_state named(double rate, std::int64_t age_ms = 0) {
  return {"s1", false, rate, request, age_ms};
}

server_limit_state lifted(std::int64_t age_ms) {
  return {"s1", true, 0, request, age_ms};
}

// Gateways without a leader, each with a request for the same server every
// `interval`. Returns the most requests that are sent in any 4 s.
std::size_t max_sent_in_window(double rate, std::size_t gateways,
                               duration interval, duration idle,
                               std::uint64_t seed) {
  constexpr auto length = seconds(40);
  constexpr auto window = seconds(4);
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<fleet_allowance_share> shares(gateways);
  const allowance limit = to_server_allowance(rate);
  std::vector<time_point> sent;
  // Opens the accounts, which are then idle.
  for (fleet_allowance_share& each : shares) {
    each.take_own_part_at_random("s1", limit, 1, gateways, draw(random), start);
  }
  const time_point from = start + idle;
  for (time_point now = from; now < from + length; now += interval) {
    for (fleet_allowance_share& each : shares) {
      if (each.take_own_part_at_random("s1", limit, 1, gateways, draw(random),
                                       now) == duration{}) {
        sent.push_back(now);
      }
    }
  }
  std::size_t most = 0;
  for (auto each = sent.begin(); each != sent.end(); ++each) {
    const auto end = std::lower_bound(each, sent.end(), *each + window);
    most = std::max(most, static_cast<std::size_t>(end - each));
  }
  return most;
}

}  // namespace

BOOST_AUTO_TEST_CASE(limit_holds_until_a_later_request_is_answered_without_it) {
  server_limits limits;
  limits.heard("s1", request, 4.0, start, start + milliseconds(30));
  // Overtaken by the response that named the limit.
  limits.heard("s1", request, {}, start, start + milliseconds(40));
  BOOST_TEST(limits.rate("s1", start + milliseconds(40)).value() == 4.0);
  const auto news = limits.heard("s1", request, {}, start + milliseconds(50),
                                 start + milliseconds(80));
  BOOST_TEST(!limits.rate("s1", start + milliseconds(80)));
  BOOST_TEST(news.value().lifted);
}

BOOST_AUTO_TEST_CASE(responses_of_a_kind_that_names_no_limit_lift_none) {
  server_limits limits;
  limits.heard("s1", response_kind::prompt, 4.0, start, start);
  BOOST_TEST(limits.limited(start) == 1U);
  const time_point later = start + seconds(1);
  limits.heard("s1", response_kind::memory, {}, later, later);
  BOOST_TEST(limits.rate("s1", later).value() == 4.0);
  limits.heard("s1", response_kind::prompt, {}, later, later);
  BOOST_TEST(!limits.rate("s1", later));
}

BOOST_AUTO_TEST_CASE(limit_that_is_named_again_is_seldom_shared) {
  server_limits limits;
  int shared = 0;
  for (int i = 0; i < 100; ++i) {
    const time_point now = start + milliseconds(10) * i;
    shared += limits.heard("s1", request, 4.0, now, now) ? 1 : 0;
  }
  BOOST_TEST(shared == 2);
  const time_point later = start + milliseconds(1000);
  BOOST_TEST(limits.heard("s1", request, 3.0, later, later).has_value());
}

BOOST_AUTO_TEST_CASE(states_of_gateways_merge_in_any_order) {
  const std::vector<server_limit_state> states{named(4, 300), named(3, 100),
                                               lifted(200)};
  std::vector<std::size_t> order{0, 1, 2};
  do {
    server_limits limits;
    for (const std::size_t each : order) {
      limits.merge(states[each], start);
    }
    BOOST_TEST(limits.rate("s1", start).value() == 3.0);
  } while (std::next_permutation(order.begin(), order.end()));
  server_limits limits;
  limits.merge(lifted(100), start);
  BOOST_TEST(!limits.merge(named(4, 200), start));
  BOOST_TEST(!limits.rate("s1", start));
}

BOOST_AUTO_TEST_CASE(limits_that_nobody_names_are_forgotten) {
  server_limits limits;
  limits.merge(named(0), start);
  BOOST_TEST(limits.rate("s1", start).value() == 0.0);
  BOOST_TEST(!limits.rate("s1", start + seconds(61)));
  limits.merge(named(4), start);
  limits.keep({"s2"});
  BOOST_TEST(!limits.rate("s1", start));
}

BOOST_AUTO_TEST_CASE(server_that_takes_nothing_still_gets_a_request) {
  const allowance none = to_server_allowance(0);
  BOOST_TEST(none.tokens_per_second > 0);
  constexpr double window_s = 4;
  constexpr double max_extra_requests = 5;
  for (const double rate : {0.0, 0.1, 1.0, 4.3, 100.0}) {
    const allowance limit = to_server_allowance(rate);
    BOOST_TEST(limit.tokens_per_second * window_s + limit.burst_tokens <
               1.5 * rate * window_s + max_extra_requests);
  }
}

// Load: the leader is gone, each gateway wants to send to the server at once,
// after any time without requests.
BOOST_AUTO_TEST_CASE(gateways_without_a_leader_keep_the_limit_together) {
  constexpr double rate = 4.3;
  constexpr std::size_t max_allowed = 30;
  for (const std::size_t gateways : {1U, 8U, 70U, 400U}) {
    for (const duration idle : {duration{}, duration(seconds(60))}) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT(gateways << " gateways, seed " << seed) {
          const std::size_t most =
              max_sent_in_window(rate, gateways, milliseconds(50), idle, seed);
          BOOST_TEST(most <= max_allowed);
          BOOST_TEST(most >= 8U);
        }
      }
    }
  }
}
