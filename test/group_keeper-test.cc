// Who keeps the published document: founding, joining, replacing.
#include <boost/test/unit_test.hpp>

#include "control/document_machine.h"
#include "control/group_manager.h"

namespace citronwharf {
namespace {

const time_point start{seconds(1000)};

group_manager_options options_of(const std::string& process,
                                 const std::string& address) {
  group_manager_options out;
  out.process = process;
  out.address = address;
  out.seeds = {"10.0.0.2:7600", "10.0.0.1:7600", "10.0.0.3:7600"};
  out.first_start = true;
  out.tolerated_losses = 1;
  return out;
}

group_state leading(std::vector<replica_member> members) {
  group_state out;
  out.has_disk = true;
  out.replica = "r1";
  out.in_group = true;
  out.leads = true;
  out.leader = "vm1";
  out.members = std::move(members);
  return out;
}

replica_member voter(const std::string& id, const std::string& process) {
  return {id, process, process + ":7600", true};
}

template <typename Step>
const Step* as(const std::optional<group_step>& step) {
  return step ? std::get_if<Step>(&*step) : nullptr;
}

}  // namespace

BOOST_AUTO_TEST_CASE(one_seed_alone_founds_the_group) {
  group_state outside;
  outside.has_disk = true;
  group_manager first(options_of("vm1", "10.0.0.1:7600"));
  BOOST_TEST(as<make_group_step>(first.next(outside, start)) != nullptr);
  group_manager second(options_of("vm2", "10.0.0.2:7600"));
  BOOST_TEST(!second.next(outside, start).has_value());
  // A disk that was lost later founds nothing.
  group_manager_options wiped = options_of("vm1", "10.0.0.1:7600");
  wiped.first_start = false;
  BOOST_TEST(!group_manager(wiped).next(outside, start).has_value());
  group_state diskless;
  BOOST_TEST(!first.next(diskless, start).has_value());
}

BOOST_AUTO_TEST_CASE(a_replica_outside_asks_the_leader) {
  group_manager manager(options_of("vm2", "10.0.0.2:7600"));
  group_state outside;
  outside.has_disk = true;
  outside.leader = "vm1";
  outside.members = {voter("r1", "vm1")};
  const auto step = manager.next(outside, start);
  BOOST_REQUIRE(as<ask_to_join_step>(step) != nullptr);
  BOOST_TEST(as<ask_to_join_step>(step)->leader == "vm1");
}

BOOST_AUTO_TEST_CASE(nothing_is_acknowledged_by_too_few) {
  group_manager manager(options_of("vm1", "10.0.0.1:7600"));
  BOOST_TEST(!manager.complete(leading({voter("r1", "vm1")})));
  // A replica before and after the loss of its disk is one process.
  BOOST_TEST(!manager.complete(
      leading({voter("r1", "vm1"), voter("r2", "vm2"), voter("r2b", "vm2")})));
  BOOST_TEST(manager.complete(
      leading({voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")})));
}

BOOST_AUTO_TEST_CASE(a_full_group_takes_only_replacements) {
  group_manager manager(options_of("vm1", "10.0.0.1:7600"));
  const group_state full =
      leading({voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  manager.session("vm2", true, start);
  manager.session("vm3", true, start);
  manager.wants_to_join("vm4", "10.0.0.4:7600", "", start);
  BOOST_TEST(!manager.next(full, start).has_value());
  // vm2 comes back with an empty disk.
  manager.wants_to_join("vm2", "10.0.0.2:7600", "", start);
  auto step = manager.next(full, start);
  BOOST_REQUIRE(as<add_member_step>(step) != nullptr);
  BOOST_TEST(as<add_member_step>(step)->process == "vm2");
  // One change at a time.
  group_state changing = full;
  changing.changing = true;
  manager.wants_to_join("vm3", "10.0.0.3:7600", "", start);
  BOOST_TEST(!manager.next(changing, start).has_value());
}

BOOST_AUTO_TEST_CASE(a_member_that_is_gone_for_long_is_replaced_then_removed) {
  group_manager manager(options_of("vm1", "10.0.0.1:7600"));
  const group_state full =
      leading({voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  manager.session("vm2", true, start);
  manager.session("vm3", true, start);
  manager.session("vm3", false, start);
  const time_point soon = start + seconds(3);
  manager.wants_to_join("vm4", "10.0.0.4:7600", "", soon);
  BOOST_TEST(!manager.next(full, soon).has_value());
  const time_point late = start + seconds(7);
  // Without a replacement the member stays.
  BOOST_TEST(!manager.next(full, late).has_value());
  manager.wants_to_join("vm4", "10.0.0.4:7600", "", late);
  const auto added = manager.next(full, late);
  BOOST_REQUIRE(as<add_member_step>(added) != nullptr);
  BOOST_TEST(as<add_member_step>(added)->process == "vm4");
  group_state four = full;
  four.members.push_back(voter("r4", "vm4"));
  manager.session("vm4", true, late);
  const auto removed = manager.next(four, late);
  BOOST_REQUIRE(as<remove_member_step>(removed) != nullptr);
  BOOST_TEST(as<remove_member_step>(removed)->replica == "r3");
}

BOOST_AUTO_TEST_CASE(the_highest_version_wins_and_each_publication_counts) {
  document_machine machine;
  machine.apply(1, document_machine::make_command(5, "five"));
  const auto lower =
      machine.apply(2, document_machine::make_command(4, "four"));
  BOOST_TEST(!lower.at("taken").get<bool>());
  const auto same =
      machine.apply(3, document_machine::make_command(5, "other"));
  BOOST_TEST(!same.at("taken").get<bool>());
  BOOST_TEST(machine.current().text == "five");
  BOOST_TEST(machine.current().revision == 3U);
  document_machine restored;
  restored.restore(machine.snapshot());
  BOOST_TEST((restored.current() == machine.current()));
}

}  // namespace citronwharf
