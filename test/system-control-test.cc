// Tests the control replicas of a complete deployment when VMs crash, freeze or
// lose their disks.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <thread>

#include "deployment.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

// Limit from the operator's response until every process applies the change.
constexpr std::chrono::seconds propagation_limit{5};

int call_status(const running_system& running, const std::string& vm,
                const std::string& key) {
  const auto answer =
      running.system.call(vm, summary_request(key, "status?", 1));
  return answer.ok() ? answer->status : 0;
}

std::string leader_of(const deployment& system) {
  const auto result = system.tool({"--json", "status"});
  BOOST_REQUIRE_MESSAGE(result.code == 0 || !result.output.empty(),
                        result.output);
  const std::string text = result.output;
  for (const std::string& vm : system.vms()) {
    if (text.find("\"leader\":\"" + vm + "\"") != std::string::npos ||
        text.find("\"leader\": \"" + vm + "\"") != std::string::npos) {
      return vm;
    }
  }
  BOOST_FAIL("no leader in " + text);
  return "";
}

// Returns a gauge of a process, 0 if the process does not answer.
std::uint64_t gauge_at(const deployment& system, const std::string& process,
                       const std::string& gauge) {
  http_call_options options;
  options.address = system.address(process, "admin");
  const auto page = fetch_blocking(options, {"GET", "/metrics", {}, "", ""});
  if (!page.ok()) {
    return 0;
  }
  const std::string name = "\n" + gauge + " ";
  const auto at = page->body.find(name);
  return at == std::string::npos
             ? 0
             : std::stoull(page->body.substr(at + name.size()));
}

std::uint64_t version_at(const deployment& system, const std::string& process) {
  return gauge_at(system, process, "citronwharf_configuration_version");
}

bool change_weight(const deployment& system, double weight) {
  const std::string path = system.folder().write(
      "weight.json",
      nlohmann::json{
          {"organisations",
           {{{"name", "importers"},
             {"weight", weight},
             {"limit",
              {{"tokens_per_second", 2000}, {"burst_tokens", 20000}}}}}}}
          .dump());
  const auto result = system.tool({"--json", "show"});
  const auto document = nlohmann::json::parse(result.output, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  const auto version = document.value("version", 0);
  return system
             .tool({"apply", path, "--partial",
                    fmt::format("--base={}", version)})
             .code == 0;
}

const std::vector<std::string> endpoint_names{
    "prefill-1", "prefill-2", "decode-1", "decode-2", "price-1"};

}  // namespace

BOOST_AUTO_TEST_CASE(change_reaches_every_process_within_limit) {
  running_system running;
  deployment& system = running.system;
  std::vector<std::string> all = system.vms();
  all.insert(all.end(), endpoint_names.begin(), endpoint_names.end());
  for (int change = 0; change < 3; ++change) {
    BOOST_REQUIRE(change_weight(system, 2.0 + change));
    const std::string leader = leader_of(system);
    BOOST_TEST(gauge_at(system, leader, "citronwharf_log_leads") == 1U);
    BOOST_TEST(gauge_at(system, leader, "citronwharf_log_commit_index") > 0U);
    const std::uint64_t version = version_at(system, leader);
    for (const std::string& process : all) {
      BOOST_TEST(
          wait_until([&] { return version_at(system, process) >= version; },
                     propagation_limit),
          process);
    }
  }
}

BOOST_AUTO_TEST_CASE(withdrawn_key_is_rejected_despite_frozen_vm) {
  running_system running;
  deployment& system = running.system;
  const std::string leader = leader_of(system);
  const std::string frozen = leader == "vm-1" ? "vm-2" : "vm-1";
  BOOST_TEST(call_status(running, frozen, running.key) == 200);
  system.process(frozen).send_signal(SIGSTOP);
  BOOST_REQUIRE(system.tool({"key", "withdraw", "k1"}).code == 0);
  for (const std::string& vm : system.vms()) {
    if (vm != frozen) {
      BOOST_TEST(
          wait_until(
              [&] { return call_status(running, vm, running.key) == 401; },
              propagation_limit),
          vm);
    }
  }
  // After it resumes, it must not accept the key from its stale configuration.
  std::this_thread::sleep_for(propagation_limit);
  system.process(frozen).send_signal(SIGCONT);
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(call_status(running, frozen, running.key) != 200);
  }
}

BOOST_AUTO_TEST_CASE(changes_continue_without_leader_vm_and_never_revert) {
  running_system running;
  deployment& system = running.system;
  // A frozen leader is replaced, and follows the new leader when it resumes.
  const std::string frozen = leader_of(system);
  const std::uint64_t before = version_at(system, frozen);
  system.process(frozen).send_signal(SIGSTOP);
  BOOST_REQUIRE(wait_until([&] { return change_weight(system, 5); }));
  system.process(frozen).send_signal(SIGCONT);
  std::uint64_t highest = before;
  BOOST_TEST(wait_until([&] {
    const std::uint64_t now = version_at(system, frozen);
    BOOST_TEST((now == 0 || now >= highest));
    highest = std::max(highest, now);
    return now > before;
  }));
  BOOST_TEST(system.tool({"show"}).output.find('5') != std::string::npos);
}

BOOST_AUTO_TEST_CASE(replaced_replica_tolerates_loss_of_second_vm) {
  running_system running;
  deployment& system = running.system;
  BOOST_REQUIRE(change_weight(system, 3));
  const std::uint64_t version = version_at(system, leader_of(system));

  // vm-3 loses its disk and restarts as a new replica without a vote.
  system.process("vm-3").kill();
  const auto replica_list = nlohmann::json::parse(
      system.tool({"--json", "replica", "list"}).output, nullptr, false);
  BOOST_REQUIRE(!replica_list.is_discarded());
  std::string lost_replica_id;
  const auto& members =
      replica_list.is_array() ? replica_list : replica_list.at("members");
  for (const auto& member : members) {
    if (member.at("process") == "vm-3") {
      lost_replica_id = member.at("id");
    }
  }
  BOOST_REQUIRE(!lost_replica_id.empty());
  std::filesystem::remove_all(system.folder().path() + "/vm-3.data");
  system.restart("vm-3");
  const auto removed = system.tool({"replica", "remove", lost_replica_id});
  BOOST_REQUIRE_MESSAGE(removed.code == 0, removed.output);
  const auto added =
      system.tool({"replica", "add", "vm-3", system.address("vm-3", "peers")});
  BOOST_REQUIRE_MESSAGE(added.code == 0, added.output);

  // Immediately after the repair a second VM loses its disk.
  system.process("vm-1").kill();
  std::filesystem::remove_all(system.folder().path() + "/vm-1.data");
  BOOST_TEST(wait_until([&] { return change_weight(system, 4); }));
  BOOST_TEST(version_at(system, "vm-2") > version);
  BOOST_TEST(wait_until([&] { return version_at(system, "vm-3") > version; },
                        propagation_limit));
  BOOST_TEST(call_status(running, "vm-3", running.key) == 200);
}
