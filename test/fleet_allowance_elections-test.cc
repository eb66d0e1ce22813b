// What a hot organisation gets in any window while leaders change.
#include <boost/test/unit_test.hpp>

#include "hot_organisation.h"

BOOST_AUTO_TEST_CASE(a_hot_organisation_gets_no_more_by_changes_of_leaders) {
  for (const std::uint64_t seed : citronwharf::test::broken_seeds(0.7)) {
    BOOST_ERROR("seed " << seed << " exceeds the bound");
  }
}
