// Requests of the whole system while its processes die, freeze and leave.
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

constexpr int tokens = 100;
const std::string prompt = "Summarise the offers.";
// 100 tokens last two seconds, time enough to fail in the middle.
const program_flags slow{"--token_interval_us=20000"};
// An endpoint frees what a lost entry held once its lease has ended.
constexpr std::chrono::seconds lease_limit{5};
constexpr std::chrono::seconds margin{3};

// One streamed request, under way in a thread of its own.
class call_under_way {
 public:
  call_under_way(const running_system& running, const std::string& vm)
      : thread_([this, &running, vm] {
          answer_ = running.system.call(
              vm, summary_request(running.key, prompt, tokens, true));
        }) {}
  ~call_under_way() { join(); }
  call_under_way(const call_under_way&) = delete;
  call_under_way& operator=(const call_under_way&) = delete;

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

std::string decoding_endpoint(const deployment& system) {
  return system.engine_holds("decode-1") > 0 ? "decode-1" : "decode-2";
}

void wait_decoding(const deployment& system) {
  BOOST_REQUIRE(wait_until([&] { return system.decode_holds() == 1; }));
  // Some tokens are on their way before the fault.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_answer_is_whole_though_processes_die_in_decode) {
  running_system running(slow);
  deployment& system = running.system;
  const std::string whole = fake::fake_answer(prompt, tokens);
  // Each row: what is killed beside the decoding endpoint, or its process.
  for (const std::string prefix : {"", "engine-"}) {
    call_under_way call(running, "vm-1");
    wait_decoding(system);
    const std::string victim = prefix + decoding_endpoint(system);
    system.process(victim).kill();
    BOOST_TEST(call.text() == whole, victim << ": " << call.body());
    system.restart(victim);
    BOOST_TEST(wait_until([&] { return system.decode_holds() == 0; },
                          lease_limit + margin),
               victim);
    BOOST_REQUIRE(system.wait_served(running.key));
  }
}

BOOST_AUTO_TEST_CASE(a_graceful_stop_of_an_endpoint_cuts_no_request) {
  running_system running(slow);
  deployment& system = running.system;
  call_under_way call(running, "vm-2");
  wait_decoding(system);
  const std::string leaving = decoding_endpoint(system);
  system.process(leaving).send_signal(SIGTERM);
  // New work goes elsewhere while the endpoint finishes what it has.
  const auto second =
      system.call("vm-2", summary_request(running.key, "another", 5));
  BOOST_REQUIRE(second.ok());
  BOOST_TEST(second->status == 200, second->body);
  BOOST_TEST(call.text() == fake::fake_answer(prompt, tokens));
  BOOST_TEST(system.process(leaving).wait() == 0);
}

BOOST_AUTO_TEST_CASE(a_graceful_stop_of_an_entry_cuts_no_request) {
  running_system running(slow);
  deployment& system = running.system;
  call_under_way call(running, "vm-3");
  wait_decoding(system);
  system.process("vm-3").send_signal(SIGTERM);
  BOOST_TEST(call.text() == fake::fake_answer(prompt, tokens));
  BOOST_TEST(system.process("vm-3").wait() == 0);
}

BOOST_AUTO_TEST_CASE(memory_is_freed_when_an_entry_dies_or_freezes) {
  running_system running(slow);
  deployment& system = running.system;
  for (const int signal : {SIGKILL, SIGSTOP}) {
    call_under_way call(running, "vm-2");
    wait_decoding(system);
    system.process("vm-2").send_signal(signal);
    BOOST_TEST(wait_until([&] { return system.decode_holds() == 0; },
                          lease_limit + margin),
               "signal " << signal);
    if (signal == SIGSTOP) {
      system.process("vm-2").send_signal(SIGCONT);
    } else {
      system.restart("vm-2");
    }
    // Thawed past its lease, the entry ends the request whole or as broken,
    // never as a clean end over a part of it.
    const std::string text = call.text();
    BOOST_TEST((text.empty() || text == fake::fake_answer(prompt, tokens)));
    BOOST_REQUIRE(system.wait_served(running.key));
  }
}
