// The replicated log in specific fault scenarios, under virtual time.
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "log_cluster.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
namespace data = boost::unit_test::data;

namespace log_test {

constexpr std::size_t members = 3;
constexpr duration silence = seconds(60);
constexpr duration bound = seconds(5);

struct group : log_cluster {
  explicit group(std::uint64_t seed = 1, std::size_t nodes = members)
      : log_cluster(seed, nodes) {
    start_group(members);
    first = *leader();
  }
  std::uint64_t term(std::size_t i) { return at(i).log->state().term; }
  std::size_t follower() const { return (first + 1) % members; }
  bool leads(std::size_t i) { return at(i).log->role() == log_role::leader; }

  std::size_t first;
};

}  // namespace log_test

using namespace log_test;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_CASE(a_group_is_made_once) {
  group of;
  const absl::Status again = of.at(0).log->make_group(of.now(), "other");
  BOOST_TEST((again.code() == absl::StatusCode::kFailedPrecondition));
  BOOST_TEST(of.at(0).log->members().size() == members);
  BOOST_TEST(of.make_progress(bound));
}

BOOST_AUTO_TEST_CASE(only_the_leader_takes_commands_and_names_it) {
  group of;
  const auto refused = of.at(of.follower()).log->propose(of.now(), "x");
  BOOST_TEST((refused.status().code() == absl::StatusCode::kUnavailable));
  BOOST_TEST(refused.status().ToString().find(of.at(of.first).process) !=
             std::string::npos);
  of.options.max_command_bytes = 1;
  const std::string large(of.at(of.first).log->last_index() + (4U << 20U), 'x');
  const auto too_large = of.at(of.first).log->propose(of.now(), large);
  BOOST_TEST((too_large.status().code() == absl::StatusCode::kInvalidArgument));
}

// Nothing is acknowledged before a majority has synced it.
BOOST_AUTO_TEST_CASE(no_acknowledgement_before_a_majority_has_synced) {
  group of;
  const std::uint64_t before = of.acknowledged();
  of.max_sync = seconds(3600);
  BOOST_TEST(of.propose(of.first));
  of.run_for(milliseconds(400));
  BOOST_TEST(of.acknowledged() == before);
}

BOOST_DATA_TEST_CASE(a_silent_follower_does_not_depose_the_leader,
                     data::xrange(1, 6), seed) {
  group of(static_cast<std::uint64_t>(seed));
  const std::uint64_t term = of.term(of.first);
  of.isolate(of.follower());
  of.run_for(silence);
  BOOST_TEST(of.make_progress(bound));
  of.heal();
  of.run_for(bound);
  BOOST_TEST(of.term(of.first) == term);
  BOOST_TEST(of.leads(of.first));
  of.check_convergence();
}

BOOST_DATA_TEST_CASE(a_silent_leader_steps_down_and_another_leads,
                     data::xrange(1, 6), seed) {
  group of(static_cast<std::uint64_t>(seed));
  of.isolate(of.first);
  // It accepts commands until it steps down; they are never acknowledged.
  BOOST_TEST(of.propose(of.first));
  const std::uint64_t before = of.acknowledged();
  BOOST_TEST(of.run_until([&] { return !of.leads(of.first); }, bound));
  BOOST_TEST(of.acknowledged() == before);
  BOOST_TEST(of.make_progress(bound));
  const std::uint64_t term = of.term(*of.leader());
  of.run_for(silence);
  of.heal();
  BOOST_TEST(of.make_progress(bound));
  BOOST_TEST(of.term(*of.leader()) == term);
  of.check_convergence();
}

// One-way cuts: a leader that can send but not receive, and the reverse.
BOOST_DATA_TEST_CASE(a_leader_cut_one_way_is_replaced_or_kept,
                     data::make({false, true}), hears_nobody) {
  group of;
  for (std::size_t other = 0; other < members; ++other) {
    if (other != of.first && hears_nobody) {
      of.cut(other, of.first, true);
    } else if (other != of.first) {
      of.cut(of.first, other, true);
    }
  }
  of.run_for(seconds(10));
  BOOST_TEST(of.make_progress(bound));
  BOOST_TEST(*of.leader() != of.first);
  of.heal();
  BOOST_TEST(of.make_progress(bound));
  of.check_convergence();
}

