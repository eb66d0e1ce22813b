/// A replica of the control log in a process: the decision module
/// replicated_log with its storage, timers and sessions around it.
#ifndef CITRONWHARF_CONTROL_REPLICA_H_
#define CITRONWHARF_CONTROL_REPLICA_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/disk.h"
#include "control/state_machine.h"
#include "wire/log_messages.h"

namespace citronwharf {

/// What a replica says of itself.
struct replica_status {
  std::string id;    ///< "" before the group is made or joined
  std::string role;  ///< leader, follower, candidate, learner, outside, failed
  std::uint64_t term = 0;
  std::string leader;  ///< process name, "" when unknown
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

/// A committed command's place and its machine's result.
struct proposal_result {
  std::uint64_t index = 0;
  nlohmann::json result;
};

/// Loop's thread only.
class replica {
 public:
  using proposal_done = std::function<void(absl::StatusOr<proposal_result>)>;
  /// Machines by kind; a command {"kind": K, ...} goes to machine K.
  using machines = std::map<std::string, state_machine*>;

  replica() = default;
  virtual ~replica() = default;
  replica(const replica&) = delete;
  replica& operator=(const replica&) = delete;

  /// Opens the data folder, replays it and takes part. An error names the
  /// file and offset of damage, or the other deployment or process that
  /// holds the folder.
  virtual absl::Status open() = 0;

  /// Makes a new group with this replica as its only voter. FailedPrecondition
  /// when the data folder already belongs to a group.
  virtual absl::Status make_group() = 0;

  /// Proposes a command {"kind": K, ...}. `done` is called once: with the
  /// result when committed and applied here; Unavailable with the leader's
  /// process name in the message when this replica doesn't lead (surely not
  /// proposed); Aborted or DeadlineExceeded when the outcome is unknown.
  virtual void propose(nlohmann::json command, proposal_done done) = 0;

  /// Adds the process at `address` as a learner; it becomes a voter by itself
  /// once it has caught up and synced. One change at a time
  /// (FailedPrecondition). `done` is called when the learner has become a
  /// voter that holds all that is committed, or with an error. Asking again
  /// for a member is allowed, as after a lost answer; the first asker is then
  /// answered Aborted. DeadlineExceeded when the process does not answer, or
  /// has not caught up within two minutes (it goes on catching up).
  virtual void add_member(const std::string& process,
                          const std::string& address,
                          std::function<void(absl::Status)> done) = 0;
  /// Removes the member with this id.
  virtual void remove_member(const std::string& id,
                             std::function<void(absl::Status)> done) = 0;
  /// Takes a snapshot now and truncates the log.
  virtual absl::Status take_snapshot() = 0;

  virtual replica_status status() const = 0;
  /// Returns how many commands of this kind stand in the synced log after the
  /// applied ones, committed or not. At most that many more changes can this
  /// log lead to. The default counts commands of every kind, which is safe but
  /// makes a busy log look as if changes were always under way.
  virtual std::uint64_t unapplied(const std::string& /*kind*/) const {
    const replica_status now = status();
    return now.last_index - now.applied_index;
  }
  /// Calls `on_change` after entries were synced, committed or applied, and
  /// when leader or members change. For the life of the replica.
  virtual void subscribe(std::function<void()> on_change) = 0;
};

/// What a replica works with. All of it outlives the replica.
struct replica_environment {
  boost::asio::io_context& loop;
  const settings& options;  ///< process, deployment, data_folder, addresses
  peer_hub& peers;
  disk_operations disk;
};

/// Makes a replica. Precondition: the environment and the machines outlive it.
std::unique_ptr<replica> make_replica(replica_environment environment,
                                      replica::machines machines);

/// Makes a replica over the process's data folder. Preconditions: `process`
/// and the machines outlive it.
std::unique_ptr<replica> make_replica(process_context& process,
                                      replica::machines machines);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_REPLICA_H_
