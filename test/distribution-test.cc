// Tests configuration distribution over real sessions: deltas, snapshots,
// freshness leases and monotonic versions.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "configuration-samples.h"
#include "control-node.h"
#include "run-until.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

json first_command() {
  json command = apply_command("first", 0, good_document());
  command["kind"] = configuration_command::kind;
  return command;
}

// Three replicas and a process that polls them.
struct group_fixture {
  group_fixture() {
    make_group(nodes);
    commit_everywhere(first_command());
    watch(*follower);
    follower->follow();
  }

  void commit_everywhere(const json& command) {
    for (control_node* node : nodes) {
      node->commit(command);
    }
  }
  void change_everywhere(int times) {
    for (int n = 0; n < times; ++n) {
      const std::uint64_t version = a.machine.current().version;
      commit_everywhere(
          weight_command(version, static_cast<double>(version) + 1.0));
    }
  }
  // Checks that the versions installed by the process increase.
  void watch(process_node& process) {
    process.view().subscribe([this](const configuration& new_configuration) {
      versions_increase =
          versions_increase && new_configuration.version > last_version;
      last_version = new_configuration.version;
    });
  }
  bool reaches(std::uint64_t version) {
    return run_until(loop, [&] { return follower->version() == version; });
  }
  bool becomes_fresh() {
    return run_until(loop, [&] { return follower->fresh(); });
  }

