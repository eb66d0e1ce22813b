/// The decisions of the control log: election, replication, snapshots and
/// membership of one replica. No I/O, no clock, no thread: events and `now`
/// go in, typed actions come out of take_actions().
#ifndef CITRONWHARF_CONTROL_REPLICATED_LOG_H_
#define CITRONWHARF_CONTROL_REPLICATED_LOG_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "control/log_entries.h"
#include "wire/log_messages.h"

namespace citronwharf {

struct replicated_log_options {
  std::string id;       ///< of this replica
  std::string process;  ///< its process name
  std::string address;  ///< its "ip:port" for peers
  duration heartbeat = milliseconds(100);
  /// Timeouts are drawn between these two. A leader that has not heard from a
  /// majority for the longer one steps down.
  duration election_min = milliseconds(500);
  duration election_max = milliseconds(1000);
  /// Spread of the first election after a start, once members are reachable:
  /// some round trips and syncs of a disk.
  duration first_election_max = milliseconds(150);
  duration resend_after = milliseconds(500);  ///< for unanswered entries
  std::size_t max_append_entries = 512;
  std::size_t max_append_bytes = 256U << 10U;
  std::size_t snapshot_part_bytes = 256U << 10U;
  std::size_t max_command_bytes = 3U << 20U;
  std::uint64_t keep_entries = 256;  ///< before a snapshot, for laggards
};

/// What a replica finds on its disk.
struct restored_log {
  hard_state state;
  std::optional<log_snapshot> snapshot;
  std::vector<log_entry> entries;
};

/// What one synced write makes durable, all or nothing.
struct log_batch {
  std::uint64_t sequence = 0;
  std::optional<hard_state> state;
  /// Replaces everything; `entries` are then all that stay.
  std::optional<log_snapshot> snapshot;
  /// Gapless. An entry at or below the last one replaces the log from there.
  std::vector<log_entry> entries;
};

/// Sends a message to a process.
struct send_action {
  std::string process;
  log_message message;
};
/// Writes and syncs; then calls written() or write_failed(). One at a time.
struct write_action {
  log_batch batch;
};
/// Applies a committed command to the state machines.
struct apply_action {
  log_entry entry;
};
/// Replaces the state machines' state.
struct restore_action {
  log_snapshot snapshot;
};
/// The members changed: keep sessions to these.
struct members_action {
  std::vector<replica_member> members;
};
using log_action = std::variant<send_action, write_action, apply_action,
                                restore_action, members_action>;

/// Where a proposal stands in the log.
struct log_position {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
};
CITRONWHARF_VALUE(log_position, index, term)

enum class log_role { outside, learner, follower, candidate, leader, failed };
/// Returns the role as an operator sees it. Thread-safe.
const char* to_text(log_role role);

/// One replica's decisions. One thread at a time. `now` never goes back.
class replicated_log {
 public:
  replicated_log(replicated_log_options options, std::mt19937_64 random,
                 restored_log restored, time_point now);

  /// Makes a group with this replica as its only voter. FailedPrecondition
  /// when it belongs to a group already.
  absl::Status make_group(time_point now, const std::string& group);
  /// Appends a command. Unavailable, with the leader's process name in the
  /// message, when this replica doesn't lead; InvalidArgument when too large.
  absl::StatusOr<log_position> propose(time_point now, std::string command);
  /// Takes a message from the process `from`, whose name is authenticated.
  void receive(time_point now, const std::string& from,
               const log_message& message);
  /// A session to the process of another member came up. A replica that has
  /// heard of no leader since it started then asks for votes soon: after a
  /// restart of all members, nobody else will.
  void peer_reachable(time_point now, const std::string& process);
  /// Does what is due. Call at next_deadline() at the latest.
  void tick(time_point now);
  /// The batch with this sequence is synced.
  void written(time_point now, std::uint64_t sequence);
  /// A write failed: this replica takes no further part.
  void write_failed(const std::string& reason);
  /// Hands over the machines' state after applied_index(), for truncation.
  void take_snapshot(std::string state);

  /// Adds a learner, which becomes a voter by itself once it holds all that
  /// is committed; an older replica of the same process is then removed.
  /// Unavailable when not leading, FailedPrecondition while another change
  /// is under way, AlreadyExists for a member.
  absl::Status add_learner(time_point now, replica_member member);
  /// Removes a member. NotFound when there is none; else as add_learner.
  absl::Status remove_member(time_point now, const std::string& id);
  /// Returns whether `id` is a voter, the change is committed, the replica
  /// holds all that is committed and no change is under way. For the leader.
  bool settled(const std::string& id) const;

  /// Returns whether `id` is no member and that is committed. For the leader.
  bool removed(const std::string& id) const;

  /// Returns what is to be done, in order, since the last call. Call after
  /// each event, or after several that came together (group commit).
  std::vector<log_action> take_actions(time_point now);
  time_point next_deadline() const;

