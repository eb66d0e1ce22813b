/// A replica of the control log in a process: connects the consensus state
/// machine replicated_log to its storage, timers and sessions.
#ifndef CITRONWHARF_CONTROL_REPLICA_H_
#define CITRONWHARF_CONTROL_REPLICA_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/disk.h"
#include "control/state_machine.h"
#include "wire/log_messages.h"

namespace citronwharf {

/// Status that a replica reports.
struct replica_status {
  std::string id;    ///< "" before the group is made or joined
  std::string role;  ///< leader, follower, candidate, learner, outside, failed
  std::uint64_t term = 0;  ///< synced on this replica's disk
  std::string leader;      ///< process name, "" when unknown
  std::uint64_t first_index = 0;
  std::uint64_t last_index = 0;  ///< synced on this replica's disk
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  std::uint64_t snapshot_index = 0;
  std::vector<replica_member> members;
  std::string fault;  ///< why the replica stopped acknowledging, or ""
};
CITRONWHARF_VALUE(replica_status, id, role, term, leader, first_index,
                  last_index, commit_index, applied_index, snapshot_index,
                  members, fault)

/// Log index of a committed command and the result of its state machine.
struct proposal_result {
  std::uint64_t index = 0;
  nlohmann::json result;
};

/// Not thread-safe; use from the event loop thread only.
class replica {
 public:
  using proposal_done = std::function<void(absl::StatusOr<proposal_result>)>;
  /// Gets the replica id of a process, or why there is none.
  using identity_handler =
      std::function<void(const absl::StatusOr<std::string>&)>;
  /// State machines by kind; a command {"kind": K, ...} goes to machine K.
  using machines = std::map<std::string, state_machine*>;

  replica() = default;
  virtual ~replica() = default;
  replica(const replica&) = delete;
  replica& operator=(const replica&) = delete;

  /// Opens the data folder, replays it and starts taking part. An error names
  /// the damaged file and the offset, or the other deployment or process that
  /// holds the folder.
  virtual absl::Status open() = 0;

  /// Creates a group with this replica as its only voter. FailedPrecondition
  /// when the data folder already belongs to a group.
  virtual absl::Status make_group() = 0;

  /// Proposes a command {"kind": K, ...}. `done` is called once: with the
  /// result when committed and applied here; Unavailable with the leader's
  /// process name in the message when this replica is not the leader (certainly
  /// not proposed); Aborted or DeadlineExceeded when the outcome is unknown.
  virtual void propose(nlohmann::json command, proposal_done done) = 0;

  /// Adds the process at `address` as a learner; it is promoted to voter
  /// automatically once it has caught up and synced. One change at a time
  /// (FailedPrecondition). `done` is called when the learner has become a
  /// voter that holds all committed entries, or with an error. The call may be
  /// repeated for the same member, e.g. after a lost reply; the earlier call
  /// then ends with Aborted. DeadlineExceeded when the process does not answer,
  /// or has not caught up within two minutes (it continues to catch up).
  virtual void add_member(const std::string& process,
                          const std::string& address,
                          std::function<void(absl::Status)> done) = 0;
  /// Asks the process for the id of its replica. `done` gets it, or
  /// FailedPrecondition if that replica belongs to another group. If no reply
  /// arrives, `done` is not called, and a later call takes its place.
  virtual void identify(const std::string& process, identity_handler done) = 0;
  /// Adds a learner without waiting until it is a voter. Errors as for
  /// replicated_log::add_learner().
  virtual absl::Status add_learner(const replica_member& learner) = 0;
  /// Returns the ids of the other members that have not answered lately. Only
  /// meaningful on the leader.
  virtual std::set<std::string> silent_members() const = 0;
  /// Removes the member with this id.
  virtual void remove_member(const std::string& id,
                             std::function<void(absl::Status)> done) = 0;
  /// Takes a snapshot now and truncates the log.
  virtual absl::Status take_snapshot() = 0;

  virtual replica_status status() const = 0;
  /// Returns the number of commands of this kind in the synced log that are not
  /// applied yet, committed or not: an upper bound on the changes still to come
  /// from this log. The default counts commands of every kind, which is safe,
  /// but on a busy log changes then always seem to be in progress.
  virtual std::uint64_t unapplied(const std::string& /*kind*/) const {
    const replica_status now = status();
    return now.last_index - now.applied_index;
  }
  /// Calls `on_change` after entries were synced, committed or applied, and
  /// when leader or members change. Lasts for the lifetime of the replica.
  virtual void subscribe(std::function<void()> on_change) = 0;
};

/// Dependencies of a replica. All of them must outlive it.
struct replica_environment {
  boost::asio::io_context& loop;
  const settings& options;  ///< process, deployment, data_folder, addresses
  peer_hub& peers;
  disk_operations disk;
};

/// Creates a replica. Precondition: the environment and the machines outlive
/// it.
std::unique_ptr<replica> make_replica(replica_environment environment,
                                      replica::machines machines);

/// Creates a replica on the process's data folder. Preconditions: `process`
/// and the machines outlive it.
std::unique_ptr<replica> make_replica(process_context& process,
                                      replica::machines machines);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_REPLICA_H_
