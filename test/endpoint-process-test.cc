// Tests with real processes: endpoint processes, engines and entries are
// killed, suspended and terminated while requests run.
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

// A deployment with one VM whose entry serves calls; reports which requests the
// engines hold.
struct system_under_test {
  system_under_test() {
    cluster.start_vm("vm-1", "izmir-a");
    cluster.start_endpoints({"--token_interval_us=20000"});
    cluster.apply(cluster.configuration());
    key = cluster.create_key("key-1", "importers");
    BOOST_REQUIRE(cluster.wait_until_ready(key));
  }
  std::size_t held_requests(const std::string& engine) const {
    http_call_options options;
    options.address = cluster.address(engine, "port");
    const auto response =
        fetch_blocking(options, {"GET", "/v1/held", {}, "", ""});
    if (!response.ok()) {
      return 0;  // an engine that does not answer holds nothing
    }
    const auto list = nlohmann::json::parse(response->body).at("requests");
    return static_cast<std::size_t>(std::count_if(
        list.begin(), list.end(),
        [](const auto& fault_row) { return fault_row.at("state") != "done"; }));
  }
  // Returns what every engine holds, for failure messages.
  std::string held_list() const {
    std::string lists;
    for (const std::string& engine : engines) {
      http_call_options options;
      options.address = cluster.address(engine, "port");
      const auto response =
          fetch_blocking(options, {"GET", "/v1/held", {}, "", ""});
      lists += engine + (response.ok() ? response->body : "") + "\n";
    }
    return lists;
  }
  std::size_t held_requests() const {
    std::size_t total = 0;
    for (const std::string& engine : engines) {
      total += held_requests(engine);
    }
    return total;
  }
  bool wait_until_held(std::size_t expected_count) const {
    return wait_until([&] { return held_requests() == expected_count; });
  }
  void add_fault(const std::string& engine,
                 const nlohmann::json& description) const {
    http_call_options options;
    options.address = cluster.address(engine, "port");
    const auto response = fetch_blocking(
        options, {"POST", "/fake/faults", {}, description.dump(), ""});
    BOOST_REQUIRE(response.ok());
  }
  // Waits until a decode endpoint runs a request and returns its name.
  std::string find_busy_decode_endpoint() const {
    std::string found;
    wait_until([&] {
      for (const std::string name : {"decode-1", "decode-2"}) {
        if (held_requests("engine-" + name) > 0) {
          found = name;
        }
      }
      return !found.empty();
    });
    return found;
  }
  // Calls in a separate thread, so that the test can inject faults meanwhile.
  void start_call(const std::string& prompt, int tokens) {
    caller = std::thread([this, prompt, tokens] {
      response = cluster.call("vm-1", summary_request(key, prompt, tokens));
    });
  }
  void expect_complete_answer(const std::string& prompt, int tokens) {
    caller.join();
    BOOST_REQUIRE_MESSAGE(response.ok(), response.status().ToString());
    BOOST_TEST(response->status == 200, response->body);
    const auto body = nlohmann::json::parse(response->body, nullptr, false);
    BOOST_TEST(body.is_object());
    BOOST_TEST(response->body.find(fake_answer(prompt, tokens)) !=
               std::string::npos);
  }
  ~system_under_test() {
    if (caller.joinable()) {
      caller.join();
    }
  }
  system_under_test(const system_under_test&) = delete;
  system_under_test& operator=(const system_under_test&) = delete;

  deployment cluster;
  std::string key;
  std::thread caller;
  absl::StatusOr<http_response> response = absl::UnknownError("no answer");
};

}  // namespace

BOOST_AUTO_TEST_CASE(memory_of_a_killed_entry_is_freed_when_its_lease_expires) {
  system_under_test system;
  system.start_call("p", 2000);
  BOOST_REQUIRE(system.wait_until_held(1));
  const auto killed_at = std::chrono::steady_clock::now();
  system.cluster.process("vm-1").kill();
  BOOST_TEST(system.wait_until_held(0));
  const auto elapsed = std::chrono::steady_clock::now() - killed_at;
  BOOST_TEST((elapsed < std::chrono::seconds(10)));
}

BOOST_AUTO_TEST_CASE(a_suspended_entry_loses_its_memory_and_recovers) {
  system_under_test system;
  system.start_call("p", 2000);
  BOOST_REQUIRE(system.wait_until_held(1));
  system.cluster.process("vm-1").send_signal(SIGSTOP);
  BOOST_TEST(system.wait_until_held(0));
  system.cluster.process("vm-1").send_signal(SIGCONT);
  system.caller.join();  // the call must end, with any outcome
  BOOST_TEST(system.wait_until_held(0));
}

BOOST_AUTO_TEST_CASE(a_killed_endpoint_process_leaves_nothing_in_its_engine) {
  system_under_test system;
  system.start_call("p", 100);
  const std::string busy_endpoint = system.find_busy_decode_endpoint();
  system.cluster.process(busy_endpoint).kill();
  system.cluster.restart(busy_endpoint);
  system.expect_complete_answer("p", 100);
  BOOST_TEST(system.wait_until_held(0), system.held_list());
}

BOOST_AUTO_TEST_CASE(
    a_suspended_endpoint_process_resumes_without_a_second_answer) {
  system_under_test system;
  system.start_call("p", 100);
  const std::string busy_endpoint = system.find_busy_decode_endpoint();
  system.cluster.process(busy_endpoint).send_signal(SIGSTOP);
  system.expect_complete_answer("p", 100);
  system.cluster.process(busy_endpoint).send_signal(SIGCONT);
  BOOST_TEST(system.wait_until_held(0));
}

BOOST_AUTO_TEST_CASE(an_engine_that_dies_in_prefill_or_decode_loses_no_answer) {
  struct row {
    const char* at;
    int after_tokens;
  };
  for (const row& fault_row :
       {row{"prefill", 0}, row{"import", 0}, row{"transfer", 0},
        row{"decode", 10}, row{"decode", 50}}) {
    BOOST_TEST_CONTEXT(fault_row.at << ' ' << fault_row.after_tokens) {
      system_under_test system;
      const bool at_prefill = std::string(fault_row.at) == "prefill" ||
                              std::string(fault_row.at) == "transfer";
      for (const std::string& engine : engines) {
        const bool prefills = engine.find("prefill") != std::string::npos;
        if (prefills == at_prefill && engine.back() == '1') {
          system.add_fault(engine, {{"at", fault_row.at},
                                    {"kind", "die"},
                                    {"count", 1},
                                    {"after_tokens", fault_row.after_tokens},
                                    {"delay_us", 0}});
        }
      }
      for (int call = 0; call < 3; ++call) {
        const std::string prompt = "p" + std::to_string(call);
        system.start_call(prompt, 50);
        system.expect_complete_answer(prompt, 50);
      }
      BOOST_TEST(system.wait_until_held(0));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_running_stream_finishes_after_sigterm) {
  system_under_test system;
  system.start_call("p", 100);
  const std::string busy_endpoint = system.find_busy_decode_endpoint();
  system.cluster.process(busy_endpoint).send_signal(SIGTERM);
  system.expect_complete_answer("p", 100);
  BOOST_TEST(system.cluster.process(busy_endpoint).wait() == 0);
}
