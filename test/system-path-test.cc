// The whole path in real processes: every caller gets its own whole answer,
// and no endpoint sees a key.
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

BOOST_AUTO_TEST_CASE(the_whole_path) {
  running_system running;
  const deployment& system = running.system;

  // 20 concurrent callers with distinct prompts, over all entries.
  std::vector<std::string> got(callers);
  std::vector<std::thread> threads;
  threads.reserve(callers);
  for (int number = 0; number < callers; ++number) {
    threads.emplace_back([&, number] {
      const bool stream = number % 2 == 0;
      const auto answer = system.call(
          system.vms()[static_cast<std::size_t>(number) % 3],
          summary_request(running.key, fmt::format("prompt {}", number),
                          10 + number, stream));
      if (answer.ok() && stream) {
        got[number] = streamed_text(answer->body);
      } else if (answer.ok()) {
        got[number] = nlohmann::json::parse(answer->body).value("text", "");
      }
    });
  }
  for (std::thread& each : threads) {
    each.join();
  }
  for (int number = 0; number < callers; ++number) {
    BOOST_TEST(
        got[number] ==
        fake::fake_answer(fmt::format("prompt {}", number), 10 + number));
  }

  // Plain routes pass through; the commit runs once for one idempotency key.
  http_request commit;
  commit.method = "POST";
  commit.target = "/v1/routes/price-commits/prices";
  commit.headers = {{"Authorization", "Bearer " + running.key},
                    {"Idempotency-Key", "commit-1"}};
  commit.body = R"({"commit_id": "c1", "price": 7})";
  for (const std::string& vm : system.vms()) {
    const auto answer = system.call(vm, commit);
    BOOST_REQUIRE(answer.ok());
    BOOST_TEST(answer->status == 200, answer->body);
    BOOST_TEST(find_header(answer->headers, "X-Outcome") == "done");
  }

  // The key is in nothing that an engine, a service, a log or a trace holds.
  for (const char* name :
       {"prefill-1", "prefill-2", "decode-1", "decode-2", "price-1"}) {
    http_call_options options;
    options.address = system.address(std::string("engine-") + name, "port");
    const auto received =
        fetch_blocking(options, {"GET", "/fake/received", {}, "", ""});
    BOOST_REQUIRE(received.ok());
    BOOST_TEST(received->status == 200);
    BOOST_TEST(received->body.find(running.key) == std::string::npos);
    for (const char* ending : {".log", ".trace"}) {
      BOOST_TEST(
          system.folder().read(name + std::string(ending)).find(running.key) ==
          std::string::npos);
    }
  }
  for (const std::string& vm : system.vms()) {
    BOOST_TEST(system.folder().read(vm + ".log").find(running.key) ==
               std::string::npos);
    BOOST_TEST(system.folder().read(vm + ".trace").find(running.key) ==
               std::string::npos);
  }

  // Every process stops by itself on SIGTERM, entries last.
  for (const char* name : {"prefill-1", "prefill-2", "decode-1", "decode-2",
                           "price-1", "vm-3", "vm-2", "vm-1"}) {
    running.system.process(name).send_signal(SIGTERM);
    BOOST_TEST(running.system.process(name).wait() == 0, name);
  }
}
