// Orders to an engine: the endpoint process refuses outdated ones, even if the
// engine would accept them.
#include <boost/test/unit_test.hpp>

#include "endpoint/engine_orders.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

const engine_configuration old_configuration{"decode", "m1", "", "1"};
const engine_configuration new_configuration{"decode", "m2", "", "1"};
const time_point start{seconds(100)};

engine_order order(std::uint64_t token, const engine_configuration& wanted) {
  return {token, wanted.role, wanted.model, wanted.adapter,
          wanted.model_version};
}

load_turn_reply granted(std::uint64_t id, const engine_order& what) {
  return {id, load_turn_outcome::granted, what, 5'000'000, 0};
}

// Returns the orders of a process whose engine must change from the old
// configuration to the new one and that has requested its load turn.
engine_orders make_waiting_orders(bool fresh) {
  engine_orders orders("decode-1");
  orders.set_wanted(new_configuration, fresh);
  orders.set_present(old_configuration);
  const auto actions = orders.tick(start, true);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_TEST(std::get<load_turn_request>(actions.front()).id == 1U);
  return orders;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_order_is_sent_and_its_result_reported) {
  engine_orders orders = make_waiting_orders(true);
  BOOST_TEST(!orders.matches_wanted());
  const auto actions =
      orders.on_turn_reply(granted(1, order(7, new_configuration)), start);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_TEST((std::get<send_order>(actions.front()).order ==
              order(7, new_configuration)));
  const auto report = orders.on_order_finished(true, start);
  BOOST_REQUIRE(report.size() == 1U);
  BOOST_TEST((std::get<load_turn_done>(report.front()) ==
              load_turn_done{"decode-1", 7, true}));
  BOOST_TEST(orders.matches_wanted());
  BOOST_TEST(orders.tick(start + seconds(10), true).empty());
}

BOOST_AUTO_TEST_CASE(old_or_unconfirmed_orders_are_refused) {
  struct row {
    const char* what;
    bool fresh;
    std::uint64_t id;
    engine_order given;
  };
  // Each process has just started and has seen no token yet.
  const std::vector<row> rows{
      {"order of an older configuration", true, 1, order(3, old_configuration)},
      {"order while the configuration is not confirmed", false, 1,
       order(7, new_configuration)},
      {"reply to another request", true, 9, order(7, new_configuration)}};
  for (const row& test_row : rows) {
    engine_orders orders = make_waiting_orders(test_row.fresh);
    BOOST_TEST(orders.on_turn_reply(granted(test_row.id, test_row.given), start)
                   .empty(),
               test_row.what);
  }
}

BOOST_AUTO_TEST_CASE(a_lower_token_is_refused_even_for_the_same_shape) {
  engine_orders orders = make_waiting_orders(true);
  orders.on_turn_reply(granted(1, order(7, new_configuration)), start);
  orders.on_order_finished(false, start);
  orders.tick(start + seconds(3), true);
  BOOST_TEST(
      orders.on_turn_reply(granted(2, order(6, new_configuration)), start)
          .empty());
  BOOST_TEST(orders.highest_token() == 7U);
  BOOST_TEST(
      orders.on_turn_reply(granted(2, order(7, new_configuration)), start)
          .size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_turn_that_is_not_granted_is_requested_again_later) {
  engine_orders orders = make_waiting_orders(true);
  load_turn_reply wait;
  wait.id = 1;
  wait.outcome = load_turn_outcome::wait;
  wait.retry_after_us = 4'000'000;
  BOOST_TEST(orders.on_turn_reply(wait, start).empty());
  BOOST_TEST(orders.tick(start + seconds(3), true).empty());
  BOOST_TEST(orders.tick(start + seconds(4), true).size() == 1U);
}

BOOST_AUTO_TEST_CASE(one_order_runs_at_a_time_and_renews_its_turn) {
  engine_orders orders = make_waiting_orders(true);
  orders.on_turn_reply(granted(1, order(7, new_configuration)), start);
  BOOST_TEST(orders.tick(start + seconds(1), false).size() == 1U);
  BOOST_TEST(
      orders.on_turn_reply(granted(2, order(7, new_configuration)), start)
          .empty());
}
