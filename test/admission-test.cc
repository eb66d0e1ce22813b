// Admission: learns the service rate, refuses what would wait too long.
#include "policy/admission.h"

#include <boost/test/unit_test.hpp>

using namespace citronwharf;

namespace {

queue_item item(std::uint64_t id, const std::string& organisation) {
  queue_item made;
  made.id = id;
  made.organisation = organisation;
  made.cost = 10;
  made.deadline = time_point(seconds(1000));
  return made;
}

}  // namespace

BOOST_AUTO_TEST_CASE(refuses_by_the_organisations_own_share) {
  admission learned({seconds(2), 1});
  time_point now(seconds(1));
  fair_queue queue({});
  for (int i = 0; i < 100; ++i) {
    learned.served(10, true, now);
    now += milliseconds(100);
  }
  BOOST_TEST(learned.rate() == 100, boost::test_tools::tolerance(0.1));
  for (std::uint64_t id = 1; id <= 20; ++id) {
    BOOST_TEST(queue.push(item(id, "flood")).ok());
  }
  const auto mine = learned.decide(queue, item(99, "small"), seconds(1));
  BOOST_TEST(mine.admitted);
  const auto flood = learned.decide(queue, item(99, "flood"), seconds(1));
  BOOST_TEST(!flood.admitted);
  BOOST_TEST((flood.predicted_wait - flood.retry_after == seconds(1)));
  BOOST_TEST(queue.waiting_cost_of("flood") == 200);
  BOOST_TEST(queue.waiting_weight() == 1);
}

BOOST_AUTO_TEST_CASE(admits_while_nothing_is_known_or_nothing_waits) {
  admission fresh({});
  fair_queue queue({});
  BOOST_TEST(fresh.decide(queue, item(1, "a"), duration::zero()).admitted);
  BOOST_TEST(queue.push(item(1, "a")).ok());
  BOOST_TEST(fresh.decide(queue, item(2, "a"), duration::zero()).admitted);
}
