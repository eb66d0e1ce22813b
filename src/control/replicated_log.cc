#include "control/replicated_log.h"

#include <fmt/format.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

const log_header& header_of(const log_message& message) {
  return std::visit(
      [](const auto& in) -> const log_header& { return in.header; }, message);
}

bool from_leader(const log_message& message) {
  return std::holds_alternative<append_request>(message) ||
         std::holds_alternative<snapshot_request>(message);
}

bool is_granted_pre_vote(const log_message& message) {
  const auto* reply = std::get_if<vote_reply>(&message);
  return reply != nullptr && reply->pre_vote && reply->granted;
}

}  // namespace

const char* to_text(log_role role) {
  switch (role) {
    case log_role::outside:
      return "outside";
    case log_role::learner:
      return "learner";
    case log_role::follower:
      return "follower";
    case log_role::candidate:
      return "candidate";
    case log_role::leader:
      return "leader";
    case log_role::failed:
      return "failed";
  }
  return "";
}

replicated_log::replicated_log(replicated_log_options options,
                               std::mt19937_64 random, restored_log restored,
                               time_point now)
    : options_(std::move(options)),
      random_(random),
      state_(std::move(restored.state)),
      log_(restored.snapshot ? restored.snapshot->index : 0,
           restored.snapshot ? restored.snapshot->term : 0, restored.entries),
      snapshot_(std::move(restored.snapshot)),
      stable_index_(log_.last_index()),
      stable_term_(state_.term),
      first_unwritten_(stable_index_ + 1) {
  if (snapshot_) {
    commit_index_ = snapshot_->index;
    applied_index_ = snapshot_->index;
    member_lists_.push_back({snapshot_->index, snapshot_->members});
    actions_.emplace_back(restore_action{*snapshot_});
  } else {
    member_lists_.push_back({0, {}});
  }
  for (std::uint64_t i = applied_index_ + 1; i <= log_.last_index(); ++i) {
    read_members(log_.at(i));
  }
  members_changed();
  reset_election_deadline(now);
}

absl::Status replicated_log::make_group(time_point now,
                                        const std::string& group) {
  if (role_ == log_role::failed) {
    return absl::UnavailableError(fault_);
  }
  if (!state_.group.empty()) {
    return absl::FailedPreconditionError(
        fmt::format("the data folder belongs to group {}", state_.group));
  }
  state_ = hard_state{group, 1, ""};
  state_dirty_ = true;
  const std::vector<replica_member> members{
      {options_.id, options_.process, options_.address, true}};
  propose_members(members);
  election_deadline_ = now;
  return absl::OkStatus();
}

absl::StatusOr<log_position> replicated_log::propose(time_point /*now*/,
                                                     std::string command) {
  if (role_ != log_role::leader) {
    return absl::UnavailableError(
        fmt::format("not the leader; leader: {}", leader_process_));
  }
  if (command.size() > options_.max_command_bytes) {
    return absl::InvalidArgumentError(
        fmt::format("command of {} bytes, at most {}", command.size(),
                    options_.max_command_bytes));
  }
  append_own(log_entry_kind::command, std::move(command));
  return log_position{log_.last_index(), state_.term};
}

void replicated_log::receive(time_point now, const std::string& from,
                             const log_message& message) {
  const log_header& header = header_of(message);
  if (role_ == log_role::failed || header.to != options_.id) {
    return;
  }
  if (!accept_group(header, message) ||
      !accept_term(now, header, message, from)) {
    return;
  }
  std::visit([&](const auto& in) { handle(now, from, in); }, message);
}

// A replica without a group joins the group of the first leader that addresses
// it by its id.
bool replicated_log::accept_group(const log_header& header,
                                  const log_message& message) {
  if (state_.group == header.group) {
    return !header.group.empty();
  }
  if (!state_.group.empty() || !from_leader(message)) {
    return false;
  }
  state_.group = header.group;
  state_dirty_ = true;
  return true;
}

// Returns whether the message is to be handled. Advances to the term of the
// message if that is newer, except for pre-vote requests and granted pre-vote
// replies. While the replica is in contact with a leader, a vote request of a
// newer term is also rejected, without advancing the term.
bool replicated_log::accept_term(time_point now, const log_header& header,
                                 const log_message& message,
                                 const std::string& from) {
  if (header.term < state_.term) {
    if (from_leader(message)) {
      // The newer term in the reply makes a stale leader step down.
      reply_after_sync(from, append_reply{header_to(header.from), 0, false, 0});
    } else if (const auto* in = std::get_if<vote_request>(&message)) {
      reply_after_sync(from,
                       vote_reply{header_to(header.from), in->pre_vote, false});
    }
    return false;
  }
  if (header.term == state_.term) {
    return true;
  }
  if (const auto* in = std::get_if<vote_request>(&message)) {
    if (in->pre_vote) {
      return true;
    }
    if (hears_leader(now)) {
      return false;
    }
  }
  if (is_granted_pre_vote(message)) {
    return true;
  }
  become_follower(now, header.term);
  return true;
}

void replicated_log::become_follower(time_point now, std::uint64_t term) {
  if (term > state_.term) {
    state_.term = term;
    state_.vote.clear();
    state_dirty_ = true;
    // Replies of an older term are obsolete.
    held_replies_.clear();
  }
  role_ = log_role::follower;
  self_vote_sequence_ = 0;
  votes_.clear();
  progress_.clear();
  drop_leader();
  reset_election_deadline(now);
}

