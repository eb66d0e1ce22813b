/// Decides which processes store the published document: creates the group on
/// the first start of the system, admits processes with a disk, and replaces
/// members that are lost or leave.
#ifndef CITRONWHARF_CONTROL_GROUP_MANAGER_H_
#define CITRONWHARF_CONTROL_GROUP_MANAGER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "wire/log_messages.h"

namespace citronwharf {

struct group_manager_options {
  std::string process;
  std::string address;  ///< own "ip:port" for peers
  /// Peer addresses of the seeds, the same on every process at the first start.
  std::vector<std::string> seeds;
  bool first_start = false;  ///< of the whole system, with empty disks
  /// Number of simultaneous member losses that the group must survive.
  std::size_t tolerated_losses = 1;
  /// Time within which the successor of a lost member has to be a voter, from
  /// the start of the successor: then another member may be lost.
  duration repair_time = seconds(4);
  /// A join request that is not repeated within this time is dropped.
  duration candidate_lifetime = seconds(2);
};

/// Input of group_manager::next_step().
struct group_state {
  bool has_disk = false;
  std::string replica;  ///< own replica id; "" outside any group
  bool in_group = false;
  bool leads = false;
  std::vector<replica_member> members;
  /// Replica ids of the members that have not answered the leader lately.
  std::set<std::string> silent;
  std::string leader;  ///< process name, or "" if none is known
};

/// Creates the group with this process as its only member.
struct create_group_step {};
/// Asks the leader for membership.
struct request_join_step {
  std::string leader;
};
/// Tells the leader that this member is being stopped.
struct announce_leave_step {
  std::string leader;
};
/// Adds a learner, or changes which voter it is to replace; leader only.
struct add_member_step {
  replica_member member;
  std::string reason;  ///< for the log
};
/// Removes a member; leader only.
struct remove_member_step {
  std::string replica;
  std::string reason;  ///< for the log
};
using group_step =
    std::variant<create_group_step, request_join_step, announce_leave_step,
                 add_member_step, remove_member_step>;

/// Designed for this load: members are lost for good one after the other, each
/// `repair_time` after the successor of the one before has started, and any
/// number of successors are lost at any step before they are members. Each step
/// follows from the members and from who answers, so a process that is lost or
/// a new leader leaves nothing to wait for. Until the lost member is replaced,
/// the group survives one loss less.
///
/// Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class group_manager {
 public:
  explicit group_manager(group_manager_options options);

  /// Number of voters that the group should have, so that a majority survives
  /// the tolerated losses.
  std::size_t target_members() const {
    return 2 * options_.tolerated_losses + 1;
  }
  /// Returns whether the voters run in enough distinct processes for newly
  /// acknowledged entries to survive the tolerated losses.
  bool has_enough_voters(const group_state& state) const;

  /// Records the request of a process to become a member with its replica.
  void add_candidate(const std::string& process, const std::string& address,
                     const std::string& replica, time_point now);
  /// Records a further request. Returns whether the replica is known.
  bool renew_candidate(const std::string& process, time_point now);
  /// Records that a session to a process was opened.
  void session_up(const std::string& process);
  /// Records that the session to a process was lost, which was last heard from
  /// at `last_heard`.
  void session_lost(const std::string& process, time_point last_heard,
                    time_point now);
  /// Records that a member is being stopped.
  void add_leaving(const std::string& replica, time_point now);
  /// From now on, this process hands its seat over to another one.
  void leave() { leaves_ = true; }
  /// Replaces the seed addresses, for example after a settings change.
  void set_seeds(std::vector<std::string> seeds);

  /// Returns the next step, if one is due. Call this several times per second.
  std::optional<group_step> next_step(const group_state& state, time_point now);

 private:
  struct candidate {
    std::string address;
    std::string replica;
    time_point requested_at;
  };

  // A place for another voter.
  struct vacant_seat {
    std::string replaces;  // replica id of the voter that has it, or ""
    std::string reason;    // for the log
  };

  bool should_create_group() const;
  void record_disconnected(const group_state& state, time_point now);
  std::optional<group_step> next_leader_step(const group_state& state,
                                             time_point now);
  std::optional<group_step> next_learner_step(const group_state& state,
                                              const replica_member& learner,
                                              time_point now) const;
  std::optional<group_step> next_admission(const group_state& state,
                                           time_point now);
  void drop_candidates(const group_state& state, time_point now);
  bool is_lost(const std::string& process, time_point now) const;
  bool leaves(const replica_member& member, time_point now) const;
  /// Returns why another process may take the place of a member, or "".
  std::string replacement_reason(const replica_member& member,
                                 time_point now) const;
  std::optional<vacant_seat> find_seat(const group_state& state,
                                       const std::string& process,
                                       time_point now) const;

  group_manager_options options_;
  std::map<std::string, candidate> candidates_;  // by process name
  struct lost_session {
    time_point last_heard;
    time_point lost_at;
  };
  std::map<std::string, lost_session> lost_sessions_;  // by process name
  std::set<std::string> connected_;                    // process names
  std::map<std::string, time_point> leaving_;  // last report, by replica id
  bool leaves_ = false;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_GROUP_MANAGER_H_
