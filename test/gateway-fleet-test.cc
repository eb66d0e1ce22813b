// Two gateways in real processes that share an organisation's allowance.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <memory>

#include "gateway_fakes.h"
#include "net/http_client.h"
#include "processes.h"
#include "run-until.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr const char* leader_host = "127.0.0.1";
constexpr const char* follower_host = "127.0.0.2";
constexpr int tokens_per_request = 200;

// The first gateway is the leader, since only it has a data folder.
class fleet_fixture {
 public:
  fleet_fixture() {
    directory_server_.answers =
        [this](const http_request&, std::unique_ptr<http_exchange> exchange) {
          exchange->respond(directory_response(
              json::array({listed("s1", "desk", service_server)})));
        };
    leader_ = start("g1", leader_host);
    follower_ = start("g2", follower_host);
  }

  http_response call_follower() {
    return call(follower_host, callers_,
                {"POST",
                 "/c/1",
                 {{"Host", "a.example"},
                  {"Authorization", "Token k1"},
                  {"Citronwharf-Request-Id", fmt::format("q{}", ++last_id_)},
                  {"Citronwharf-Deadline-Ms", "1500"}},
                 "body",
                 ""});
  }

  // Publishes an allowance with this burst and a rate of one token per second,
  // so that hardly any tokens accrue during the test.
  void publish(int burst) {
    const json route{{"name", "commit"},    {"host", "a.example"},
                     {"pathPrefix", "/c/"}, {"kind", "unsafe"},
                     {"timeoutMs", 1500},   {"goalMs", 150},
                     {"service", "desk"},   {"attempts", 1}};
    const json tenant{{"name", "t1"},     {"apiKeys", {"k1"}},
                      {"unit", "tokens"}, {"plainTokens", tokens_per_request},
                      {"ratePerS", 1},    {"burst", burst}};
    const json state{{"version", 1},
                     {"routes", json::array({route})},
                     {"services", json::array({{{"name", "desk"}}})},
                     {"tenants", json::array({tenant})}};
    BOOST_REQUIRE(run_until(loop_, [&] {
      return call(leader_host, operators_,
                  {"POST", "/-/Config.Put", {}, state.dump(), ""})
                 .status == 200;
    }));
    BOOST_REQUIRE(run_until(loop_, [&] {
      return call(follower_host, readiness_, {"GET", "/-/ready", {}, "", ""})
                 .status == 200;
    }));
  }

 private:
  std::unique_ptr<child_process> start(const std::string& name,
                                       const std::string& host) {
    const auto address = [&](std::uint16_t port) {
      return fmt::format("{}:{}", host, port);
    };
    json settings{{"process", name},
                  {"deployment", "fleet"},
                  {"region", "r1"},
                  {"failure_domain", "z1"},
                  {"roles", {"gateway"}},
                  {"secret", "a secret of the fleet, long enough for it"},
                  {"listen",
                   {{"callers", address(callers_)},
                    {"peers", address(peers_)},
                    {"admin", address(0)}}},
                  {"gateway",
                   {{"readiness", address(readiness_)},
                    {"operators", address(operators_)},
                    {"directory", directory_server_.address()},
                    {"seeds", {"127.0.0.1:1"}},
                    {"first_start", true},
                    {"tolerated_losses", 0}}}};
    if (host == leader_host) {
      settings["data_folder"] = folder_.path() + "/data";
    }
    const std::string path = folder_.write(name + ".json", settings.dump());
    return std::make_unique<child_process>(
        "citronwharf_gateway", std::vector<std::string>{"--settings=" + path},
        fmt::format("{}/{}.log", folder_.path(), name));
  }

  // Returns the response, or status 0 if there is none.
  http_response call(const std::string& host, std::uint16_t port,
                     const http_request& request) {
    http_response out;
    out.status = -1;
    http_call_options options{fmt::format("{}:{}", host, port)};
    options.connect_timeout = milliseconds(300);
    options.idle_timeout = milliseconds(2000);
    const auto pending_call =
        fetch(loop_, options, request,
              [&](absl::StatusOr<http_response> response, bool /*sent*/) {
                out = response.ok() ? *std::move(response) : reply(0, "");
              });
    BOOST_REQUIRE(run_until(loop_, [&] { return out.status != -1; }));
    return out;
  }

  boost::asio::io_context loop_;
  test_folder folder_;
  fake_server directory_server_{loop_};

 public:
  fake_server service_server{loop_};

 private:
  const std::uint16_t callers_ = free_port();
  const std::uint16_t peers_ = free_port();
  const std::uint16_t operators_ = free_port();
  const std::uint16_t readiness_ = free_port();
  std::unique_ptr<child_process> leader_;
  std::unique_ptr<child_process> follower_;
  int last_id_ = 0;
};

}  // namespace

// Load: a server refuses requests for a while. Their tokens must be returned to
// the organisation, although the gateway that received them is not the leader.
BOOST_FIXTURE_TEST_CASE(requests_that_did_not_run_cost_no_tokens,
                        fleet_fixture) {
  constexpr int burst = 8000;
  publish(burst);
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
