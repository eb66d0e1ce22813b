// Tests of admission control: the measured service rate and refusals of items
// that would wait too long.
#include "policy/admission.h"

#include <boost/test/unit_test.hpp>

using namespace citronwharf;

namespace {

queue_item make_item(std::uint64_t id, const std::string& organisation) {
  queue_item result;
  result.id = id;
  result.organisation = organisation;
  result.cost = 10;
  result.deadline = time_point(seconds(1000));
  return result;
}

}  // namespace

BOOST_AUTO_TEST_CASE(refuses_by_the_share_of_the_organisation) {
  admission controller({seconds(2), 1});
  time_point now(seconds(1));
  fair_queue queue({});
  for (int i = 0; i < 100; ++i) {
    controller.record_service(10, true, now);
    now += milliseconds(100);
  }
  BOOST_TEST(controller.rate() == 100, boost::test_tools::tolerance(0.1));
  for (std::uint64_t id = 1; id <= 20; ++id) {
    BOOST_TEST(queue.push(make_item(id, "flood")).ok());
  }
  const auto small =
      controller.decide(queue, make_item(99, "small"), seconds(1));
  BOOST_TEST(small.admitted);
  const auto flood =
      controller.decide(queue, make_item(99, "flood"), seconds(1));
  BOOST_TEST(!flood.admitted);
  BOOST_TEST((flood.predicted_wait - flood.retry_after == seconds(1)));
  BOOST_TEST(queue.waiting_cost_of("flood") == 200);
  BOOST_TEST(queue.waiting_weight() == 1);
}

BOOST_AUTO_TEST_CASE(admits_while_rate_is_unknown_or_queue_is_empty) {
  admission untrained({});
  fair_queue queue({});
  BOOST_TEST(
      untrained.decide(queue, make_item(1, "a"), duration::zero()).admitted);
  BOOST_TEST(queue.push(make_item(1, "a")).ok());
  BOOST_TEST(
      untrained.decide(queue, make_item(2, "a"), duration::zero()).admitted);
}
