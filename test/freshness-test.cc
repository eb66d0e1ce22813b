// Freshness leases: never fresh while a majority has held a newer committed
// version for longer than the lease.
#include "control/freshness.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr duration lease = seconds(3);
const std::set<std::string> three{"a", "b", "c"};

time_point at(int milliseconds_in) {
  return time_point{} + milliseconds(milliseconds_in);
}

// A group of replicas under virtual time: changes reach replicas one by one,
// commit at a majority, and may be cut off; membership moves by one replica.
class group_model {
 public:
  explicit group_model(std::uint64_t seed) : random_(seed) {
    for (int n = 0; n < 3 + 2 * pick(2); ++n) {
      voters_.insert(add_replica());
    }
    for (auto& [name, replica] : replicas_) {
      replica.voters = voters_;
    }
  }

  // Runs until `end`; returns whether a stale version ever passed as fresh.
  bool stale_passed_as_fresh(time_point end) {
    while (now_ < end) {
      now_ += milliseconds(1 + pick(400));
      step();
      if (fresh_but_stale()) {
        return true;
      }
    }
    return false;
  }
  int fresh_steps() const { return fresh_steps_; }

 private:
  struct replica_model {
    std::uint64_t newest = 1;
    std::set<std::string> voters;
    bool reachable = true;  // by the leader
    bool polled = true;     // by the process
  };
  struct answer_in_flight {
    freshness_answer answer;
    time_point sent;
    time_point due;
  };

  int pick(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(random_);
  }

  std::string add_replica() {
    std::string name = "r" + std::to_string(++names_);
    replicas_[name].newest = committed_;
    return name;
  }

  void step() {
    switch (pick(8)) {
      case 0:
        change_version();
        break;
      case 1:
        change_group();
        break;
      case 2:
        for (auto& [name, replica] : replicas_) {
          replica.reachable = pick(3) != 0;
        }
        break;
      case 3:
        for (auto& [name, replica] : replicas_) {
          replica.polled = pick(4) != 0;
        }
        break;
      default:
        poll();
    }
    deliver();
  }

  // Writes `write` to the reachable voters of `group`; returns whether that
  // is a majority, as a commit needs.
  template <typename Write>
  bool replicate(const std::set<std::string>& group, Write write) {
    std::size_t reached = 0;
    for (const std::string& name : group) {
      replica_model& replica = replicas_[name];
      if (replica.reachable) {
        write(replica);
        ++reached;
      }
    }
    return reached > group.size() / 2;
  }

  // Raft's leader holds every committed entry and brings others up to date.
  void catch_up(replica_model& replica) const {
    replica.newest = std::max(replica.newest, committed_);
    replica.voters = voters_;
  }

  void change_version() {
    const std::uint64_t next = committed_ + 1;
    const bool committed = replicate(voters_, [&](replica_model& replica) {
      catch_up(replica);
      replica.newest = next;
    });
    if (committed) {
      committed_ = next;
      commits_[next] = now_;
    } else {
      // Not committed: replaced by the next leader, or committed later.
      for (const std::string& name : voters_) {
        replicas_[name].newest = std::min(replicas_[name].newest, committed_);
      }
    }
  }

  void change_group() {
    std::set<std::string> next = voters_;
    if (voters_.size() > 3 || (voters_.size() == 3 && pick(2) == 0)) {
      next.erase(std::next(next.begin(), pick(static_cast<int>(next.size()))));
    } else {
      next.insert(add_replica());
    }
    if (next.size() < 2) {
      return;
    }
    const std::set<std::string> before = voters_;
    std::set<std::string> wrote;
    const bool committed = replicate(next, [&](replica_model& replica) {
      catch_up(replica);
      replica.voters = next;
    });
    if (committed) {
      voters_ = next;
      return;
    }
    for (const std::string& name : next) {
      if (replicas_[name].voters == next) {
        replicas_[name].voters = before;
      }
    }
  }

