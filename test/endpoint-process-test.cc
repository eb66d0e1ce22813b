// Real processes: endpoint processes, engines and entries are killed, frozen
// and stopped in mid-request.
#include <sys/wait.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "deployment.h"
#include "fake/tokens.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using citronwharf::fake::fake_answer;

namespace {

const std::vector<std::string> engines{"engine-prefill-1", "engine-prefill-2",
                                       "engine-decode-1", "engine-decode-2"};

// Counts what engines hold memory for.
struct system_under_test {
  system_under_test() {
    all.start_vm("vm-1", "izmir-a");
    all.start_endpoints({"--token_interval_us=20000"});
    all.apply(all.configuration());
    key = all.create_key("key-1", "importers");
    BOOST_REQUIRE(all.wait_until_ready(key));
  }
  std::size_t held(const std::string& engine) const {
    http_call_options options;
    options.address = all.address(engine, "port");
    const auto answer =
        fetch_blocking(options, {"GET", "/v1/held", {}, "", ""});
    if (!answer.ok()) {
      return 0;  // a process that is gone holds nothing
    }
    const auto list = nlohmann::json::parse(answer->body).at("requests");
    return static_cast<std::size_t>(std::count_if(
        list.begin(), list.end(),
        [](const auto& one) { return one.at("state") != "done"; }));
  }
  // What every engine lists, for messages.
  std::string held_list() const {
    std::string all_lists;
    for (const std::string& engine : engines) {
      http_call_options options;
      options.address = all.address(engine, "port");
      const auto answer =
          fetch_blocking(options, {"GET", "/v1/held", {}, "", ""});
      all_lists += engine + (answer.ok() ? answer->body : "") + "\n";
    }
    return all_lists;
  }
  std::size_t held() const {
    std::size_t sum = 0;
    for (const std::string& engine : engines) {
      sum += held(engine);
    }
    return sum;
  }
  bool wait_held(std::size_t wanted) const {
    return wait_until([&] { return held() == wanted; });
  }
  void fault(const std::string& engine, const nlohmann::json& what) const {
    http_call_options options;
    options.address = all.address(engine, "port");
    const auto answer =
        fetch_blocking(options, {"POST", "/fake/faults", {}, what.dump(), ""});
    BOOST_REQUIRE(answer.ok());
  }
  // Returns the decode endpoint that runs a request.
  std::string busy_decode() const {
    std::string found;
    wait_until([&] {
      for (const std::string name : {"decode-1", "decode-2"}) {
        if (held("engine-" + name) > 0) {
          found = name;
        }
      }
      return !found.empty();
    });
    return found;
  }
  // Calls in a thread of its own, so that faults can strike meanwhile.
  void start_call(const std::string& prompt, int tokens) {
    caller = std::thread([this, prompt, tokens] {
      answer = all.call("vm-1", summary_request(key, prompt, tokens));
    });
  }
  void expect_whole(const std::string& prompt, int tokens) {
    caller.join();
    BOOST_REQUIRE_MESSAGE(answer.ok(), answer.status().ToString());
    BOOST_TEST(answer->status == 200, answer->body);
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    BOOST_TEST(body.is_object());
    BOOST_TEST(answer->body.find(fake_answer(prompt, tokens)) !=
               std::string::npos);
  }
  ~system_under_test() {
    if (caller.joinable()) {
      caller.join();
    }
  }
  system_under_test(const system_under_test&) = delete;
  system_under_test& operator=(const system_under_test&) = delete;

  deployment all;
  std::string key;
  std::thread caller;
  absl::StatusOr<http_response> answer = absl::UnknownError("no answer");
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_killed_entry_frees_its_memory_within_the_lease) {
  system_under_test system;
  system.start_call("p", 2000);
  BOOST_REQUIRE(system.wait_held(1));
  const auto killed = std::chrono::steady_clock::now();
  system.all.process("vm-1").kill();
  BOOST_TEST(system.wait_held(0));
  const auto took = std::chrono::steady_clock::now() - killed;
  BOOST_TEST((took < std::chrono::seconds(10)));
}

BOOST_AUTO_TEST_CASE(a_frozen_entry_loses_its_memory_and_thaws_cleanly) {
  system_under_test system;
  system.start_call("p", 2000);
  BOOST_REQUIRE(system.wait_held(1));
  system.all.process("vm-1").send_signal(SIGSTOP);
  BOOST_TEST(system.wait_held(0));
  system.all.process("vm-1").send_signal(SIGCONT);
  system.caller.join();  // its outcome, whatever it is, comes
  BOOST_TEST(system.wait_held(0));
}

BOOST_AUTO_TEST_CASE(a_killed_endpoint_process_leaves_nothing_in_its_engine) {
  system_under_test system;
  system.start_call("p", 100);
  const std::string busy = system.busy_decode();
  system.all.process(busy).kill();
  system.all.restart(busy);
  system.expect_whole("p", 100);
  BOOST_TEST(system.wait_held(0), system.held_list());
}

BOOST_AUTO_TEST_CASE(a_frozen_endpoint_process_thaws_without_a_second_answer) {
  system_under_test system;
  system.start_call("p", 100);
  const std::string busy = system.busy_decode();
  system.all.process(busy).send_signal(SIGSTOP);
  system.expect_whole("p", 100);
  system.all.process(busy).send_signal(SIGCONT);
  BOOST_TEST(system.wait_held(0));
}

BOOST_AUTO_TEST_CASE(an_engine_that_dies_in_prefill_or_decode_costs_no_answer) {
  struct row {
    const char* at;
    int after_tokens;
  };
  for (const row& one :
       {row{"prefill", 0}, row{"import", 0}, row{"transfer", 0},
        row{"decode", 10}, row{"decode", 50}}) {
    BOOST_TEST_CONTEXT(one.at << ' ' << one.after_tokens) {
      system_under_test system;
      const bool at_prefill =
          std::string(one.at) == "prefill" || std::string(one.at) == "transfer";
      for (const std::string& engine : engines) {
        const bool prefills = engine.find("prefill") != std::string::npos;
        if (prefills == at_prefill && engine.back() == '1') {
          system.fault(engine, {{"at", one.at},
                                {"kind", "die"},
                                {"count", 1},
                                {"after_tokens", one.after_tokens},
                                {"delay_us", 0}});
        }
      }
      for (int call = 0; call < 3; ++call) {
        const std::string prompt = "p" + std::to_string(call);
        system.start_call(prompt, 50);
        system.expect_whole(prompt, 50);
      }
      BOOST_TEST(system.wait_held(0));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_sigterm_lets_a_running_stream_end) {
  system_under_test system;
  system.start_call("p", 100);
  const std::string busy = system.busy_decode();
  system.all.process(busy).send_signal(SIGTERM);
  system.expect_whole("p", 100);
  BOOST_TEST(system.all.process(busy).wait() == 0);
}
