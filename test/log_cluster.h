// Simulated cluster of control log replicas on in-memory disks, with virtual
// time, a seeded random source and a faulty network. Checks the invariants
// after each step.
#ifndef CITRONWHARF_TEST_LOG_CLUSTER_H_
#define CITRONWHARF_TEST_LOG_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "control/log_storage.h"
#include "control/replicated_log.h"
#include "memory_disk.h"

namespace citronwharf {

/// Thrown when an invariant of the log does not hold.
struct invariant_violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void require(bool holds, const std::string& invariant) {
  if (!holds) {
    throw invariant_violation(invariant);
  }
}

/// State machine of the tests: folds commands into a digest, in log order.
std::uint64_t next_digest(std::uint64_t digest, const log_entry& entry);

struct network_faults {
  double drop = 0;
  double duplicate = 0;
  double late = 0;  ///< share delivered up to `max_late` later
  duration max_late = seconds(3);
};

class log_cluster {
 public:
  struct node {
    std::string process;
    std::string id;
    std::unique_ptr<memory_disk> disk;
    std::unique_ptr<log_storage> storage;
    std::unique_ptr<replicated_log> log;  // null while down
    std::optional<log_batch> writing;
    std::uint64_t restarts = 0;  // incremented by each crash
    time_point frozen_until;
    // State machine: chained digest of the applied commands.
    std::uint64_t digest = 0;
    std::uint64_t applied = 0;
    std::uint64_t checked_commit = 0;
    std::uint64_t reported_term = 0;  // highest term shown to other processes
    bool counted_as_leader = false;
  };

  explicit log_cluster(std::uint64_t seed, std::size_t nodes);

  /// Makes a group on node 0 and adds nodes up to `members`.
  void start_group(std::size_t members);
  void run_for(duration span);
  /// Runs until the condition holds; false when `limit` passed before.
  bool run_until(const std::function<bool()>& condition, duration limit);

  void crash(std::size_t i);      ///< of the VM, or of the process alone
  void fail_disk(std::size_t i);  ///< one of its next steps fails
  void restart(std::size_t i);    ///< from its disk
  /// Opens a replica that is down or failed again; false if its disk refuses.
  bool reopen(std::size_t i);
  void lose_disk(std::size_t i);  ///< then restarts as a new replica
  void freeze(std::size_t i, duration span);
  void cut(std::size_t from, std::size_t to, bool one_way);
  void isolate(std::size_t i);
  void heal();
  void snapshot(std::size_t i);

  /// Index of a running leader of the highest term.
  std::optional<std::size_t> leader() const;
  /// Proposes at node i; returns whether it took the command.
  bool propose(std::size_t i);
  /// Performs one operator step towards node i being a settled member, which
  /// takes the seat of the voter `replaces` if there is one.
  bool join(std::size_t i, const std::string& replaces = "");
  /// Calls a replica that is up, and performs what follows from the call.
  void call(std::size_t i, const std::function<void(replicated_log&)>& change);
  /// Proposes at leaders until a command is acknowledged.
  bool make_progress(duration limit);
  /// Checks that all running members hold the same state and nothing is
  /// missing.
  void check_convergence();

  node& at(std::size_t i) { return nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }
  std::uint64_t acknowledged() const { return acknowledged_; }
  std::uint64_t committed() const { return committed_.size(); }
  std::uint64_t steps() const { return steps_; }
  time_point now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  network_faults faults;
  replicated_log_options options;
  duration max_sync = milliseconds(8);

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::size_t node;
    std::function<void()> act;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  void schedule(time_point at, std::size_t node, std::function<void()> act);
  void schedule_tick(std::size_t i);
  absl::Status open(std::size_t i);
  bool step(time_point limit);
  void pump(std::size_t i);
  void perform(std::size_t i, const send_action& action);
  void perform(std::size_t i, const write_action& action);
  void perform(std::size_t i, const apply_action& action);
  void perform(std::size_t i, const restore_action& action);
  void perform(std::size_t /*i*/, const members_action& /*action*/) {}
  void check(std::size_t i);
  void check_leader(node& of);
  void check_entry(const node& of, std::uint64_t index);
  void check_log_matching(const node& of);
  double draw() { return std::uniform_real_distribution<double>()(random_); }
  duration draw_up_to(duration limit) {
    return duration(
        std::uniform_int_distribution<std::int64_t>(0, limit.count())(random_));
  }

  std::mt19937_64 random_;
  time_point now_{seconds(1)};
  std::vector<node> nodes_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::uint64_t steps_ = 0;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::uint64_t commands_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::map<std::uint64_t, std::uint64_t> own_;  // index to term of proposals

  // History of the run, which the checks compare against.
  std::map<std::uint64_t, std::string> leaders_;  // by term
  std::vector<log_entry> committed_;              // by index - 1
  std::vector<std::uint64_t> commit_terms_;       // first seen committed in
  std::vector<std::uint64_t> digests_;            // after index
  struct known_entry {
    std::string data;
    std::uint64_t previous_term;
  };
  std::map<std::pair<std::uint64_t, std::uint64_t>, known_entry> known_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_TEST_LOG_CLUSTER_H_