BOOST_AUTO_TEST_CASE(a_frozen_leader_wakes_as_a_follower) {
  group of;
  of.freeze(of.first, silence);
  BOOST_TEST(of.run_until(
      [&] { return of.leader() && *of.leader() != of.first; }, bound));
  BOOST_TEST(of.make_progress(bound));
  of.run_for(silence);
  BOOST_TEST(of.make_progress(bound));
  BOOST_TEST(!of.leads(of.first));
  of.check_convergence();
}

// The repair ends when the new replica holds all committed entries, so the
// group tolerates the loss of any other disk right after it.
BOOST_DATA_TEST_CASE(a_second_disk_is_lost_right_after_the_repair,
                     data::xrange(0, 9), pair) {
  const std::size_t lost = static_cast<std::size_t>(pair) / members;
  const std::size_t second = static_cast<std::size_t>(pair) % members;
  group of(static_cast<std::uint64_t>(pair) + 1);
  for (int i = 0; i < 40; ++i) {
    of.make_progress(bound);
  }
  of.lose_disk(lost);
  BOOST_TEST(of.run_until([&] { return of.join(lost); }, seconds(20)));
  of.lose_disk(second);
  BOOST_TEST(of.make_progress(bound));
  BOOST_TEST(of.run_until([&] { return of.join(second); }, seconds(20)));
  of.check_convergence();
}

// A VM that lost its disk has no vote, however long the others are down.
BOOST_AUTO_TEST_CASE(a_replica_without_its_disk_elects_nobody) {
  group of;
  const std::size_t left = of.follower();
  of.lose_disk(of.first);
  of.crash((of.first + 2) % members);
  of.run_for(silence);
  BOOST_TEST(!of.leader().has_value());
  BOOST_TEST(!of.leads(left));
  of.restart((of.first + 2) % members);
  BOOST_TEST(of.make_progress(bound));
}

BOOST_AUTO_TEST_CASE(members_change_one_at_a_time) {
  group of(1, 5);
  replicated_log& log = *of.at(of.first).log;
  const auto code = [](const absl::Status& status) { return status.code(); };
  BOOST_TEST(log.add_learner(of.now(), {"new", "vm-3", "", false}).ok());
  BOOST_TEST((code(log.remove_member(of.now(), of.at(of.follower()).id)) ==
              absl::StatusCode::kFailedPrecondition));
  of.run_for(seconds(1));
  // The id is not that of vm-3's replica, so it never catches up.
  BOOST_TEST((code(log.add_learner(of.now(), {"x", "vm-4", "", false})) ==
              absl::StatusCode::kFailedPrecondition));
  BOOST_TEST(!log.settled("new"));
  BOOST_TEST((code(log.add_learner(of.now(), {"new", "vm-3", "", false})) ==
              absl::StatusCode::kAlreadyExists));
  BOOST_TEST((code(log.remove_member(of.now(), "nobody")) ==
              absl::StatusCode::kNotFound));
  BOOST_TEST(of.run_until([&] { return of.join(3); }, bound));
  BOOST_TEST(log.members().size() == members + 1);
  // A new voter is settled while it holds all committed entries.
  BOOST_TEST(log.settled(of.at(3).id));
  of.isolate(3);
  BOOST_TEST(of.make_progress(bound));
  BOOST_TEST(!log.settled(of.at(3).id));
}

// Guards against a list of four voters two of which are lost: the member that
// is replaced, and the one that has just taken its seat.
BOOST_DATA_TEST_CASE(a_successor_lost_as_it_takes_a_seat_costs_no_majority,
                     data::make({false, true}), stays_up) {
  group of(1, 5);
  replicated_log& log = *of.at(of.first).log;
  const std::size_t replaced = of.follower();
  const std::string id = of.at(replaced).id;
  if (!stays_up) {
    of.crash(replaced);
  }
  const replica_member successor{of.at(3).id, "vm-3", "", false, id};
  BOOST_TEST(log.add_learner(of.now(), successor).ok());
  const auto votes = [&] {
    return std::any_of(log.members().begin(), log.members().end(),
                       [&](const replica_member& each) {
                         return each.voter && each.id == successor.id;
                       });
  };
  for (int step = 0; !votes() && step < 5000; ++step) {
    of.run_for(milliseconds(1));
  }
  BOOST_TEST(votes());
  BOOST_TEST(!log.removed(id));
  of.crash(3);
  of.crash(replaced);
  BOOST_TEST(of.make_progress(bound));
  BOOST_TEST(of.run_until([&] { return log.removed(id); }, bound));
  // The next one takes the seat of the one that was lost.
  BOOST_TEST(of.run_until([&] { return of.join(4, successor.id); }, bound));
  BOOST_TEST(log.members().size() == members);
  BOOST_TEST(log.removed(successor.id));
}

