// Tests of the token bucket: its bound, predicted waits and returned tokens.
#include "policy/token_bucket.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace citronwharf;

BOOST_AUTO_TEST_CASE(grants_never_exceed_rate_and_burst) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    const allowance limit{100.0 + double(random() % 1000),
                          50.0 + double(random() % 500)};
    time_point now{};
    token_bucket bucket(limit, limit.burst_tokens, now);
    std::vector<std::pair<time_point, double>> grants;
    for (int step = 0; step < 100; ++step) {
      now += duration(random() % 200000);
      const double tokens = double(random() % 300);
      if (bucket.take(tokens, now)) grants.emplace_back(now, tokens);
    }
    for (std::size_t from = 0; from < grants.size(); ++from) {
      double sum = 0;
      for (std::size_t to = from; to < grants.size(); ++to) {
        sum += grants[to].second;
        const double span =
            double((grants[to].first - grants[from].first).count()) / 1e6;
        const double bound =
            limit.tokens_per_second * span + limit.burst_tokens;
        BOOST_REQUIRE_MESSAGE(sum <= bound + 1e-3, "seed " << seed);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(wait_is_sufficient_and_minimal) {
  time_point now{};
  token_bucket bucket({100, 50}, 0, now);
  BOOST_TEST(bucket.wait_for(25, now).count() == 250000);
  BOOST_TEST((bucket.wait_for(51, now) == duration::max()));
  BOOST_TEST(!bucket.take(25, now + milliseconds(249)));
  BOOST_TEST(bucket.take(25, now + milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(returned_tokens_are_capped_at_the_burst) {
  time_point now{};
  token_bucket bucket({100, 50}, 40, now);
  bucket.put_back(1000, now);
  BOOST_TEST(bucket.available(now) == 50);
  bucket.set_limit({100, 20}, now);
  BOOST_TEST(bucket.available(now) == 20);
}