  log_role role() const;
  const hard_state& state() const { return state_; }
  /// Process name of the leader, or "".
  const std::string& leader() const { return leader_process_; }
  std::uint64_t first_index() const { return log_.first_index(); }
  std::uint64_t stable_index() const { return stable_; }
  std::uint64_t last_index() const { return log_.last_index(); }
  std::uint64_t commit_index() const { return commit_; }
  std::uint64_t applied_index() const { return applied_; }
  std::uint64_t snapshot_index() const;
  const std::vector<replica_member>& members() const;
  const std::string& fault() const { return fault_; }
  /// Returns the entry, for checks. Precondition: it is held.
  const log_entry& entry_at(std::uint64_t index) const;

 private:
  // What a leader knows of another member.
  struct follower_progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;  // synced there
    time_point heard;
    time_point sent;            // the last message of any kind
    std::uint64_t waiting = 0;  // sequence of unanswered entries, or 0
    time_point waiting_since;
    std::uint64_t commit_sent = 0;
    std::uint64_t snapshot_index = 0;   // being sent, or 0
    std::uint64_t snapshot_offset = 0;  // bytes held there
  };
  // A reply that waits for the batch with this sequence.
  struct held_reply {
    std::uint64_t sequence = 0;
    send_action reply;
  };
  // A group's members from the entry at `index` on.
  struct member_list {
    std::uint64_t index = 0;
    std::vector<replica_member> members;
  };
  // A snapshot of which not all parts have come.
  struct partial_snapshot {
    log_snapshot snapshot;
    std::uint64_t size = 0;
  };

  // replicated_log.cc: terms, writes, applying.
  void become_follower(time_point now, std::uint64_t term);
  void adopt_leader(time_point now, const log_header& header,
                    const std::string& process);
  void drop_leader();
  bool dirty() const;
  std::uint64_t covering_sequence() const;
  void reply_after_sync(const std::string& process, log_message message);
  void send(const std::string& process, log_message message);
  log_header header_to(const std::string& id) const;
  void flush();
  void apply_committed();
  bool accept_group(const log_header& header, const log_message& message);
  bool accept_term(time_point now, const log_header& header,
                   const log_message& message, const std::string& from);

  // log_election.cc
  bool is_voter(const std::string& id) const;
  bool may_campaign() const;
  bool majority(const std::set<std::string>& ids) const;
  bool hears_leader(time_point now) const;
  void reset_election_deadline(time_point now);
  void start_election(time_point now, bool pre_vote);
  void count_vote(time_point now, const std::string& id);
  void become_leader(time_point now);
  void step_down_without_majority(time_point now);
  void handle(time_point now, const std::string& from, const vote_request& in);
  void handle(time_point now, const std::string& from, const vote_reply& in);

  // log_replication.cc
  void append_own(log_entry_kind kind, std::string data);
  void append_entry(log_entry entry);
  void truncate_from(std::uint64_t index);
  void replicate(time_point now);
  void send_append(time_point now, const replica_member& to,
                   follower_progress& progress, bool with_entries);
  void advance_commit();
  void handle(time_point now, const std::string& from,
              const append_request& in);
  void handle(time_point now, const std::string& from, const append_reply& in);
  std::uint64_t retry_hint(std::uint64_t previous_index) const;

  // log_snapshots.cc
  void send_snapshot(time_point now, const replica_member& to,
                     follower_progress& progress);
  void handle(time_point now, const std::string& from,
              const snapshot_request& in);
  void handle(time_point now, const std::string& from,
              const snapshot_reply& in);
  void install_snapshot(log_snapshot snapshot);

  // log_membership.cc
  absl::Status check_change() const;
  void propose_members(const std::vector<replica_member>& members);
  void advance_membership(time_point now);
  void members_changed();
  void read_members(const log_entry& entry);
  const replica_member* find_member(const std::string& id) const;
  bool settled_voter(const std::string& id) const;

  replicated_log_options options_;
  std::mt19937_64 random_;
  hard_state state_;
  log_entries log_;
  std::optional<log_snapshot> snapshot_;
  std::vector<member_list> member_lists_;  // oldest first, the last in force

  log_role role_ = log_role::follower;  // follower, candidate, leader, failed
  std::string fault_;
  std::string leader_id_;
  std::string leader_process_;
  std::optional<time_point> heard_leader_;
  time_point election_deadline_;
  bool pre_vote_ = false;  // the candidate asks for pre-votes
  std::set<std::string> votes_;
  std::uint64_t self_vote_sequence_ = 0;  // batch with the vote for itself

  std::map<std::string, follower_progress> progress_;  // by replica id
  std::uint64_t next_sequence_ = 0;                    // of requests
  time_point quorum_since_;                            // leading since
  std::uint64_t term_start_ = 0;  // index of the leader's first entry

  std::uint64_t commit_ = 0;
  std::uint64_t applied_ = 0;
  std::uint64_t stable_ = 0;  // synced up to here
  std::optional<partial_snapshot> incoming_;

  // Writes: one batch is under way at a time.
  std::uint64_t last_batch_ = 0;
  bool writing_ = false;
  std::uint64_t writing_last_ = 0;  // last index that the batch makes stable
  std::uint64_t unwritten_ = 1;     // first index in no batch yet
  bool state_dirty_ = false;
  bool snapshot_dirty_ = false;
  std::uint64_t restore_sequence_ = 0;  // restore machines after this batch
  bool restore_pending_ = false;
  std::vector<held_reply> held_;
  std::vector<log_action> out_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_REPLICATED_LOG_H_
