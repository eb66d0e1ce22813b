// Tests of the fair queue: order, limits, and fairness with random seeds.
#include "policy/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace citronwharf;

namespace {

queue_item make_item(std::uint64_t id, const std::string& organisation,
                     double cost,
                     service_class service = service_class::summary) {
  queue_item result;
  result.id = id;
  result.organisation = organisation;
  result.cost = cost;
  result.service = service;
  result.deadline = time_point(seconds(std::int64_t(id)));
  return result;
}

constexpr double max_cost = 1000;

struct tenant_state {
  std::string name;
  double weight = 1;
  double served = 0;
};

// Serves a queue in which every tenant always has waiting items. Checks that
// the served cost divided by weight of any two tenants differs by at most one
// item of each.
void check_backlogged_share(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<tenant_state> tenants(2 + random() % 5);
  fair_queue queue({1024, 256});
  std::uint64_t id = 0;
  const auto push = [&](const tenant_state& from) {
    queue_item next = make_item(++id, from.name, 1 + double(random() % 1000));
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
    for (tenant_state& each : tenants) {
      if (each.name != served.organisation) continue;
      each.served += served.cost / each.weight;
      push(each);
    }
    for (const tenant_state& lhs : tenants) {
      for (const tenant_state& rhs : tenants) {
        const double bound = max_cost / lhs.weight + max_cost / rhs.weight;
        BOOST_REQUIRE_MESSAGE(lhs.served - rhs.served <= bound,
                              "seed " << seed << " step " << step);
      }
    }
  }
}

// Checks that a tenant that returns after a pause waits for at most one item of
// each other tenant, however many those have queued, and earns no credit for
// the pause.
void check_returning_tenant(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  fair_queue queue({1024, 256});
  std::uint64_t id = 0;
  const std::uint64_t others = 1 + random() % 3;
  for (std::uint64_t n = 0; n < others * 100; ++n) {
    const std::string from = "busy" + std::to_string(n % others);
    BOOST_REQUIRE(
        queue.push(make_item(++id, from, 1 + double(random() % 100))).ok());
  }
  const std::uint64_t before = random() % 150 % (others * 50);
  for (std::uint64_t n = 0; n < before; ++n) queue.pop();
  for (int n = 0; n < 20; ++n) {
    BOOST_REQUIRE(queue.push(make_item(++id, "late", 100)).ok());
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

BOOST_AUTO_TEST_CASE(returning_tenants_are_neither_starved_nor_preferred) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed)
    check_returning_tenant(seed);
}

BOOST_AUTO_TEST_CASE(urgent_classes_come_first_within_an_organisation) {
  fair_queue queue({});
  BOOST_TEST(queue.push(make_item(1, "a", 1)).ok());
  BOOST_TEST(queue.push(make_item(2, "a", 1, service_class::lookup)).ok());
  BOOST_TEST(queue.push(make_item(3, "a", 1, service_class::commit)).ok());
  BOOST_TEST(queue.push(make_item(4, "a", 1)).ok());
  BOOST_TEST(queue.peek()->id == 3U);
  for (const std::uint64_t expected : {3U, 2U, 1U, 4U}) {
    BOOST_TEST(queue.pop()->id == expected);
  }
  BOOST_TEST(!queue.pop().has_value());
}

BOOST_AUTO_TEST_CASE(total_and_organisation_limits_are_enforced) {
  fair_queue queue({3, 2});
  BOOST_TEST(queue.push(make_item(1, "a", 1)).ok());
  BOOST_TEST(absl::IsAlreadyExists(queue.push(make_item(1, "b", 1))));
  BOOST_TEST(queue.push(make_item(2, "a", 1)).ok());
  BOOST_TEST(absl::IsResourceExhausted(queue.push(make_item(3, "a", 1))));
  BOOST_TEST(queue.push(make_item(4, "b", 1)).ok());
  BOOST_TEST(absl::IsResourceExhausted(queue.push(make_item(5, "c", 1))));
  BOOST_TEST(queue.erase(1));
  BOOST_TEST(!queue.erase(1));
  BOOST_TEST(queue.push(make_item(5, "c", 2)).ok());
  BOOST_TEST(queue.waiting_cost() == 4);
}

BOOST_AUTO_TEST_CASE(expired_items_are_removed) {
  fair_queue queue({});
  for (const std::uint64_t id : {3U, 1U, 2U}) {
    BOOST_TEST(queue.push(make_item(id, "a", 1)).ok());
  }
  BOOST_TEST(queue.expire(time_point(seconds(2))).size() == 2U);
  BOOST_TEST(queue.size() == 1U);
  BOOST_TEST(queue.pop()->id == 3U);
}
