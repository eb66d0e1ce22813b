// Test of a gateway process whose prefill engines refuse all prompts.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "server_fixture.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

BOOST_FIXTURE_TEST_CASE(prompts_refused_by_engines_stay_within_the_retry_budget,
                        server_fixture) {
  fake_server extra[2] = {fake_server(loop), fake_server(loop)};
  add("p2", "models", "prefill", extra[0]);
  add("p3", "models", "prefill", extra[1]);
  const auto refuse = [](const http_request& /*request*/,
                         std::unique_ptr<http_exchange> exchange) {
    exchange->respond(reply(503, "", {{"Citronwharf-Not-Run", "1"}}));
  };
  prefill.answers = refuse;
  extra[0].answers = refuse;
  extra[1].answers = refuse;
  const auto prompts_received = [](const fake_server& at) {
    return std::count_if(
        at.seen.begin(), at.seen.end(),
        [](const http_request& each) { return each.target == "/s/1"; });
  };
  constexpr int rounds = 40;
  constexpr int requests_per_round = 8;
  int served = 0;
  for (int round_number = 0; round_number < rounds; ++round_number) {
    std::vector<std::unique_ptr<http_call>> calls;
    calls.reserve(requests_per_round);
    int ended = 0;
    for (int each = 0; each < requests_per_round; ++each) {
      calls.push_back(
          fetch(loop, {callers}, prompt_to("/s/1"),
                [&](absl::StatusOr<http_response> response, bool /*sent*/) {
                  ++ended;
                  served += response.ok() && response->status == 200 ? 1 : 0;
                }));
    }
    BOOST_REQUIRE(run_until(loop, [&] { return ended == requests_per_round; }));
    run_loop_for(std::chrono::milliseconds(60));
  }
  const auto total_received =
      prompts_received(prefill) + prompts_received(extra[0]) +
      prompts_received(extra[1]) + prompts_received(decode) +
      prompts_received(other_decode);
  constexpr int requests = rounds * requests_per_round;
  // Defaults of the settings gateway/retry_ratio and gateway/retry_slack, for
  // one window.
  constexpr double allowed = 0.2 * requests + 60;
  BOOST_TEST(served >= requests * 9 / 10);
  BOOST_TEST(prompts_received(prefill) > 0);
  BOOST_TEST(static_cast<double>(total_received - requests) <= allowed);
}
