// The complete request path in real processes. Guards against callers getting
// incomplete answers or those of others, and against API keys reaching
// endpoints, logs or traces.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "deployment.h"
#include "fake/tokens.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int callers = 20;

}  // namespace

BOOST_AUTO_TEST_CASE(callers_get_their_answers_and_keys_stay_in_the_entry) {
  running_system deployed;
  const deployment& system = deployed.system;

  // Concurrent callers with distinct prompts, distributed over all entries.
  std::vector<std::string> texts(callers);
  std::vector<std::thread> threads;
  threads.reserve(callers);
  for (int number = 0; number < callers; ++number) {
    threads.emplace_back([&, number] {
      const bool stream = number % 2 == 0;
      const auto answer = system.call(
          system.vms()[static_cast<std::size_t>(number) % 3],
          summary_request(deployed.key, fmt::format("prompt {}", number),
                          10 + number, stream));
      if (answer.ok() && stream) {
        texts[number] = streamed_text(answer->body);
      } else if (answer.ok()) {
        texts[number] = nlohmann::json::parse(answer->body).value("text", "");
      }
    });
  }
  for (std::thread& each : threads) {
    each.join();
  }
  for (int number = 0; number < callers; ++number) {
    BOOST_TEST(
        texts[number] ==
        fake::fake_answer(fmt::format("prompt {}", number), 10 + number));
  }

  // Plain routes are served. The commits share one idempotency key, so the
  // commit runs once and every entry returns its answer.
  http_request commit;
  commit.method = "POST";
  commit.target = "/v1/routes/price-commits/prices";
  commit.headers = {{"Authorization", "Bearer " + deployed.key},
                    {"Idempotency-Key", "commit-1"}};
  commit.body = R"({"commit_id": "c1", "price": 7})";
  for (const std::string& vm : system.vms()) {
    const auto answer = system.call(vm, commit);
    BOOST_REQUIRE(answer.ok());
    BOOST_TEST(answer->status == 200, answer->body);
    BOOST_TEST(find_header(answer->headers, "X-Outcome") == "done");
  }

  // No engine, service, log or trace contains the key.
  for (const char* name :
       {"prefill-1", "prefill-2", "decode-1", "decode-2", "price-1"}) {
    http_call_options options;
    options.address = system.address(std::string("engine-") + name, "port");
    const auto received =
        fetch_blocking(options, {"GET", "/fake/received", {}, "", ""});
    BOOST_REQUIRE(received.ok());
    BOOST_TEST(received->status == 200);
    BOOST_TEST(received->body.find(deployed.key) == std::string::npos);
    for (const char* ending : {".log", ".trace"}) {
      BOOST_TEST(
          system.folder().read(name + std::string(ending)).find(deployed.key) ==
          std::string::npos);
    }
  }
  for (const std::string& vm : system.vms()) {
    BOOST_TEST(system.folder().read(vm + ".log").find(deployed.key) ==
               std::string::npos);
    BOOST_TEST(system.folder().read(vm + ".trace").find(deployed.key) ==
               std::string::npos);
  }

  // Every process exits with code 0 on SIGTERM; entries are stopped last.
  for (const char* name : {"prefill-1", "prefill-2", "decode-1", "decode-2",
                           "price-1", "vm-3", "vm-2", "vm-1"}) {
    deployed.system.process(name).send_signal(SIGTERM);
    BOOST_TEST(deployed.system.process(name).wait() == 0, name);
  }
}
