// Tests of the estimate of prefill speed from times that include queueing.
#include "gateway/prefill_speed.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

struct engine_model {
  double latency_s;
  double s_per_token;
  double queue_s;  // mean wait of two prompts of three
};

double relative_error(double estimate, double actual) {
  return std::abs(estimate - actual) / actual;
}

}  // namespace

// Load: engines with a latency of 31 ms, 5 ms and under 1 ms, with and without
// queueing.
BOOST_AUTO_TEST_CASE(estimates_speed_and_latency) {
  const engine_model models[] = {{0.031, 18e-6, 0.05},
                                 {0.0007, 18e-6, 0.05},
                                 {0.0007, 18e-6, 0.3},
                                 {0.005, 90e-6, 0.2}};
  for (const engine_model& model : models) {
    prefill_speed speed({});
    std::mt19937 random(7);
    std::lognormal_distribution<double> size(std::log(4500.0), 0.5);
    std::exponential_distribution<double> queue(1 / model.queue_s);
    for (int prompt = 0; prompt < 300; ++prompt) {
      const auto tokens =
          std::min<std::int64_t>(11000, std::llround(size(random)));
      const double wait_s = prompt % 3 == 0 ? 0 : queue(random);
      speed.add_sample(tokens, from_seconds(model.latency_s + wait_s +
                                            model.s_per_token *
                                                static_cast<double>(tokens)));
    }
    constexpr std::int64_t tokens_to_predict = 5000;
    const double actual =
        model.latency_s + model.s_per_token * tokens_to_predict;
    BOOST_TEST(relative_error(to_seconds(speed.predict(tokens_to_predict)),
                              actual) < 0.15);
    BOOST_TEST(relative_error(speed.s_per_token(), model.s_per_token) < 0.25);
  }
}

// The first samples must not make the estimate worse than the initial one.
BOOST_AUTO_TEST_CASE(a_few_samples_keep_the_initial_estimate) {
  prefill_speed speed({});
  speed.add_sample(2300, milliseconds(41));
  speed.add_sample(2400, milliseconds(44));
  BOOST_TEST(speed.s_per_token() == 20e-6);
  BOOST_TEST((speed.latency() == milliseconds(40)));
}

// Old samples decay, so that a slower engine is noticed.
BOOST_AUTO_TEST_CASE(adapts_to_an_engine_that_becomes_slower) {
  prefill_speed speed({});
  for (int round = 0; round < 400; ++round) {
    const double s_per_token = round < 100 ? 18e-6 : 54e-6;
    for (const std::int64_t tokens : {2000, 4000, 6000, 8000}) {
      speed.add_sample(tokens,
                       from_seconds(s_per_token * static_cast<double>(tokens)));
    }
  }
  BOOST_TEST(relative_error(speed.s_per_token(), 54e-6) < 0.1);
}
