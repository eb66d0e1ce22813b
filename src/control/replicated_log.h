/// Consensus state machine of one control log replica: election, replication,
/// snapshots and membership. Performs no I/O and reads no clock; the caller
/// passes `now`. Starts no thread. Events go in, and take_actions() returns
/// the actions to perform.
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
#include "control/log_members.h"
#include "wire/log_messages.h"

namespace citronwharf {

struct replicated_log_options {
  std::string id;       ///< of this replica
  std::string process;  ///< its process name
  std::string address;  ///< its "ip:port" for peers
  duration heartbeat = milliseconds(100);
  /// Election timeouts are drawn at random from this range. A leader that has
  /// not heard from a majority for `election_max` steps down.
  duration election_min = milliseconds(500);
  duration election_max = milliseconds(1000);
  /// Upper bound of the random delay before the first election after a start,
  /// once members are reachable: a few round trips and disk syncs.
  duration first_election_max = milliseconds(150);
  duration resend_after = milliseconds(500);  ///< for unanswered entries
  std::size_t max_append_entries = 512;
  std::size_t max_append_bytes = 256U << 10U;
  std::size_t snapshot_part_bytes = 256U << 10U;
  std::size_t max_command_bytes = 3U << 20U;
  std::uint64_t keep_entries =
      256;  ///< kept before a snapshot, for lagging followers
  std::size_t keep_bytes = 1U << 20U;  ///< upper bound of their data
};

/// State that a replica loads from its disk at start-up.
struct restored_log {
  hard_state state;
  std::optional<log_snapshot> snapshot;
  std::vector<log_entry> entries;
};

/// Data of one synced write. It becomes durable atomically.
struct log_batch {
  std::uint64_t sequence = 0;
  std::optional<hard_state> state;
  /// Replaces the whole log; only `entries` are kept after it.
  std::optional<log_snapshot> snapshot;
  /// Contiguous. If the first index is at or below the last one stored, the
  /// stored log is replaced from that index on.
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
/// The members changed: sessions to these members are to be kept up.
struct members_action {
  std::vector<replica_member> members;
};
using log_action = std::variant<send_action, write_action, apply_action,
                                restore_action, members_action>;

/// Position of a proposal in the log.
struct log_position {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
};
CITRONWHARF_VALUE(log_position, index, term)

enum class log_role { outside, learner, follower, candidate, leader, failed };
/// Returns the role name shown to operators. Thread-safe.
const char* to_text(log_role role);

/// Not thread-safe. Precondition: `now` never decreases between calls.
class replicated_log {
 public:
  replicated_log(replicated_log_options options, std::mt19937_64 random,
                 restored_log restored, time_point now);

  /// Creates a group with this replica as its only voter. Returns
  /// FailedPrecondition if the replica already belongs to a group.
  absl::Status make_group(time_point now, const std::string& group);
  /// Appends a command. Returns Unavailable, with the leader's process name in
  /// the message, if this replica is not the leader, and InvalidArgument if the
  /// command is too large.
  absl::StatusOr<log_position> propose(time_point now, std::string command);
  /// Handles a message from the process `from`, whose name is authenticated.
  void receive(time_point now, const std::string& from,
               const log_message& message);
  /// Called when a session to the process of another member is established. A
  /// replica that has heard of no leader since its start then soon starts an
  /// election, because after a restart of all members no other one would.
  void peer_reachable(time_point now, const std::string& process);
  /// Handles expired timeouts. Call no later than next_deadline().
  void tick(time_point now);
  /// Called when the batch with this sequence number is synced.
  void written(time_point now, std::uint64_t sequence);
  /// Called when a write failed. The replica then stops taking part.
  void write_failed(const std::string& reason);
  /// Stores the state of the state machines as of applied_index() as a
  /// snapshot, so that the log can be truncated.
  void take_snapshot(std::string state);

  /// Adds a learner, which is promoted to voter automatically once it holds
  /// all committed entries. If it `replaces` a voter, or one has its process,
  /// the two then exchange the seat: both majorities, with the one and with the
  /// other, are needed until the old voter is removed, so the loss of either
  /// changes nothing. The seat is not taken while a loss of the learner would
  /// leave no majority of members that answer. A call for a learner with
  /// another `replaces` changes that. Returns Unavailable if not the leader,
  /// FailedPrecondition while another change is in progress, AlreadyExists for
  /// a member and NotFound if the voter to replace does not exist.
  absl::Status add_learner(time_point now, replica_member member);
  /// Removes a member. Returns NotFound if there is no such member; other
  /// errors as for add_learner().
  absl::Status remove_member(time_point now, const std::string& id);
  /// Returns whether `id` is a voter, the change is committed, the replica
  /// holds all committed entries and no change is in progress. Only
  /// meaningful on the leader.
  bool settled(const std::string& id) const;

