// The fair queue: order, bounds, and its fairness over seeds.
#include "policy/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace citronwharf;

namespace {

queue_item item(std::uint64_t id, const std::string& organisation, double cost,
                service_class service = service_class::summary) {
  queue_item made;
  made.id = id;
  made.organisation = organisation;
  made.cost = cost;
  made.service = service;
  made.deadline = time_point(seconds(std::int64_t(id)));
  return made;
}

constexpr double largest_cost = 1000;

struct tenant {
  std::string name;
  double weight = 1;
  double served = 0;
};

// Serves a queue in which every tenant always waits, and checks that no two
// tenants' served cost over weight differ by more than one item of each.
void check_backlogged_share(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<tenant> tenants(2 + random() % 5);
  fair_queue queue({1024, 256});
  std::uint64_t id = 0;
  const auto push = [&](const tenant& from) {
    queue_item next = item(++id, from.name, 1 + double(random() % 1000));
    next.weight = from.weight;
    next.service = static_cast<service_class>(random() % 3);
    BOOST_REQUIRE(queue.push(next).ok());
  };
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    tenants[i].name = "o" + std::to_string(i);
    tenants[i].weight = 0.5 + double(random() % 8) / 2;
    const std::uint64_t backlog = 1 + random() % 50;
    for (std::uint64_t n = 0; n < backlog; ++n) push(tenants[i]);
  }
  for (int step = 0; step < 500; ++step) {
    const queue_item served = *queue.pop();
    for (tenant& each : tenants) {
      if (each.name != served.organisation) continue;
      each.served += served.cost / each.weight;
      push(each);
    }
    for (const tenant& one : tenants) {
      for (const tenant& other : tenants) {
        const double bound =
            largest_cost / one.weight + largest_cost / other.weight;
        BOOST_REQUIRE_MESSAGE(one.served - other.served <= bound,
                              "seed " << seed << " step " << step);
      }
    }
  }
}

// A tenant that comes back after a pause waits for one item of each other
// tenant at most, whatever those have queued; and pauses earn no credit.
void check_newcomer(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  fair_queue queue({1024, 256});
  std::uint64_t id = 0;
  const std::uint64_t others = 1 + random() % 3;
  for (std::uint64_t n = 0; n < others * 100; ++n) {
    const std::string from = "busy" + std::to_string(n % others);
    BOOST_REQUIRE(
        queue.push(item(++id, from, 1 + double(random() % 100))).ok());
  }
  const std::uint64_t before = random() % 150 % (others * 50);
  for (std::uint64_t n = 0; n < before; ++n) queue.pop();
  for (int n = 0; n < 20; ++n) {
    BOOST_REQUIRE(queue.push(item(++id, "late", 100)).ok());
  }
  double late = 0;
  double busy = 0;
  for (int step = 0; step < 40; ++step) {
    const queue_item served = *queue.pop();
    (served.organisation == "late" ? late : busy) += served.cost;
    const double share = busy / double(others);
    BOOST_REQUIRE_MESSAGE(late - share <= 300, "credit, seed " << seed);
    BOOST_REQUIRE_MESSAGE(share - late <= 300, "starved, seed " << seed);
    if (queue.size_of("late") == 0) break;
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(backlogged_organisations_share_by_weight) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    check_backlogged_share(seed);
  }
}

BOOST_AUTO_TEST_CASE(newcomers_are_neither_starved_nor_ahead) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) check_newcomer(seed);
}

BOOST_AUTO_TEST_CASE(urgent_classes_first_within_an_organisation) {
  fair_queue queue({});
  BOOST_TEST(queue.push(item(1, "a", 1)).ok());
  BOOST_TEST(queue.push(item(2, "a", 1, service_class::lookup)).ok());
  BOOST_TEST(queue.push(item(3, "a", 1, service_class::commit)).ok());
  BOOST_TEST(queue.push(item(4, "a", 1)).ok());
  BOOST_TEST(queue.peek()->id == 3U);
  for (const std::uint64_t expected : {3U, 2U, 1U, 4U}) {
    BOOST_TEST(queue.pop()->id == expected);
  }
  BOOST_TEST(!queue.pop().has_value());
}

BOOST_AUTO_TEST_CASE(bounds_hold_for_all_and_for_each) {
  fair_queue queue({3, 2});
  BOOST_TEST(queue.push(item(1, "a", 1)).ok());
  BOOST_TEST(absl::IsAlreadyExists(queue.push(item(1, "b", 1))));
  BOOST_TEST(queue.push(item(2, "a", 1)).ok());
  BOOST_TEST(absl::IsResourceExhausted(queue.push(item(3, "a", 1))));
  BOOST_TEST(queue.push(item(4, "b", 1)).ok());
  BOOST_TEST(absl::IsResourceExhausted(queue.push(item(5, "c", 1))));
  BOOST_TEST(queue.erase(1));
  BOOST_TEST(!queue.erase(1));
  BOOST_TEST(queue.push(item(5, "c", 2)).ok());
  BOOST_TEST(queue.waiting_cost() == 4);
}

BOOST_AUTO_TEST_CASE(late_items_leave) {
  fair_queue queue({});
  for (const std::uint64_t id : {3U, 1U, 2U}) {
    BOOST_TEST(queue.push(item(id, "a", 1)).ok());
  }
  BOOST_TEST(queue.expire(time_point(seconds(2))).size() == 2U);
  BOOST_TEST(queue.size() == 1U);
  BOOST_TEST(queue.pop()->id == 3U);
}
