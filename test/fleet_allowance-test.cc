// Bound on the tokens that an overloading organisation gets in any window while
// leaders freeze and resume: gateways then grant from their own parts as well.
#include <boost/test/unit_test.hpp>

#include "hot_organisation.h"

BOOST_AUTO_TEST_CASE(a_hot_organisation_gets_no_more_by_a_frozen_leader) {
  for (const std::uint64_t seed : citronwharf::test::seeds_over_bound(0)) {
    BOOST_ERROR("seed " << seed << " exceeds the bound");
  }
}