void replicated_log::drop_leader() {
  leader_id_.clear();
  leader_process_.clear();
}

void replicated_log::adopt_leader(time_point now, const log_header& header,
                                  const std::string& process) {
  CHECK(role_ != log_role::leader) << "two leaders in term " << state_.term;
  if (role_ == log_role::candidate) {
    become_follower(now, state_.term);
  }
  leader_id_ = header.from;
  leader_process_ = process;
  heard_leader_ = now;
  reset_election_deadline(now);
}

void replicated_log::tick(time_point now) {
  if (role_ == log_role::failed) {
    return;
  }
  if (role_ == log_role::leader) {
    step_down_without_majority(now);
    return;
  }
  if (now < election_deadline_) {
    return;
  }
  drop_leader();
  if (may_campaign() && !restore_pending_) {
    start_election(now, true);
  } else {
    reset_election_deadline(now);
  }
}

time_point replicated_log::next_deadline() const {
  if (role_ != log_role::leader) {
    return election_deadline_;
  }
  time_point earliest = time_point::max();
  for (const auto& [id, progress] : progress_) {
    earliest = std::min(earliest, progress.sent + options_.heartbeat);
  }
  return earliest;
}

bool replicated_log::has_unwritten_state() const {
  return state_dirty_ || snapshot_dirty_ ||
         first_unwritten_ <= log_.last_index();
}

// Sequence of the batch that makes all current state durable, or 0 if all of
// it is synced already.
std::uint64_t replicated_log::covering_sequence() const {
  if (has_unwritten_state()) {
    return last_batch_ + 1;
  }
  return writing_ ? last_batch_ : 0;
}

void replicated_log::reply_after_sync(const std::string& process,
                                      log_message message) {
  const std::uint64_t sequence = covering_sequence();
  if (sequence == 0) {
    send(process, std::move(message));
    return;
  }
  held_replies_.push_back({sequence, send_action{process, std::move(message)}});
}

void replicated_log::send(const std::string& process, log_message message) {
  actions_.emplace_back(send_action{process, std::move(message)});
}

log_header replicated_log::header_to(const std::string& id) const {
  return log_header{state_.group, options_.id, id, state_.term};
}

void replicated_log::flush() {
  if (writing_ || !has_unwritten_state()) {
    return;
  }
  log_batch batch;
  batch.sequence = ++last_batch_;
  if (state_dirty_) {
    batch.state = state_;
  }
  if (snapshot_dirty_) {
    batch.snapshot = snapshot_;
    batch.entries = log_.from(log_.first_index());
  } else {
    batch.entries = log_.from(first_unwritten_);
  }
  state_dirty_ = false;
  snapshot_dirty_ = false;
  first_unwritten_ = log_.last_index() + 1;
  writing_last_index_ = log_.last_index();
  writing_term_ = state_.term;
  writing_ = true;
  actions_.emplace_back(write_action{std::move(batch)});
}

void replicated_log::written(time_point now, std::uint64_t sequence) {
  if (role_ == log_role::failed) {
    return;
  }
  CHECK(writing_ && sequence == last_batch_);
  writing_ = false;
  stable_index_ = std::max(stable_index_, writing_last_index_);
  stable_term_ = writing_term_;
  std::vector<held_reply> waiting;
  for (held_reply& held : held_replies_) {
    if (held.sequence <= sequence) {
      actions_.emplace_back(std::move(held.reply));
    } else {
      waiting.push_back(std::move(held));
    }
  }
  held_replies_ = std::move(waiting);
  if (restore_pending_ && restore_sequence_ <= sequence) {
    restore_pending_ = false;
    applied_index_ = snapshot_->index;
    actions_.emplace_back(restore_action{*snapshot_});
  }
  if (self_vote_sequence_ != 0 && self_vote_sequence_ <= sequence) {
    self_vote_sequence_ = 0;
    count_vote(now, options_.id);
  }
}

void replicated_log::write_failed(const std::string& reason) {
  role_ = log_role::failed;
  fault_ = reason;
  held_replies_.clear();
  actions_.clear();
  progress_.clear();
  drop_leader();
  election_deadline_ = time_point::max();
}

void replicated_log::apply_committed() {
  if (restore_pending_) {
    return;
  }
  const std::uint64_t last = std::min(commit_index_, stable_index_);
  while (applied_index_ < last) {
    const log_entry& entry = log_.at(++applied_index_);
    if (entry.kind == log_entry_kind::command) {
      actions_.emplace_back(apply_action{entry});
    }
  }
}

std::vector<log_action> replicated_log::take_actions(time_point now) {
  if (role_ == log_role::leader) {
    advance_commit();
    advance_membership(now);
    replicate(now);
  }
  if (role_ != log_role::failed) {
    flush();
    apply_committed();
  }
  return std::exchange(actions_, {});
}

log_role replicated_log::role() const {
  if (role_ == log_role::failed || role_ == log_role::leader) {
    return role_;
  }
  const replica_member* self = find_member(options_.id);
  if (self == nullptr) {
    return log_role::outside;
  }
  return self->voter ? role_ : log_role::learner;
}

std::uint64_t replicated_log::snapshot_index() const {
  return snapshot_ ? snapshot_->index : 0;
}

const log_entry& replicated_log::entry_at(std::uint64_t index) const {
  return log_.at(index);
}

}  // namespace citronwharf
