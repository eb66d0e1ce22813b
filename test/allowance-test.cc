// Allowances over a fleet under virtual time with faults: entries crash,
// freeze, lose messages and each other; members change; clocks differ.
#include "allowance_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_CASE(no_interval_sees_more_than_rate_and_burst) {
  double used = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    allowance_simulation run(seed, {});
    run.run();
    for (int tenant = 0; tenant < tenants; ++tenant) {
      BOOST_REQUIRE_MESSAGE(
          run.lowest_level(tenant) > -0.01,
          "seed " << seed << " level " << run.lowest_level(tenant));
      used += run.used(tenant);
    }
  }
  BOOST_TEST_MESSAGE("used of what accrued: " << used / (2000 * 12 * rate));
  BOOST_TEST(used > 0.2 * 2000 * 12 * rate);
}

BOOST_AUTO_TEST_CASE(nothing_within_rate_is_refused) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    allowance_simulation run(seed, {false, 0.7, 0, seconds(30)});
    run.run();
    BOOST_REQUIRE_MESSAGE(run.refused == 0, "seed " << seed);
    BOOST_REQUIRE_MESSAGE(run.granted > 200, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(a_flood_gets_all_that_accrues) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    allowance_simulation run(seed, {false, 3, 0.4, seconds(30)});
    run.run();
    for (int tenant = 0; tenant < tenants; ++tenant) {
      const double accrued = rate * 28;  // after the start's wait
      BOOST_REQUIRE_MESSAGE(run.used(tenant) > 0.95 * accrued,
                            "seed " << seed << " used " << run.used(tenant));
    }
  }
}
