// Bound on the tokens that an overloading organisation gets in any window while
// leaders freeze and are replaced: gateways then grant from their own parts,
// and a new leader starts with new accounts.
#include <boost/test/unit_test.hpp>

#include "hot_organisation.h"

BOOST_AUTO_TEST_CASE(a_hot_organisation_gets_no_more_by_changes_of_leaders) {
  for (const std::uint64_t seed : citronwharf::test::seeds_over_bound(0.7)) {
    BOOST_ERROR("seed " << seed << " exceeds the bound");
  }
}