  boost::asio::io_context loop;
  control_node a{loop, "a"};
  control_node b{loop, "b"};
  control_node c{loop, "c"};
  std::vector<control_node*> nodes{&a, &b, &c};
  // Only a's address is configured; a's replies name the other replicas.
  std::unique_ptr<process_node> follower = std::make_unique<process_node>(
      loop, "e1", std::vector<std::string>{a.process.address()});
  bool versions_increase = true;
  std::uint64_t last_version = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(process_receives_deltas_and_snapshots) {
  group_fixture group;
  BOOST_TEST(!group.follower->fresh());
  BOOST_REQUIRE(group.becomes_fresh());
  BOOST_TEST(group.follower->version() == 1U);
  // 1 and 150 changes are sent as deltas, 500 as a snapshot.
  for (const int changes : {1, 150, 500}) {
    group.change_everywhere(changes);
    const std::uint64_t version = group.a.machine.current().version;
    BOOST_REQUIRE(group.reaches(version));
    BOOST_TEST(
        (*group.follower->view().current() == group.a.machine.current()));
  }
  BOOST_TEST(group.versions_increase);
}

BOOST_AUTO_TEST_CASE(restarted_process_catches_up_after_500_changes) {
  group_fixture group;
  BOOST_REQUIRE(group.becomes_fresh());
  group.follower.reset();
  group.change_everywhere(500);
  group.follower = std::make_unique<process_node>(
      group.loop, "e1", std::vector<std::string>{group.b.process.address()});
  group.last_version = 0;
  group.watch(*group.follower);
  group.follower->follow();
  // The process must not be fresh before it gets a current version.
  BOOST_TEST(!group.follower->fresh());
  BOOST_REQUIRE(group.becomes_fresh());
  BOOST_TEST(group.follower->version() == 501U);
}

BOOST_AUTO_TEST_CASE(large_configuration_is_sent_in_parts) {
  group_fixture group;
  BOOST_REQUIRE(group.becomes_fresh());
  json organisations = json::array();
  for (int n = 0; n < 14'000; ++n) {
    organisations.push_back(
        {{"name", fmt::format("organisation-{}", n)},
         {"limit", {{"tokens_per_second", 10}, {"burst_tokens", 100}}}});
  }
  json command =
      apply_command("many", 1, {{"organisations", organisations}}, true);
  command["kind"] = configuration_command::kind;
  group.commit_everywhere(command);
  group.change_everywhere(300);
  BOOST_REQUIRE(group.reaches(302));
  BOOST_TEST((*group.follower->view().current() == group.a.machine.current()));
}

BOOST_AUTO_TEST_CASE(lagging_replica_does_not_revert_process) {
  group_fixture group;
  BOOST_REQUIRE(group.becomes_fresh());
  // Only a majority commits the changes; c lags but keeps answering polls.
  for (int n = 0; n < 5; ++n) {
    const std::uint64_t version = group.a.machine.current().version;
    group.a.commit(weight_command(version, n + 7.0));
    group.b.commit(weight_command(version, n + 7.0));
    BOOST_REQUIRE(group.reaches(version + 1));
  }
  BOOST_REQUIRE(group.becomes_fresh());
  BOOST_TEST(group.versions_increase);
}

BOOST_AUTO_TEST_CASE(late_replies_do_not_revert_process) {
  group_fixture group;
  group.change_everywhere(2);
  BOOST_REQUIRE(group.reaches(3));
  configuration stale = group.a.machine.current();
  stale.version = 2;
  const std::vector<frame> late{
      make_frame(config_snapshot_part{2, 0, 1, json(stale).dump()}),
      make_frame(config_changes{1, {weight_document(2)}})};
  for (const frame& each : late) {
    BOOST_TEST(group.a.process.context().peers.send("e1", each).ok());
  }
  // Replies to later polls arrive after these frames on the same session.
  for (int rounds = 0; rounds < 2; ++rounds) {
    const time_point until = group.follower->view().fresh_until();
    BOOST_TEST(run_until(group.loop, [&] {
      return group.follower->view().fresh_until() > until;
    }));
  }
  BOOST_TEST(group.follower->version() == 3U);
  BOOST_TEST(group.versions_increase);
}

BOOST_AUTO_TEST_CASE(lost_quorum_or_newer_version_ends_freshness) {
  struct fault_case {
    const char* name;
    std::function<void(group_fixture&)> fault;
    bool fresh_afterwards;
  };
  const std::vector<fault_case> cases{
      {"the process is cut off",
       [](group_fixture& group) { group.follower->close_sessions(); }, false},
      {"two of three replicas are gone",
       [](group_fixture& group) {
         group.b.process.close_sessions();
         group.c.process.close_sessions();
       },
       false},
      {"one of three replicas is gone",
       [](group_fixture& group) { group.c.process.close_sessions(); }, true},
      // E.g. a key withdrawal that the reachable replicas have in their logs
      // but have not applied.
      {"a majority synced a newer version",
       [](group_fixture& group) {
         group.a.log.sync(weight_command(1, 9));
         group.b.log.sync(weight_command(1, 9));
       },
       false},
      {"a minority synced a newer version",
       [](group_fixture& group) { group.a.log.sync(weight_command(1, 9)); },
       true},
      // A majority committed the change. The process reaches only one of its
      // replicas, and that one has not applied the change.
      {"the only reachable replica of the majority synced a newer version",
       [](group_fixture& group) {
         group.a.log.sync(weight_command(1, 9));
         group.b.process.close_sessions();
       },
       false}};
  for (const fault_case& each : cases) {
    BOOST_TEST_CONTEXT(each.name) {
      group_fixture group;
      BOOST_REQUIRE(group.becomes_fresh());
      each.fault(group);
      const time_point begin = runtime_clock::now();
      // Freshness must end within 5 s.
      const bool ended =
          run_until(group.loop,
                    [&] {
                      return !group.follower->fresh() ||
                             runtime_clock::now() > begin + seconds(5);
                    }) &&
          !group.follower->fresh();
      BOOST_TEST(ended != each.fresh_afterwards);
    }
  }
}

BOOST_AUTO_TEST_CASE(commands_of_other_kinds_keep_freshness) {
  group_fixture group;
  BOOST_REQUIRE(group.becomes_fresh());
  for (control_node* node : group.nodes) {
    node->log.sync({{"kind", "claims"}});
  }
  const time_point begin = runtime_clock::now();
  BOOST_TEST(run_until(group.loop, [&] {
    return group.follower->view().fresh_until() > begin + seconds(4);
  }));
}
