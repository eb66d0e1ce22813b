// Learning how fast engines read prompts, from spans that include queues.
#include "gateway/prefill_speed.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

struct engine_kind {
  double latency_s;
  double s_per_token;
  double queue_s;  // mean, for two prompts of three
};

double relative(double seen, double truth) {
  return std::abs(seen - truth) / truth;
}

}  // namespace

// Load: engines with a latency of 31 ms and of under 1 ms, in the queue of
// others or not.
BOOST_AUTO_TEST_CASE(speed_and_latency_are_told_apart) {
  const engine_kind kinds[] = {{0.031, 18e-6, 0.05},
                               {0.0007, 18e-6, 0.05},
                               {0.0007, 18e-6, 0.3},
                               {0.005, 90e-6, 0.2}};
  for (const engine_kind& kind : kinds) {
    prefill_speed speed({});
    std::mt19937 random(7);
    std::lognormal_distribution<double> size(std::log(4500.0), 0.5);
    std::exponential_distribution<double> queue(1 / kind.queue_s);
    for (int prompt = 0; prompt < 300; ++prompt) {
      const auto tokens =
          std::min<std::int64_t>(11000, std::llround(size(random)));
      const double wait_s = prompt % 3 == 0 ? 0 : queue(random);
      speed.take(tokens,
                 from_seconds(kind.latency_s + wait_s +
                              kind.s_per_token * static_cast<double>(tokens)));
    }
    constexpr std::int64_t usual = 5000;
    const double truth = kind.latency_s + kind.s_per_token * usual;
    BOOST_TEST(relative(to_seconds(speed.predict(usual)), truth) < 0.15);
    BOOST_TEST(relative(speed.s_per_token(), kind.s_per_token) < 0.25);
  }
}

// The first prompts must not make a guess worse than the start.
BOOST_AUTO_TEST_CASE(a_few_prompts_change_nothing) {
  prefill_speed speed({});
  speed.take(2300, milliseconds(41));
  speed.take(2400, milliseconds(44));
  BOOST_TEST(speed.s_per_token() == 20e-6);
  BOOST_TEST((speed.latency() == milliseconds(40)));
}

// An engine that turns slow is noticed.
BOOST_AUTO_TEST_CASE(speeds_are_forgotten) {
  prefill_speed speed({});
  for (int round = 0; round < 400; ++round) {
    const double s_per_token = round < 100 ? 18e-6 : 54e-6;
    for (const std::int64_t tokens : {2000, 4000, 6000, 8000}) {
      speed.take(tokens,
                 from_seconds(s_per_token * static_cast<double>(tokens)));
    }
  }
  BOOST_TEST(relative(speed.s_per_token(), 54e-6) < 0.1);
}
