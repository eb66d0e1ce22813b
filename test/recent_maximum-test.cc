// Tests the expiry of samples in recent_maximum.
#include "base/recent_maximum.h"

#include <boost/test/unit_test.hpp>

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_CASE(maximum_decreases_when_larger_samples_expire) {
  const time_point start{seconds(100)};
  recent_maximum maximum(32, seconds(10));
  BOOST_TEST(maximum.value() == 32);
  maximum.add(3, start);
  BOOST_TEST(maximum.value() == 3);
  maximum.add(28, start + seconds(1));
  maximum.add(2, start + seconds(9));
  BOOST_TEST(maximum.value() == 28);
  maximum.add(2, start + milliseconds(10001));
  BOOST_TEST(maximum.value() == 28);
  maximum.add(70, start + seconds(11));
  BOOST_TEST(maximum.value() == 70);
  maximum.add(28, start + seconds(20));
  maximum.add(27, start + milliseconds(21001));
  BOOST_TEST(maximum.value() == 28);
  maximum.add(27, start + seconds(60));
  BOOST_TEST(maximum.value() == 27);
}
