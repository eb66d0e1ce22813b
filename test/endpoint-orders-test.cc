// Orders to an engine: old ones are refused here, whatever the engine does.
#include <boost/test/unit_test.hpp>

#include "endpoint/engine_orders.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

const engine_shape old_shape{"decode", "m1", "", "1"};
const engine_shape new_shape{"decode", "m2", "", "1"};
const time_point start{seconds(100)};

engine_order order(std::uint64_t token, const engine_shape& shape) {
  return {token, shape.role, shape.model, shape.adapter, shape.model_version};
}

load_turn_reply granted(std::uint64_t id, const engine_order& what) {
  return {id, load_turn_outcome::granted, what, 5'000'000, 0};
}

// A process whose engine must go from the old shape to the new one, and that
// has asked for its turn.
engine_orders asked(bool fresh) {
  engine_orders orders("decode-1");
  orders.want(new_shape, fresh);
  orders.is(old_shape);
  const auto actions = orders.tick(start, true);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_TEST(std::get<load_turn_request>(actions.front()).id == 1U);
  return orders;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_order_is_carried_out_and_reported) {
  engine_orders orders = asked(true);
  BOOST_TEST(!orders.in_order());
  const auto actions = orders.answered(granted(1, order(7, new_shape)), start);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_TEST(
      (std::get<carry_out>(actions.front()).order == order(7, new_shape)));
  const auto report = orders.carried_out(true, start);
  BOOST_REQUIRE(report.size() == 1U);
  BOOST_TEST((std::get<load_turn_done>(report.front()) ==
              load_turn_done{"decode-1", 7, true}));
  BOOST_TEST(orders.in_order());
  BOOST_TEST(orders.tick(start + seconds(10), true).empty());
}

BOOST_AUTO_TEST_CASE(old_or_unconfirmed_orders_are_refused) {
  struct row {
    const char* what;
    bool fresh;
    std::uint64_t id;
    engine_order given;
  };
  // Each process has just started: no token was seen yet.
  const std::vector<row> rows{
      {"of an older configuration", true, 1, order(3, old_shape)},
      {"while the configuration may be stale", false, 1, order(7, new_shape)},
      {"an answer to another question", true, 9, order(7, new_shape)}};
  for (const row& one : rows) {
    engine_orders orders = asked(one.fresh);
    BOOST_TEST(orders.answered(granted(one.id, one.given), start).empty(),
               one.what);
  }
}

BOOST_AUTO_TEST_CASE(a_lower_token_is_refused_even_for_the_same_shape) {
  engine_orders orders = asked(true);
  orders.answered(granted(1, order(7, new_shape)), start);
  orders.carried_out(false, start);
  orders.tick(start + seconds(3), true);
  BOOST_TEST(orders.answered(granted(2, order(6, new_shape)), start).empty());
  BOOST_TEST(orders.highest_token() == 7U);
  BOOST_TEST(orders.answered(granted(2, order(7, new_shape)), start).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(a_turn_that_is_not_granted_is_asked_for_later) {
  engine_orders orders = asked(true);
  load_turn_reply wait;
  wait.id = 1;
  wait.outcome = load_turn_outcome::wait;
  wait.retry_after_us = 4'000'000;
  BOOST_TEST(orders.answered(wait, start).empty());
  BOOST_TEST(orders.tick(start + seconds(3), true).empty());
  BOOST_TEST(orders.tick(start + seconds(4), true).size() == 1U);
}

BOOST_AUTO_TEST_CASE(one_order_runs_at_a_time_and_keeps_its_turn) {
  engine_orders orders = asked(true);
  orders.answered(granted(1, order(7, new_shape)), start);
  BOOST_TEST(orders.tick(start + seconds(1), false).size() == 1U);
  BOOST_TEST(orders.answered(granted(2, order(7, new_shape)), start).empty());
}
