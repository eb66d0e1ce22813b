// The control role in real processes: conflicting operators, resent operations,
// withdrawn keys, and processes that were down or frozen.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "deployment.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

// Time limit for a change to take effect, from the reply to the operator.
constexpr std::chrono::seconds time_limit(5);

struct control_fixture : running_system {
  json tool_json(std::vector<std::string> arguments) const {
    arguments.insert(arguments.begin(), "--json");
    return json::parse(system.tool(arguments).output, nullptr, false);
  }
  std::uint64_t version() const {
    return tool_json({"show"}).value("version", 0U);
  }
  // Returns the status of one summary request, 0 if there was no response.
  int status(const std::string& vm, const std::string& secret) const {
    const auto answer =
        system.call(vm, citronwharf::test::summary_request(secret, "p", 2));
    return answer.ok() ? answer->status : 0;
  }
  // Returns whether the process reports its configuration as fresh.
  bool is_fresh(const std::string& vm) const {
    citronwharf::http_call_options options;
    options.address = system.address(vm, "admin");
    const auto page =
        citronwharf::fetch_blocking(options, {"GET", "/metrics", {}, "", ""});
    return page.ok() && page->body.find("citronwharf_configuration_fresh 1") !=
                            std::string::npos;
  }
  // Writes a partial document that sets the weight; returns its path.
  std::string weight_file(const std::string& name, double weight) const {
    const json document = {
        {"organisations", {{{"name", "importers"}, {"weight", weight}}}}};
    return system.folder().write(name, document.dump());
  }
  // Applies a weight based on version `base`; returns the tool's result.
  command_result apply_weight(std::uint64_t base, double weight,
                              const std::string& operation) const {
    return system.tool({"--json", "--partial", fmt::format("--base={}", base),
                        "--operation=" + operation, "apply",
                        weight_file(operation + ".json", weight)});
  }
  std::string leader() const {
    const json all = tool_json({"status"});
    for (const json& each : all) {
      if (!each.value("leader", "").empty()) {
        return each.value("leader", "");
      }
    }
    return "";
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(conflicting_and_resent_operations) {
  control_fixture running;
  const std::uint64_t base = running.version();

  // Two operations based on the same version: the second one fails and reports
  // which operation won.
  BOOST_TEST(running.apply_weight(base, 3, "winner").code == 0);
  const command_result conflict = running.apply_weight(base, 4, "loser");
  BOOST_TEST(conflict.code == 4);
  BOOST_TEST(json::parse(conflict.output).at("winner_operation") == "winner");

  // After the leader is killed, a resent operation gets its original result
  // from the next leader.
  const std::string first_leader = running.leader();
  BOOST_REQUIRE(!first_leader.empty());
  running.system.process(first_leader).kill();
  BOOST_TEST(running.apply_weight(base + 1, 5, "after").code == 0);
  const command_result resent = running.apply_weight(base, 3, "winner");
  BOOST_TEST(resent.code == 0, resent.output);
  BOOST_TEST(json::parse(resent.output).at("version") == base + 1);
  BOOST_TEST(running.version() == base + 2);

  // A process that restarts after 500 changes serves the newest version.
  for (int n = 0; n < 500; ++n) {
    const command_result applied =
        running.apply_weight(base + 2 + n, 10 + n, fmt::format("many-{}", n));
    BOOST_REQUIRE_MESSAGE(applied.code == 0, applied.output);
  }
  const std::string newest = running.system.create_key("newest", "importers");
  running.system.restart(first_leader);
  BOOST_TEST(
      wait_until([&] { return running.status(first_leader, newest) == 200; }));
}

BOOST_AUTO_TEST_CASE(withdrawn_keys_are_refused_within_the_time_limit) {
  control_fixture running;
  const std::string second = running.system.create_key("k2", "importers");
  BOOST_REQUIRE(wait_until([&] {
    return running.status("vm-1", second) == 200 &&
           running.status("vm-2", second) == 200 &&
           running.status("vm-3", second) == 200;
  }));

  // One process, not the leader, is frozen while the key is withdrawn and
  // resumed after the time limit.
  const std::string frozen = running.leader() == "vm-3" ? "vm-2" : "vm-3";
  running.system.process(frozen).send_signal(SIGSTOP);
  BOOST_REQUIRE(running.system.tool({"key", "withdraw", "k2"}).code == 0);
  const auto withdrawn_at = std::chrono::steady_clock::now();
  for (const std::string& vm : running.system.vms()) {
    if (vm != frozen) {
      BOOST_TEST(wait_until([&] { return running.status(vm, second) == 401; },
                            time_limit));
    }
  }
  std::this_thread::sleep_until(withdrawn_at + time_limit);
  running.system.process(frozen).send_signal(SIGCONT);
  // It refuses the key in its first response after it resumes.
  const int first_status = running.status(frozen, second);
  BOOST_TEST(first_status != 200);
  BOOST_TEST(first_status != 0);
  BOOST_TEST(
      wait_until([&] { return running.status(frozen, running.key) == 200; }));
  BOOST_TEST(running.status(frozen, second) == 401);

  // Without a majority, requests to keyed routes are refused within the time
  // limit.
  BOOST_TEST(running.is_fresh("vm-1"));
  running.system.process("vm-2").kill();
  running.system.process("vm-3").kill();
  BOOST_TEST(wait_until([&] { return !running.is_fresh("vm-1"); }, time_limit));
  BOOST_TEST(running.status("vm-1", running.key) == 503);
  BOOST_TEST(
      running.system.tool({"--timeout=1", "key", "withdraw", "k1"}).code == 5);
}
