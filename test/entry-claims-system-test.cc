// Claims of idempotency keys in real processes: a second try through any entry
// never runs again, whoever is killed in between.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "deployment.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

struct claims_system {
  claims_system() {
    system.start_vm("vm-1", "izmir-a");
    system.start_vm("vm-2", "izmir-b");
    system.start_vm("vm-3", "izmir-c");
    system.start_endpoints();
    nlohmann::json document = system.configuration();
    for (nlohmann::json& one : document.at("routes")) {
      if (one.at("name") == "price-commits") {
        one["deadline_ms"] = 2000;
      }
    }
    system.apply(document);
    key = system.create_key("k1", "importers");
    BOOST_REQUIRE(system.wait_served(key));
  }

  http_request commit(const std::string& id) const {
    return {"POST",
            "/v1/routes/price-commits/prices",
            {{"Authorization", "Bearer " + key},
             {"Idempotency-Key", "claim-" + id}},
            nlohmann::json{{"commit_id", id}, {"price", 7}}.dump(),
            ""};
  }
  http_response call(const std::string& vm, const std::string& id) const {
    return system.call(vm, commit(id)).value_or(http_response{0, {}, ""});
  }
  absl::StatusOr<http_response> service(const http_request& in) const {
    http_call_options options;
    options.address = system.address("engine-price-1", "port");
    return fetch_blocking(options, in);
  }
  int executions(const std::string& id) const {
    const auto got = service({"GET", "/fake/executions", {}, "", ""});
    BOOST_REQUIRE(got.ok());
    return nlohmann::json::parse(got->body).value(id, 0);
  }

  deployment system;
  std::string key;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_commit_runs_once_whoever_is_killed) {
  claims_system running;
  deployment& system = running.system;

  // The stored answer is given by each entry.
  const http_response first = running.call("vm-1", "c1");
  BOOST_TEST(first.status == 200, first.body);
  for (const char* vm : {"vm-2", "vm-3", "vm-1"}) {
    const http_response again = running.call(vm, "c1");
    BOOST_TEST(again.body == first.body, vm);
    BOOST_TEST(find_header(again.headers, "Idempotency-Replayed") == "true");
  }
  BOOST_TEST(running.executions("c1") == 1);

  // The entry is killed after the service ran the call.
  BOOST_REQUIRE(running
                    .service({"POST",
                              "/fake/faults",
                              {},
                              R"({"kind":"hang","count":1,"delay_us":0})",
                              ""})
                    .ok());
  std::thread caller([&] { running.call("vm-1", "c2"); });
  BOOST_TEST(wait_until([&] { return running.executions("c2") == 1; }));
  const http_response second = running.call("vm-2", "c2");
  BOOST_TEST(second.status == 409);
  BOOST_TEST(find_header(second.headers, "Retry-After") == "1");
  system.process("vm-1").kill();
  caller.join();
  http_response third;
  BOOST_TEST(wait_until([&] {
    third = running.call("vm-3", "c2");
    return third.body.find("claim-unknown") != std::string::npos;
  }));
  BOOST_TEST(find_header(third.headers, "X-Outcome") == "unknown");
  BOOST_TEST(running.executions("c2") == 1);

  // One of three replicas is gone, and it comes back: answers are kept.
  const http_response kept = running.call("vm-2", "c1");
  BOOST_TEST(kept.body == first.body);
  system.restart("vm-1");
  BOOST_TEST(wait_until(
      [&] { return running.call("vm-1", "c1").body == first.body; }));
  BOOST_TEST(running.executions("c1") == 1);
}
