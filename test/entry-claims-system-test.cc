// Claims of idempotency keys in real processes. Guards against a second
// execution when a request is repeated through another entry, also if the first
// entry or a control replica was killed in between.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "deployment.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

struct claims_fixture {
  claims_fixture() {
    system.start_vm("vm-1", "izmir-a");
    system.start_vm("vm-2", "izmir-b");
    system.start_vm("vm-3", "izmir-c");
    system.start_endpoints();
    nlohmann::json document = system.configuration();
    for (nlohmann::json& route : document.at("routes")) {
      if (route.at("name") == "price-commits") {
        route["deadline_ms"] = 2000;
      }
    }
    system.apply(document);
    key = system.create_key("k1", "importers");
    BOOST_REQUIRE(system.wait_until_ready(key));
  }

  http_request make_commit(const std::string& id) const {
    return {"POST",
            "/v1/routes/price-commits/prices",
            {{"Authorization", "Bearer " + key},
             {"Idempotency-Key", "claim-" + id}},
            nlohmann::json{{"commit_id", id}, {"price", 7}}.dump(),
            ""};
  }
  http_response call(const std::string& vm, const std::string& id) const {
    return system.call(vm, make_commit(id)).value_or(http_response{0, {}, ""});
  }
  absl::StatusOr<http_response> call_service(const http_request& in) const {
    http_call_options options;
    options.address = system.address("engine-price-1", "port");
    return fetch_blocking(options, in);
  }
  int executions(const std::string& id) const {
    const auto answer = call_service({"GET", "/fake/executions", {}, "", ""});
    BOOST_REQUIRE(answer.ok());
    return nlohmann::json::parse(answer->body).value(id, 0);
  }

  deployment system;
  std::string key;
};

}  // namespace

BOOST_AUTO_TEST_CASE(commit_runs_once_when_processes_are_killed) {
  claims_fixture fixture;
  deployment& system = fixture.system;

  // Every entry returns the stored answer.
  const http_response first = fixture.call("vm-1", "c1");
  BOOST_TEST(first.status == 200, first.body);
  for (const char* vm : {"vm-2", "vm-3", "vm-1"}) {
    const http_response repeated = fixture.call(vm, "c1");
    BOOST_TEST(repeated.body == first.body, vm);
    BOOST_TEST(find_header(repeated.headers, "Idempotency-Replayed") == "true");
  }
  BOOST_TEST(fixture.executions("c1") == 1);

  // The entry is killed after the service has executed the call.
  BOOST_REQUIRE(fixture
                    .call_service({"POST",
                                   "/fake/faults",
                                   {},
                                   R"({"kind":"hang","count":1,"delay_us":0})",
                                   ""})
                    .ok());
  std::thread hanging_call([&] { fixture.call("vm-1", "c2"); });
  BOOST_TEST(wait_until([&] { return fixture.executions("c2") == 1; }));
  const http_response second = fixture.call("vm-2", "c2");
  BOOST_TEST(second.status == 409);
  BOOST_TEST(find_header(second.headers, "Retry-After") == "1");
  system.process("vm-1").kill();
  hanging_call.join();
  http_response third;
  BOOST_TEST(wait_until([&] {
    third = fixture.call("vm-3", "c2");
    return third.body.find("claim-unknown") != std::string::npos;
  }));
  BOOST_TEST(find_header(third.headers, "X-Outcome") == "unknown");
  BOOST_TEST(fixture.executions("c2") == 1);

  // Stored answers survive the loss and the restart of one of three replicas.
  const http_response stored = fixture.call("vm-2", "c1");
  BOOST_TEST(stored.body == first.body);
  system.restart("vm-1");
  BOOST_TEST(wait_until(
      [&] { return fixture.call("vm-1", "c1").body == first.body; }));
  BOOST_TEST(fixture.executions("c1") == 1);
}
