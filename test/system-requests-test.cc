// Requests to a complete deployment while its processes are killed, frozen or
// stopped. Guards against truncated answers and against memory that stays held.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>
#include <vector>

#include "deployment.h"
#include "fake/tokens.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int max_tokens = 100;
const std::string prompt = "Summarise the offers.";
// 100 tokens take two seconds, so a fault can occur in the middle of decode.
const program_flags slow_decode{"--token_interval_us=20000"};
// An endpoint frees what a lost entry held once the entry's lease has expired.
constexpr std::chrono::seconds max_lease{5};
constexpr std::chrono::seconds lease_margin{3};

// A streamed request that runs in its own thread.
class concurrent_call {
 public:
  concurrent_call(const running_system& deployed, const std::string& vm)
      : thread_([this, &deployed, vm] {
          answer_ = deployed.system.call(
              vm, summary_request(deployed.key, prompt, max_tokens, true));
        }) {}
  ~concurrent_call() { join(); }
  concurrent_call(const concurrent_call&) = delete;
  concurrent_call& operator=(const concurrent_call&) = delete;

  std::string text() {
    join();
    return answer_.ok() ? streamed_text(answer_->body) : "";
  }
  std::string body() {
    join();
    return answer_.ok() ? answer_->body
                        : std::string(answer_.status().message());
  }

 private:
  void join() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  absl::StatusOr<http_response> answer_ = absl::UnknownError("none");
  std::thread thread_;
};

std::string find_decoding_endpoint(const deployment& system) {
  return system.engine_held_requests("decode-1") > 0 ? "decode-1" : "decode-2";
}

void wait_until_decoding(const deployment& system) {
  BOOST_REQUIRE(wait_until([&] { return system.decode_held_requests() == 1; }));
  // Lets some tokens reach the caller before the fault.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
}

}  // namespace

BOOST_AUTO_TEST_CASE(answer_is_complete_when_processes_die_during_decode) {
  running_system deployed(slow_decode);
  deployment& system = deployed.system;
  const std::string expected_text = fake::fake_answer(prompt, max_tokens);
  // Kills the decoding endpoint process, then a decoding fake engine.
  for (const std::string prefix : {"", "engine-"}) {
    concurrent_call call(deployed, "vm-1");
    wait_until_decoding(system);
    const std::string victim = prefix + find_decoding_endpoint(system);
    system.process(victim).kill();
    BOOST_TEST(call.text() == expected_text, victim << ": " << call.body());
    system.restart(victim);
    BOOST_TEST(wait_until([&] { return system.decode_held_requests() == 0; },
                          max_lease + lease_margin),
               victim);
    BOOST_REQUIRE(system.wait_until_ready(deployed.key));
  }
}

BOOST_AUTO_TEST_CASE(graceful_stop_of_endpoint_completes_requests) {
  running_system deployed(slow_decode);
  deployment& system = deployed.system;
  concurrent_call call(deployed, "vm-2");
  wait_until_decoding(system);
  const std::string stopping_endpoint = find_decoding_endpoint(system);
  system.process(stopping_endpoint).send_signal(SIGTERM);
  // New requests go to the other endpoint while this one finishes its request.
  const auto second_answer =
      system.call("vm-2", summary_request(deployed.key, "another", 5));
  BOOST_REQUIRE(second_answer.ok());
  BOOST_TEST(second_answer->status == 200, second_answer->body);
  BOOST_TEST(call.text() == fake::fake_answer(prompt, max_tokens));
  BOOST_TEST(system.process(stopping_endpoint).wait() == 0);
}

BOOST_AUTO_TEST_CASE(graceful_stop_of_entry_completes_requests) {
  running_system deployed(slow_decode);
  deployment& system = deployed.system;
  concurrent_call call(deployed, "vm-3");
  wait_until_decoding(system);
  const auto readyz_status = [&] {
    http_call_options options;
    options.address = system.address("vm-3", "admin");
    const auto answer = fetch_blocking(options, {"GET", "/readyz", {}, "", ""});
    return answer.ok() ? answer->status : 0;
  };
  BOOST_TEST(readyz_status() == 200);
  system.process("vm-3").send_signal(SIGTERM);
  BOOST_TEST(wait_until([&] { return readyz_status() == 503; }));
  BOOST_TEST(call.text() == fake::fake_answer(prompt, max_tokens));
  BOOST_TEST(system.process("vm-3").wait() == 0);
}

BOOST_AUTO_TEST_CASE(memory_is_freed_when_entry_dies_or_freezes) {
  running_system deployed(slow_decode);
  deployment& system = deployed.system;
  for (const int signal : {SIGKILL, SIGSTOP}) {
    concurrent_call call(deployed, "vm-2");
    wait_until_decoding(system);
    system.process("vm-2").send_signal(signal);
    BOOST_TEST(wait_until([&] { return system.decode_held_requests() == 0; },
                          max_lease + lease_margin),
               "signal " << signal);
    if (signal == SIGSTOP) {
      system.process("vm-2").send_signal(SIGCONT);
    } else {
      system.restart("vm-2");
    }
    // If the entry continues after its lease has expired, it ends the request
    // complete or with an error, never as a complete stream of partial text.
    const std::string text = call.text();
    BOOST_TEST((text.empty() || text == fake::fake_answer(prompt, max_tokens)));
    BOOST_REQUIRE(system.wait_until_ready(deployed.key));
  }
}