// The old voters can still elect another leader, so the leader and the new
// voter alone commit nothing.
BOOST_AUTO_TEST_CASE(a_seat_changes_hands_with_a_majority_of_the_old_voters) {
  group of(1, 4);
  replicated_log& log = *of.at(of.first).log;
  const std::size_t replaced = of.follower();
  const std::size_t other = members - of.first - replaced;
  of.cut(of.first, 3, false);
  BOOST_TEST(log.add_learner(of.now(), {of.at(3).id, "vm-3", "", false,
                                        of.at(replaced).id})
                 .ok());
  of.run_for(seconds(1));
  of.heal();
  for (const std::size_t old : {replaced, other}) {
    of.cut(old, of.first, false);
    of.cut(old, 3, false);
  }
  const std::uint64_t committed = log.commit_index();
  BOOST_TEST(of.run_until([&] { return log.members().back().voter; }, bound));
  of.propose(of.first);
  BOOST_TEST(of.run_until(
      [&] { return of.leader() && *of.leader() != of.first; }, bound));
  BOOST_TEST(log.commit_index() == committed);
  BOOST_TEST(of.make_progress(bound));
  of.heal();
  const std::string id = of.at(replaced).id;
  BOOST_TEST(of.run_until([&] { return of.join(3, id); }, bound));
  BOOST_TEST(of.make_progress(bound));
  of.check_convergence();
}

// Guards against a seat that is taken while another voter is lost, so that the
// group can't go on without the successor.
BOOST_AUTO_TEST_CASE(a_seat_is_taken_only_if_the_group_can_lose_the_successor) {
  group of(1, 4);
  replicated_log& log = *of.at(of.first).log;
  const std::size_t lost = of.follower();
  const std::size_t replaced = members - of.first - lost;
  of.crash(lost);
  of.run_for(seconds(1));
  const auto join = [&](std::size_t whose) {
    return log.add_learner(of.now(),
                           {of.at(3).id, "vm-3", "", false, of.at(whose).id});
  };
  BOOST_TEST(join(replaced).ok());
  of.run_for(seconds(5));
  BOOST_TEST(log.members().size() == members + 1);
  BOOST_TEST(!log.members().back().voter);
  // The seat of the lost voter needs no vote of the learner.
  BOOST_TEST(join(lost).ok());
  BOOST_TEST(of.run_until([&] { return log.removed(of.at(lost).id); }, bound));
  BOOST_TEST(log.members().size() == members);
  BOOST_TEST(of.make_progress(bound));
  BOOST_TEST(
      (log.add_learner(of.now(), {"x", "vm-x", "", false, "nobody"}).code() ==
       absl::StatusCode::kNotFound));
}

BOOST_AUTO_TEST_CASE(a_leader_removes_itself_and_another_leads) {
  group of;
  replicated_log& log = *of.at(of.first).log;
  BOOST_TEST(log.remove_member(of.now(), of.at(of.first).id).ok());
  BOOST_TEST(of.run_until([&] { return !of.leads(of.first); }, bound));
  BOOST_TEST(of.make_progress(bound));
  BOOST_TEST(*of.leader() != of.first);
  of.run_for(silence);
  BOOST_TEST(of.make_progress(bound));
}

