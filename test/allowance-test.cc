// Tests of shared allowances in a simulation with faults: entries crash, pause
// and lose messages and connections; members change; clocks differ.
#include "allowance_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_CASE(usage_never_exceeds_rate_and_burst_with_faults) {
  double used = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    allowance_simulation simulation(seed, {});
    simulation.run();
    for (int tenant = 0; tenant < tenant_count; ++tenant) {
      BOOST_REQUIRE_MESSAGE(
          simulation.lowest_level(tenant) > -0.01,
          "seed " << seed << " level " << simulation.lowest_level(tenant));
      used += simulation.used(tenant);
    }
  }
  BOOST_TEST_MESSAGE(
      "used fraction of accrued tokens: " << used / (2000 * 12 * rate));
  BOOST_TEST(used > 0.2 * 2000 * 12 * rate);
}

BOOST_AUTO_TEST_CASE(requests_within_the_rate_are_not_refused) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    allowance_simulation simulation(seed, {false, 0.7, 0, seconds(30)});
    simulation.run();
    BOOST_REQUIRE_MESSAGE(simulation.refused == 0, "seed " << seed);
    BOOST_REQUIRE_MESSAGE(simulation.granted > 200, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(overload_uses_all_accrued_tokens) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    allowance_simulation simulation(seed, {false, 3, 0.4, seconds(30)});
    simulation.run();
    for (int tenant = 0; tenant < tenant_count; ++tenant) {
      const double accrued = rate * 28;  // the home grants after a start delay
      BOOST_REQUIRE_MESSAGE(
          simulation.used(tenant) > 0.95 * accrued,
          "seed " << seed << " used " << simulation.used(tenant));
    }
  }
}