  void poll() {
    for (const auto& [name, replica] : replicas_) {
      if (replica.polled && !replica.voters.empty()) {
        // The replica reads its log some time after the poll was sent.
        in_flight_.push_back({{name, replica.newest, replica.voters},
                              now_ - milliseconds(pick(200)),
                              now_ + milliseconds(pick(2500))});
      }
    }
    if (pick(3) == 0) {
      held_ = committed_;  // the process takes what a replica has applied
    }
  }

  void deliver() {
    for (auto each = in_flight_.begin(); each != in_flight_.end();) {
      if (each->due > now_ && pick(10) != 0) {
        ++each;
        continue;
      }
      leases_.answered(each->answer, each->sent, now_);
      each = in_flight_.erase(each);
    }
  }

  bool fresh_but_stale() {
    const auto until = leases_.fresh_until(held_);
    if (!until || *until <= now_) {
      return false;
    }
    ++fresh_steps_;
    const auto newer = commits_.find(held_ + 1);
    return newer != commits_.end() && newer->second + lease <= now_;
  }

  std::mt19937_64 random_;
  time_point now_ = at(10'000);
  int names_ = 0;
  std::map<std::string, replica_model> replicas_;
  std::set<std::string> voters_;
  std::uint64_t committed_ = 1;
  std::map<std::uint64_t, time_point> commits_;
  std::vector<answer_in_flight> in_flight_;
  freshness leases_{lease};
  std::uint64_t held_ = 1;
  int fresh_steps_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_lease_counts_from_when_the_poll_was_sent) {
  freshness leases(lease);
  leases.answered({"a", 7, three}, at(1000), at(2500));
  BOOST_TEST(!leases.fresh_until(7).has_value());
  leases.answered({"b", 7, three}, at(1200), at(2500));
  BOOST_TEST((leases.fresh_until(7) == at(4000)));
  leases.answered({"c", 7, three}, at(2000), at(2500));
  BOOST_TEST((leases.fresh_until(7) == at(4200)));
}

BOOST_AUTO_TEST_CASE(answers_that_give_no_lease) {
  struct answer_case {
    const char* name;
    std::vector<freshness_answer> answers;
  };
  const std::vector<answer_case> cases{
      {"one of three", {{"a", 7, three}}},
      {"the same one twice", {{"a", 7, three}, {"a", 7, three}}},
      {"newer at one of two", {{"a", 7, three}, {"b", 8, three}}},
      {"no members", {{"a", 7, {}}, {"b", 7, {}}}},
      {"no id", {{"", 7, three}, {"", 7, three}}},
      {"strangers", {{"x", 7, three}, {"y", 7, three}}},
      {"another group without majority",
       {{"a", 7, three}, {"b", 7, {"a", "b", "c", "d"}}}}};
  for (const answer_case& each : cases) {
    BOOST_TEST_CONTEXT(each.name) {
      freshness leases(lease);
      for (const freshness_answer& answer : each.answers) {
        leases.answered(answer, at(1000), at(1000));
      }
      BOOST_TEST(!leases.fresh_until(7).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_removed_replica_does_not_hinder) {
  const std::set<std::string> next{"b", "c", "d"};
  freshness leases(lease);
  leases.answered({"a", 3, {"a"}}, at(1000), at(1000));
  leases.answered({"b", 7, next}, at(1000), at(1000));
  leases.answered({"c", 7, next}, at(1000), at(1000));
  BOOST_TEST(leases.fresh_until(7).has_value());
}

BOOST_AUTO_TEST_CASE(a_late_answer_to_an_old_poll_counts_for_nothing) {
  freshness leases(lease);
  leases.answered({"a", 7, three}, at(1000), at(4000));
  leases.answered({"b", 7, three}, at(1000), at(4000));
  BOOST_TEST(!leases.fresh_until(7).has_value());
}

BOOST_AUTO_TEST_CASE(never_fresh_while_a_newer_version_is_past_the_lease) {
  constexpr std::uint64_t seeds = 2000;
  int fresh_steps = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    group_model model(seed);
    BOOST_REQUIRE_MESSAGE(!model.stale_passed_as_fresh(at(60'000)),
                          "seed " << seed);
    fresh_steps += model.fresh_steps();
  }
  // The property is not empty: processes were fresh much of the time.
  BOOST_TEST(fresh_steps > 10'000);
}
