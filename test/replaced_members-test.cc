// Members of the replica group are replaced for good, one after the other, by
// processes with other names and empty disks. Guards against a group that
// counts a lost member as a voter until the next one is lost, and so loses its
// majority and the published document.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "cluster_node.h"
#include "processes.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t group_size = 3;
// After this time from the start of a successor, another member may be lost.
constexpr auto repair_time = std::chrono::seconds(4);
constexpr auto publish_limit = std::chrono::seconds(5);

enum class role { leader, follower };

std::ostream& operator<<(std::ostream& out, role which) {
  return out << (which == role::leader ? "leader" : "follower");
}

// Each process has its own event loop: one that isn't run has fallen silent.
class fleet {
 public:
  fleet() {
    for (std::size_t i = 0; i < group_size; ++i) {
      start_process();
    }
    publish();
  }

  std::size_t start_process() {
    const std::string name = fmt::format("p{}", processes_.size());
    cluster_node_options options;
    options.tolerated_losses = 1;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      options.peers[fmt::format("p{}", i)] = processes_[i].node->address();
    }
    process added;
    added.loop = std::make_unique<boost::asio::io_context>();
    added.node = std::make_unique<cluster_node>(
        *added.loop, name, folder_.path() + "/" + name, 1, options);
    processes_.push_back(std::move(added));
    return processes_.size() - 1;
  }

  void lose(std::size_t i) { silent_.insert(i); }
  void leave(std::size_t i) { processes_[i].node->cluster().leave(); }

  // Returns the leader, or one of the first members that follow it.
  std::size_t choose(role which) {
    std::optional<std::size_t> found;
    BOOST_REQUIRE(run_until(
        [&] {
          const std::size_t end =
              which == role::leader ? processes_.size() : group_size;
          for (std::size_t i = 0; i < end && !found; ++i) {
            const bool leads = processes_[i].node->cluster().leads();
            if (silent_.count(i) == 0 && leads == (which == role::leader)) {
              found = i;
            }
          }
          return found.has_value();
        },
        publish_limit));
    return *found;
  }

  bool run_until(const std::function<bool()>& condition,
                 std::chrono::milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      for (std::size_t i = 0; i < processes_.size(); ++i) {
        if (silent_.count(i) == 0) {
          processes_[i].loop->restart();
          processes_[i].loop->poll();
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
  }
  void run_for(std::chrono::milliseconds span) {
    run_until([] { return false; }, span);
  }

  // Publishes through the processes that are up, in turn, until one accepts.
  void publish() {
    const std::uint64_t before = accepted_;
    bool pending = false;
    std::size_t next = 0;
    BOOST_REQUIRE(run_until(
        [&] {
          next = (next + 1) % processes_.size();
          if (accepted_ == before && !pending && silent_.count(next) == 0) {
            pending = true;
            const std::uint64_t version = ++sent_;
            processes_[next].node->cluster().publish(
                version, fmt::format("text {}", version),
                [this, version, &pending](const absl::Status& status) {
                  pending = false;
                  accepted_ = status.ok() ? version : accepted_;
                });
          }
          return accepted_ > before;
        },
        publish_limit));
  }

 private:
  struct process {
    std::unique_ptr<boost::asio::io_context> loop;
    std::unique_ptr<cluster_node> node;
  };

  test_folder folder_;
  std::vector<process> processes_;
  std::set<std::size_t> silent_;
  std::uint64_t sent_ = 0;
  std::uint64_t accepted_ = 0;
};

const role lost_members[] = {role::leader, role::follower};
// From its start, when a successor is lost: before it was heard of, while it
// asks, and about when it is admitted.
const int successor_lost_ms[] = {100, 700, 1200, 1800, 2400, 2600, 2800};

}  // namespace

BOOST_DATA_TEST_CASE(members_that_are_lost_in_turn_are_replaced_in_time,
                     boost::unit_test::data::make(lost_members), which) {
  fleet of;
  of.lose(of.choose(which));
  of.run_for(std::chrono::milliseconds(100));
  of.start_process();
  of.run_for(repair_time);
  of.publish();
  of.lose(of.choose(role::leader));
  of.run_for(std::chrono::milliseconds(100));
  of.start_process();
  of.publish();
}

// Guards against a group that waits for a successor that is lost while it
// joins, so that the next one does not become a member before the next loss.
BOOST_DATA_TEST_CASE(successor_that_is_lost_does_not_hold_up_the_next_one,
                     boost::unit_test::data::make(successor_lost_ms), lost_ms) {
  fleet of;
  of.lose(of.choose(role::follower));
  const std::size_t first = of.start_process();
  of.run_for(std::chrono::milliseconds(lost_ms));
  of.lose(first);
  of.run_for(std::chrono::milliseconds(100));
  of.start_process();
  of.run_for(repair_time);
  of.publish();
  of.lose(of.choose(role::leader));
  of.run_for(std::chrono::milliseconds(100));
  of.start_process();
  of.publish();
}

// The successors run before the members are stopped.
BOOST_DATA_TEST_CASE(members_that_are_stopped_hand_over_their_seats,
                     boost::unit_test::data::make(lost_members), which) {
  fleet of;
  of.start_process();
  of.start_process();
  of.run_for(repair_time);
  constexpr auto drain_time = std::chrono::milliseconds(2500);
  for (int i = 0; i < 2; ++i) {
    const std::size_t stopped = of.choose(which);
    of.leave(stopped);
    of.run_for(drain_time);
    of.lose(stopped);
    of.publish();
  }
}
