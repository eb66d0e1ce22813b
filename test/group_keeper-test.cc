// Membership of the document group (creation, joining, replacement) and the
// state machine of the document.
#include <boost/test/unit_test.hpp>

#include "control/document_machine.h"
#include "control/group_manager.h"

namespace citronwharf {
namespace {

const time_point start{seconds(1000)};

group_manager_options make_options(const std::string& process,
                                   const std::string& address) {
  group_manager_options out;
  out.process = process;
  out.address = address;
  out.seeds = {"10.0.0.2:7600", "10.0.0.1:7600", "10.0.0.3:7600"};
  out.first_start = true;
  out.tolerated_losses = 1;
  return out;
}

group_state make_leader_state(std::vector<replica_member> members) {
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

replica_member learner(const std::string& id, const std::string& process,
                       const std::string& replaces) {
  return {id, process, process + ":7600", false, replaces};
}

template <typename Step>
const Step* step_as(const std::optional<group_step>& step) {
  return step ? std::get_if<Step>(&*step) : nullptr;
}

}  // namespace

BOOST_AUTO_TEST_CASE(only_one_seed_creates_the_group) {
  group_state outside;
  outside.has_disk = true;
  group_manager first(make_options("vm1", "10.0.0.1:7600"));
  BOOST_TEST(step_as<create_group_step>(first.next_step(outside, start)) !=
             nullptr);
  group_manager second(make_options("vm2", "10.0.0.2:7600"));
  BOOST_TEST(!second.next_step(outside, start).has_value());
  // A process that loses its disk later creates no group.
  group_manager_options wiped = make_options("vm1", "10.0.0.1:7600");
  wiped.first_start = false;
  BOOST_TEST(!group_manager(wiped).next_step(outside, start).has_value());
  group_state diskless;
  BOOST_TEST(!first.next_step(diskless, start).has_value());
}

BOOST_AUTO_TEST_CASE(replica_outside_the_group_asks_the_leader_to_join) {
  group_manager manager(make_options("vm2", "10.0.0.2:7600"));
  group_state outside;
  outside.has_disk = true;
  outside.leader = "vm1";
  outside.members = {voter("r1", "vm1")};
  const auto step = manager.next_step(outside, start);
  BOOST_REQUIRE(step_as<request_join_step>(step) != nullptr);
  BOOST_TEST(step_as<request_join_step>(step)->leader == "vm1");
}

BOOST_AUTO_TEST_CASE(group_needs_voters_in_enough_distinct_processes) {
  group_manager manager(make_options("vm1", "10.0.0.1:7600"));
  BOOST_TEST(
      !manager.has_enough_voters(make_leader_state({voter("r1", "vm1")})));
  // Two replicas of one process, before and after a disk loss, count once.
  BOOST_TEST(!manager.has_enough_voters(make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r2b", "vm2")})));
  BOOST_TEST(manager.has_enough_voters(make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")})));
}

BOOST_AUTO_TEST_CASE(full_group_admits_only_replacements) {
  group_manager manager(make_options("vm1", "10.0.0.1:7600"));
  const group_state full = make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  manager.session_up("vm2");
  manager.session_up("vm3");
  manager.add_candidate("vm4", "10.0.0.4:7600", "", start);
  BOOST_TEST(!manager.next_step(full, start).has_value());
  // vm2 restarts with an empty disk.
  manager.add_candidate("vm2", "10.0.0.2:7600", "", start);
  auto step = manager.next_step(full, start);
  BOOST_REQUIRE(step_as<add_member_step>(step) != nullptr);
  BOOST_TEST(step_as<add_member_step>(step)->member.process == "vm2");
  BOOST_TEST(step_as<add_member_step>(step)->member.replaces == "r2");
  // Only one membership change at a time.
  group_state changing_group = full;
  changing_group.members.push_back(learner("r2b", "vm2", "r2"));
  manager.add_candidate("vm3", "10.0.0.3:7600", "r3b", start);
  BOOST_TEST(!manager.next_step(changing_group, start).has_value());
  changing_group.members.back().voter = true;
  BOOST_TEST(!manager.next_step(changing_group, start).has_value());
}

// Guards against a learner that is gone while it joins, and holds up all
// others.
BOOST_AUTO_TEST_CASE(learner_that_does_not_answer_gives_way_to_the_next_one) {
  group_manager manager(make_options("vm1", "10.0.0.1:7600"));
  group_state joining =
      make_leader_state({voter("r1", "vm1"), voter("r2", "vm2"),
                         voter("r3", "vm3"), learner("r4", "vm4", "r3")});
  for (const char* process : {"vm2", "vm4", "vm5"}) {
    manager.session_up(process);
  }
  manager.session_lost("vm3", start, start);
  const time_point late = start + seconds(3);
  joining.silent = {"r3", "r4"};
  // Nobody else asks.
  BOOST_TEST(!manager.next_step(joining, late).has_value());
  manager.add_candidate("vm5", "10.0.0.5:7600", "r5", late);
  const auto removed = manager.next_step(joining, late);
  BOOST_REQUIRE(step_as<remove_member_step>(removed) != nullptr);
  BOOST_TEST(step_as<remove_member_step>(removed)->replica == "r4");
  // A learner that answers is given the time that it takes.
  joining.silent = {"r3"};
  BOOST_TEST(!manager.next_step(joining, late).has_value());
  joining.members.pop_back();
  const auto added = manager.next_step(joining, late);
  BOOST_REQUIRE(step_as<add_member_step>(added) != nullptr);
  BOOST_TEST((step_as<add_member_step>(added)->member ==
              replica_member{"r5", "vm5", "10.0.0.5:7600", false, "r3"}));
}

// Guards against a process that asked, and was lost, being admitted before one
// that is up.
BOOST_AUTO_TEST_CASE(process_that_asked_last_is_admitted_first) {
  group_manager manager(make_options("vm1", "10.0.0.1:7600"));
  const group_state full = make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  manager.session_up("vm2");
  manager.session_lost("vm3", start, start);
  const time_point late = start + seconds(3);
  manager.add_candidate("vm4", "10.0.0.4:7600", "r4", late - seconds(1));
  manager.add_candidate("vm5", "10.0.0.5:7600", "r5", late);
  manager.add_candidate("vm6", "10.0.0.6:7600", "r6", late - seconds(1));
  manager.add_candidate("vm7", "10.0.0.7:7600", "r7", late);
  // Its session is lost, so it can't be up.
  manager.session_lost("vm7", late, late);
  const auto added = manager.next_step(full, late);
  BOOST_REQUIRE(step_as<add_member_step>(added) != nullptr);
  BOOST_TEST(step_as<add_member_step>(added)->member.process == "vm5");
}

// A member that is lost has no vote to give, one that leaves still has.
BOOST_AUTO_TEST_CASE(
    seat_of_a_lost_member_is_taken_before_that_of_a_leaving_one) {
  group_manager manager(make_options("vm1", "10.0.0.1:7600"));
  group_state joining = make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  for (const char* process : {"vm2", "vm3", "vm4"}) {
    manager.session_up(process);
  }
  manager.add_leaving("r2", start);
  manager.add_candidate("vm4", "10.0.0.4:7600", "r4", start);
  auto added = manager.next_step(joining, start);
  BOOST_REQUIRE(step_as<add_member_step>(added) != nullptr);
  BOOST_TEST(step_as<add_member_step>(added)->member.replaces == "r2");
  joining.members.push_back(step_as<add_member_step>(added)->member);
  BOOST_TEST(!manager.next_step(joining, start).has_value());
  // Another member is lost before the learner is a voter.
  manager.session_lost("vm3", start, start);
  const time_point late = start + seconds(3);
  manager.add_leaving("r2", late);
  added = manager.next_step(joining, late);
  BOOST_REQUIRE(step_as<add_member_step>(added) != nullptr);
  BOOST_TEST((step_as<add_member_step>(added)->member ==
              replica_member{"r4", "vm4", "10.0.0.4:7600", false, "r3"}));
}

BOOST_AUTO_TEST_CASE(lost_member_is_replaced_then_removed) {
  group_manager manager(make_options("vm1", "10.0.0.1:7600"));
  const group_state full = make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  manager.session_up("vm2");
  manager.session_up("vm3");
  manager.session_lost("vm3", start, start + seconds(2));
  const time_point soon = start + milliseconds(2400);
  manager.add_candidate("vm4", "10.0.0.4:7600", "", soon);
  BOOST_TEST(!manager.next_step(full, soon).has_value());
  const time_point late = start + seconds(7);
  // Without a replacement the member stays.
  BOOST_TEST(!manager.next_step(full, late).has_value());
  manager.add_candidate("vm4", "10.0.0.4:7600", "r4", late);
  const auto added = manager.next_step(full, late);
  BOOST_REQUIRE(step_as<add_member_step>(added) != nullptr);
  BOOST_TEST((step_as<add_member_step>(added)->member ==
              replica_member{"r4", "vm4", "10.0.0.4:7600", false, "r3"}));
  // A leader of an earlier version has added it without an exchange of seats.
  group_state four = full;
  four.members.push_back(voter("r4", "vm4"));
  manager.session_up("vm4");
  const auto removed = manager.next_step(four, late);
  BOOST_REQUIRE(step_as<remove_member_step>(removed) != nullptr);
  BOOST_TEST(step_as<remove_member_step>(removed)->replica == "r3");
}

// A process that stalled finds all its sessions silent at once.
BOOST_AUTO_TEST_CASE(member_whose_session_comes_back_is_not_replaced) {
  group_manager manager(make_options("vm1", "10.0.0.1:7600"));
  const group_state full = make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  const time_point stall_end = start + seconds(10);
  for (const char* process : {"vm2", "vm3"}) {
    manager.session_up(process);
    manager.session_lost(process, start, stall_end);
  }
  const time_point soon = stall_end + milliseconds(200);
  manager.add_candidate("vm4", "10.0.0.4:7600", "r4", soon);
  BOOST_TEST(!manager.next_step(full, soon).has_value());
  manager.session_up("vm2");
  manager.session_up("vm3");
  const time_point later = stall_end + milliseconds(400);
  BOOST_TEST(!manager.next_step(full, later).has_value());
}

// Guards against a leader that started after a member was lost, and counts the
// loss only from when it leads.
BOOST_AUTO_TEST_CASE(follower_records_members_that_it_has_no_session_to) {
  group_manager manager(make_options("vm4", "10.0.0.4:7600"));
  group_state state =
      make_leader_state({voter("r1", "vm1"), voter("r2", "vm2"),
                         voter("r3", "vm3"), learner("r4", "vm4", "r3")});
  state.leads = false;
  state.replica = "r4";
  manager.session_up("vm1");
  manager.session_up("vm2");
  BOOST_TEST(!manager.next_step(state, start).has_value());
  state.leads = true;
  state.members = {voter("r1", "vm1"), voter("r3", "vm3"), voter("r4", "vm4")};
  const time_point late = start + seconds(3);
  manager.add_candidate("vm5", "10.0.0.5:7600", "r5", late);
  const auto added = manager.next_step(state, late);
  BOOST_REQUIRE(step_as<add_member_step>(added) != nullptr);
  BOOST_TEST(step_as<add_member_step>(added)->member.replaces == "r3");
}

// Where the repair time is longer, a member has longer to come back.
BOOST_AUTO_TEST_CASE(repair_time_decides_when_a_member_is_replaced) {
  group_manager_options options = make_options("vm1", "10.0.0.1:7600");
  options.repair_time = seconds(6);
  group_manager manager(options);
  const group_state full = make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  manager.session_up("vm2");
  manager.session_up("vm3");
  manager.session_lost("vm3", start, start + seconds(2));
  const time_point before = start + milliseconds(4400);
  manager.add_candidate("vm4", "10.0.0.4:7600", "r4", before);
  BOOST_TEST(!manager.next_step(full, before).has_value());
  const auto added = manager.next_step(full, before + milliseconds(100));
  BOOST_TEST(step_as<add_member_step>(added) != nullptr);
}

BOOST_AUTO_TEST_CASE(member_that_is_stopped_hands_over_its_seat) {
  group_manager leader(make_options("vm1", "10.0.0.1:7600"));
  const group_state full = make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  leader.session_up("vm2");
  leader.session_up("vm3");
  leader.add_leaving("r3", start);
  // Nobody takes the seat.
  BOOST_TEST(!leader.next_step(full, start).has_value());
  leader.add_candidate("vm4", "10.0.0.4:7600", "r4", start);
  const auto added = leader.next_step(full, start);
  BOOST_REQUIRE(step_as<add_member_step>(added) != nullptr);
  group_state four = full;
  four.members.push_back(voter("r4", "vm4"));
  leader.session_up("vm4");
  const auto removed = leader.next_step(four, start);
  BOOST_REQUIRE(step_as<remove_member_step>(removed) != nullptr);
  BOOST_TEST(step_as<remove_member_step>(removed)->replica == "r3");
  // The leader itself may be stopped, too.
  leader.leave();
  leader.add_candidate("vm4", "10.0.0.4:7600", "r4", start + seconds(3));
  const auto again = leader.next_step(full, start + seconds(3));
  BOOST_TEST(step_as<add_member_step>(again) != nullptr);
}

BOOST_AUTO_TEST_CASE(member_that_is_stopped_tells_the_leader) {
  group_manager member(make_options("vm3", "10.0.0.3:7600"));
  group_state state = make_leader_state(
      {voter("r1", "vm1"), voter("r2", "vm2"), voter("r3", "vm3")});
  state.leads = false;
  state.replica = "r3";
  BOOST_TEST(!member.next_step(state, start).has_value());
  member.leave();
  const auto step = member.next_step(state, start);
  BOOST_REQUIRE(step_as<announce_leave_step>(step) != nullptr);
  BOOST_TEST(step_as<announce_leave_step>(step)->leader == "vm1");
  // Outside the group, it asks for no seat any more.
  state.members.pop_back();
  BOOST_TEST(!member.next_step(state, start).has_value());
}

BOOST_AUTO_TEST_CASE(
    highest_version_is_kept_and_each_publication_increments_the_revision) {
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
