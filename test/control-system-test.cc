// Control in real processes: racing operators, resends, withdrawals, and
// processes that were away.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "deployment.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

// The bound of "within seconds", from the answer to the operator.
constexpr std::chrono::seconds bound(5);

struct running_system {
  running_system() {
    system.start_vm("vm-1", "izmir-a");
    system.start_vm("vm-2", "izmir-b");
    system.start_vm("vm-3", "izmir-c");
    system.start_endpoints();
    system.apply(system.configuration());
    key = system.create_key("k1", "importers");
    BOOST_REQUIRE(system.wait_served(key));
  }

  json tool_json(std::vector<std::string> arguments) const {
    arguments.insert(arguments.begin(), "--json");
    return json::parse(system.tool(arguments).output, nullptr, false);
  }
  std::uint64_t version() const {
    return tool_json({"show"}).value("version", 0U);
  }
  // Returns the status of one summary request, 0 without an answer.
  int status(const std::string& vm, const std::string& secret) const {
    const auto answer =
        system.call(vm, citronwharf::test::summary_request(secret, "p", 2));
    return answer.ok() ? answer->status : 0;
  }
  // Whether the process says that its configuration is fresh.
  bool fresh(const std::string& vm) const {
    citronwharf::http_call_options options;
    options.address = system.address(vm, "admin");
    const auto page =
        citronwharf::fetch_blocking(options, {"GET", "/metrics", {}, "", ""});
    return page.ok() && page->body.find("citronwharf_configuration_fresh 1") !=
                            std::string::npos;
  }
  // A partial document that sets the weight, as a file.
  std::string weight_file(const std::string& name, double weight) const {
    const json document = {
        {"organisations", {{{"name", "importers"}, {"weight", weight}}}}};
    return system.folder().write(name, document.dump());
  }
  // Applies a weight on top of the version; returns the exit code.
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

  deployment system;
  std::string key;
};

}  // namespace

BOOST_AUTO_TEST_CASE(operators_and_lost_answers) {
  running_system running;
  const std::uint64_t base = running.version();

  // One after the other under equal numbers: the loser learns by whom.
  BOOST_TEST(running.apply_weight(base, 3, "winner").code == 0);
  const command_result lost = running.apply_weight(base, 4, "loser");
  BOOST_TEST(lost.code == 4);
  BOOST_TEST(json::parse(lost.output).at("winner_operation") == "winner");

  // The leader dies; the resend gets the first answer from the next one.
  const std::string first_leader = running.leader();
  BOOST_REQUIRE(!first_leader.empty());
  running.system.process(first_leader).kill();
  BOOST_TEST(running.apply_weight(base + 1, 5, "after").code == 0);
  const command_result resent = running.apply_weight(base, 3, "winner");
  BOOST_TEST(resent.code == 0, resent.output);
  BOOST_TEST(json::parse(resent.output).at("version") == base + 1);
  BOOST_TEST(running.version() == base + 2);

  // A process that comes back after 500 changes serves the newest version.
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

BOOST_AUTO_TEST_CASE(withdrawn_keys_stop_within_the_bound) {
  running_system running;
  const std::string second = running.system.create_key("k2", "importers");
  BOOST_REQUIRE(wait_until([&] {
    return running.status("vm-1", second) == 200 &&
           running.status("vm-2", second) == 200 &&
           running.status("vm-3", second) == 200;
  }));

  // vm-3 is frozen while the key is withdrawn, and thawed past the bound.
  const std::string frozen = running.leader() == "vm-3" ? "vm-2" : "vm-3";
  running.system.process(frozen).send_signal(SIGSTOP);
  BOOST_REQUIRE(running.system.tool({"key", "withdraw", "k2"}).code == 0);
  const auto answered = std::chrono::steady_clock::now();
  for (const std::string& vm : running.system.vms()) {
    if (vm != frozen) {
      BOOST_TEST(
          wait_until([&] { return running.status(vm, second) == 401; }, bound));
    }
  }
  std::this_thread::sleep_until(answered + bound);
  running.system.process(frozen).send_signal(SIGCONT);
  // Its first answer after the thaw is a refusal already.
  const int first = running.status(frozen, second);
  BOOST_TEST(first != 200);
  BOOST_TEST(first != 0);
  BOOST_TEST(
      wait_until([&] { return running.status(frozen, running.key) == 200; }));
  BOOST_TEST(running.status(frozen, second) == 401);

  // Without a majority, keyed routes are refused within the bound.
  BOOST_TEST(running.fresh("vm-1"));
  running.system.process("vm-2").kill();
  running.system.process("vm-3").kill();
  BOOST_TEST(wait_until([&] { return !running.fresh("vm-1"); }, bound));
  BOOST_TEST(running.status("vm-1", running.key) == 503);
  BOOST_TEST(
      running.system.tool({"--timeout=1", "key", "withdraw", "k1"}).code == 5);
}
