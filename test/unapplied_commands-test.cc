// The upper bound on changes in progress that a replica reports to polls.
#include "control/unapplied_commands.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

log_entry command_at(std::uint64_t index, const std::string& kind) {
  log_entry entry{index, 1, log_entry_kind::command, {}};
  nlohmann::json::to_cbor(nlohmann::json{{"kind", kind}}, entry.data.bytes);
  return entry;
}

replicated_log log_of(restored_log restored) {
  restored.state = {"group", 1, ""};
  replicated_log_options options;
  options.id = "r1";
  return {options, std::mt19937_64(1), std::move(restored), time_point{}};
}

}  // namespace

BOOST_AUTO_TEST_CASE(commands_behind_the_machines_are_counted_by_kind) {
  const replicated_log log = log_of({{},
                                     {},
                                     {command_at(1, "config"),
                                      command_at(2, "claims"),
                                      {3, 1, log_entry_kind::noop, {}},
                                      command_at(4, "config")}});
  struct count_case {
    std::uint64_t reached;
    std::uint64_t config;
    std::uint64_t claims;
  };
  unapplied_commands unapplied;
  for (const count_case& each : {count_case{0, 2, 1}, count_case{1, 1, 1},
                                 count_case{2, 1, 0}, count_case{4, 0, 0}}) {
    unapplied.machines_reached(each.reached);
    BOOST_TEST(unapplied.count(log, "config") == each.config);
    BOOST_TEST(unapplied.count(log, "claims") == each.claims);
  }
}

BOOST_AUTO_TEST_CASE(what_a_snapshot_covers_counts_until_it_is_restored) {
  const replicated_log log =
      log_of({{}, log_snapshot{10, 1, {}, {}}, {command_at(11, "claims")}});
  BOOST_TEST(log.applied_index() == 10U);
  unapplied_commands unapplied;
  BOOST_TEST(unapplied.count(log, "config") == 10U);
  unapplied.machines_reached(10);
  BOOST_TEST(unapplied.count(log, "config") == 0U);
}