BOOST_DATA_TEST_CASE(a_member_that_missed_500_changes_catches_up,
                     data::make({false, true}), compacted) {
  group of;
  const std::size_t behind = of.follower();
  of.crash(behind);
  for (int i = 0; i < 500; ++i) {
    BOOST_REQUIRE(of.make_progress(bound));
  }
  if (compacted) {
    of.snapshot(of.first);
    BOOST_TEST(of.at(of.first).log->first_index() > 400U);
  }
  of.restart(behind);
  of.check_convergence();
  BOOST_TEST((of.at(behind).log->snapshot_index() > 0U) == compacted);
}

// A follower cut off from the leader only does not depose it.
BOOST_DATA_TEST_CASE(a_follower_cut_from_the_leader_alone_is_refused,
                     data::make({false, true}), one_way) {
  group of;
  const std::uint64_t term = of.term(of.first);
  of.cut(of.first, of.follower(), one_way);
  of.run_for(silence);
  BOOST_TEST(of.term(of.first) == term);
  BOOST_TEST(of.leads(of.first));
  of.heal();
  of.check_convergence();
}

BOOST_AUTO_TEST_CASE(bad_networks_change_no_outcome) {
  const std::vector<network_faults> table{{0.2, 0, 0},
                                          {0, 1, 0},
                                          {0, 0, 0.3, seconds(2)},
                                          {0.1, 0.5, 0.2, seconds(1)}};
  for (const network_faults& faults : table) {
    BOOST_TEST_CONTEXT("drop " << faults.drop << " duplicate "
                               << faults.duplicate << " late " << faults.late) {
      group of;
      of.faults = faults;
      for (int i = 0; i < 100; ++i) {
        BOOST_REQUIRE(of.make_progress(seconds(30)));
      }
      of.faults = {};
      of.check_convergence();
    }
  }
}

// After a failed write a replica stays inactive until its process restarts.
BOOST_AUTO_TEST_CASE(a_replica_whose_disk_fails_acknowledges_nothing_more) {
  group of;
  of.at(of.first).disk->fault = [](const std::string&) {
    return absl::ResourceExhaustedError("disk full");
  };
  BOOST_TEST(of.propose(of.first));
  BOOST_TEST(of.run_until(
      [&] { return of.leader() && *of.leader() != of.first; }, bound));
  of.at(of.first).disk->fault = nullptr;
  BOOST_TEST(of.make_progress(bound));
  of.run_for(silence);
  BOOST_TEST((of.at(of.first).log->role() == log_role::failed));
  BOOST_TEST(of.at(of.first).log->fault().find("disk full") !=
             std::string::npos);
  of.crash(of.first);
  of.restart(of.first);
  of.check_convergence();
}

// Messages of another group or for a former replica have no effect.
BOOST_AUTO_TEST_CASE(messages_for_others_are_dropped) {
  group of;
  replicated_log& log = *of.at(of.follower()).log;
  const std::uint64_t term = log.state().term;
  const std::string id = of.at(of.follower()).id;
  for (const log_header& header : {log_header{"other", "x", id, term + 5},
                                   log_header{"group", "x", "old", term + 5},
                                   log_header{"", "x", id, term + 5}}) {
    log.receive(of.now(), "vm-0", append_request{header, 1, 0, 0, 9, {}});
    log.receive(of.now(), "vm-0", vote_request{header, false, 99, 99});
    BOOST_TEST(log.state().term == term);
  }
}

// All members restart at once: none has heard from a leader, and the first vote
// requests were lost.
BOOST_AUTO_TEST_CASE(a_restarted_group_elects_once_members_are_reachable) {
  citronwharf::replicated_log_options options;
  options.id = "r1";
  options.process = "vm1";
  citronwharf::restored_log restored;
  restored.state = {"group", 3, ""};
  restored.snapshot = citronwharf::log_snapshot{
      1,
      3,
      {{"r1", "vm1", "10.0.0.1:1", true}, {"r2", "vm2", "10.0.0.2:1", true}},
      {}};
  const citronwharf::time_point start{std::chrono::seconds(100)};
  citronwharf::replicated_log log(options, std::mt19937_64(1), restored, start);
  log.tick(start);
  log.take_actions(start);
  log.peer_reachable(start, "stranger");
  BOOST_TEST((log.next_deadline() > start + options.first_election_max));
  log.peer_reachable(start, "vm2");
  BOOST_TEST((log.next_deadline() <= start + options.first_election_max));
}