  /// Returns the ids of the other members that have not answered for
  /// `election_max`. Only meaningful on the leader.
  std::set<std::string> silent_members(time_point now) const;

  /// Returns whether `id` is not a member and its absence is committed. Only
  /// meaningful on the leader.
  bool removed(const std::string& id) const;

  /// Returns the actions since the last call, to be performed in order. Call
  /// after each event, or after several simultaneous ones (group commit).
  std::vector<log_action> take_actions(time_point now);
  time_point next_deadline() const;

  log_role role() const;
  const hard_state& state() const { return state_; }
  /// Term on the disk: unlike that of state(), it survives a failed write.
  std::uint64_t stable_term() const { return stable_term_; }
  /// Process name of the leader, or "".
  const std::string& leader() const { return leader_process_; }
  std::uint64_t first_index() const { return log_.first_index(); }
  std::uint64_t stable_index() const { return stable_index_; }
  std::uint64_t last_index() const { return log_.last_index(); }
  std::uint64_t commit_index() const { return commit_index_; }
  std::uint64_t applied_index() const { return applied_index_; }
  std::uint64_t snapshot_index() const;
  const std::vector<replica_member>& members() const;
  const std::string& fault() const { return fault_; }
  /// Returns the entry at `index`, for checks. Precondition: the log holds it.
  const log_entry& entry_at(std::uint64_t index) const;

 private:
  // Replication state of another member, as known to the leader.
  struct follower_progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;  // highest index known to be synced there
    time_point heard;
    time_point sent;            // the last message of any kind
    std::uint64_t waiting = 0;  // sequence of the unanswered append, or 0
    time_point waiting_since;
    std::uint64_t commit_sent = 0;
    std::uint64_t snapshot_index = 0;   // snapshot being sent, or 0
    std::uint64_t snapshot_offset = 0;  // bytes the member has received
  };
  // A reply to be sent once the batch with this sequence is synced.
  struct held_reply {
    std::uint64_t sequence = 0;
    send_action reply;
  };
  // Members of the group, effective from the entry at `index`.
  struct member_list {
    std::uint64_t index = 0;
    std::vector<replica_member> members;
  };
  // A snapshot that has been received only in part.
  struct partial_snapshot {
    log_snapshot snapshot;
    std::uint64_t size = 0;
  };

  // replicated_log.cc: terms, writes, applying.
  void become_follower(time_point now, std::uint64_t term);
  void adopt_leader(time_point now, const log_header& header,
                    const std::string& process);
  void drop_leader();
  bool has_unwritten_state() const;
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
  std::uint64_t held_by_majority(const voter_set& voters) const;
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
  bool complete_exchange();
  bool promote_learner(time_point now);
  bool may_take_seat(time_point now, const replica_member& learner) const;
  bool answers(time_point now, const std::string& id) const;
  void remove_replaced_replica();
  void members_changed();
  void read_members(const log_entry& entry);
  const replica_member* find_member(const std::string& id) const;
  bool settled_voter(const std::string& id) const;

  replicated_log_options options_;
  std::mt19937_64 random_;
  hard_state state_;
  log_entries log_;
  std::optional<log_snapshot> snapshot_;
  std::vector<member_list>
      member_lists_;  // oldest first; the last is in effect

  log_role role_ = log_role::follower;  // follower, candidate, leader, failed
  std::string fault_;
  std::string leader_id_;
  std::string leader_process_;
  std::optional<time_point> heard_leader_;
  time_point election_deadline_;
  bool pre_vote_ = false;  // whether the candidate is in the pre-vote phase
  std::set<std::string> votes_;
  std::uint64_t self_vote_sequence_ = 0;  // batch with the vote for itself

  std::map<std::string, follower_progress> progress_;  // by replica id
  std::uint64_t next_sequence_ = 0;                    // of requests
  time_point quorum_since_;                            // leading since
  std::uint64_t term_start_ = 0;  // index of the leader's first entry

  std::uint64_t commit_index_ = 0;
  std::uint64_t applied_index_ = 0;
  std::uint64_t stable_index_ = 0;  // last synced index
  std::uint64_t stable_term_ = 0;   // last synced term
  std::optional<partial_snapshot> incoming_snapshot_;

  // Writes: at most one batch is in progress at a time.
  std::uint64_t last_batch_ = 0;
  bool writing_ = false;
  std::uint64_t writing_last_index_ =
      0;                               // last index that the batch makes stable
  std::uint64_t writing_term_ = 0;     // term that the batch makes stable
  std::uint64_t first_unwritten_ = 1;  // first index not in any batch yet
  bool state_dirty_ = false;
  bool snapshot_dirty_ = false;
  std::uint64_t restore_sequence_ =
      0;  // restore the state machines after this batch
  bool restore_pending_ = false;
  std::vector<held_reply> held_replies_;
  std::vector<log_action> actions_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_REPLICATED_LOG_H_
