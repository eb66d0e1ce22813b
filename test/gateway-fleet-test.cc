// Two gateways in real processes that share an organisation's allowance.
#include <boost/test/unit_test.hpp>

#include "gateway_fleet.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int tokens_per_request = 200;

struct fleet_fixture : gateway_fleet {
  fleet_fixture() {
    list("s1", "desk", "", service_server.address());
    start_leader();
    start_follower();
  }

  http_response call_follower() {
    return call(follower_host, callers, request_to("/c/1"));
  }

  // Publishes an allowance with this burst and a rate of one token per second,
  // so that hardly any tokens accrue during the test.
  void publish_allowance(int burst) {
    json commit = route("commit", "/c/", "unsafe", "desk");
    commit["attempts"] = 1;
    commit["goalMs"] = 150;
    publish(json::array({commit}), json::array({{{"name", "desk"}}}), 1, burst);
  }

  fake_server service_server{loop};
};

}  // namespace

// Load: a server refuses requests for a while. Their tokens must be returned to
// the organisation, although the gateway that received them is not the leader.
BOOST_FIXTURE_TEST_CASE(requests_that_did_not_run_cost_no_tokens,
                        fleet_fixture) {
  constexpr int burst = 8000;
  publish_allowance(burst);
  const auto default_answer = service_server.answers;
  service_server.answers = [](const http_request&,
                              std::unique_ptr<http_exchange> exchange) {
    exchange->respond(reply(503, "", {{"Citronwharf-Not-Run", "1"}}));
  };
  for (int sent = 0; sent < 2 * burst / tokens_per_request; ++sent) {
    BOOST_TEST(call_follower().status == 503);
  }
  service_server.answers = default_answer;
  BOOST_TEST(call_follower().status == 200);
}
