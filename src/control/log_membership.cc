// Membership of the replicated log: one change at a time. A new member is a
// learner until it holds all committed entries. Then it takes a seat that is
// free, or in two steps that of another voter (joint consensus).
#include <fmt/format.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "control/log_members.h"
#include "control/replicated_log.h"

namespace citronwharf {

const std::vector<replica_member>& replicated_log::members() const {
  return member_lists_.back().members;
}

const replica_member* replicated_log::find_member(const std::string& id) const {
  for (const replica_member& member : members()) {
    if (member.id == id) {
      return &member;
    }
  }
  return nullptr;
}

void replicated_log::read_members(const log_entry& entry) {
  if (entry.kind == log_entry_kind::members) {
    member_lists_.push_back({entry.index, decode_members(entry.data.bytes)});
  }
}

void replicated_log::propose_members(
    const std::vector<replica_member>& members) {
  append_own(log_entry_kind::members, encode_members(members));
}

// Limits a leader's progress_ to the current members and notifies the driver.
void replicated_log::members_changed() {
  actions_.emplace_back(members_action{members()});
  if (role_ != log_role::leader) {
    return;
  }
  std::map<std::string, follower_progress> kept;
  for (const replica_member& member : members()) {
    if (member.id == options_.id) {
      continue;
    }
    const auto found = progress_.find(member.id);
    if (found != progress_.end()) {
      kept.insert(*found);
      continue;
    }
    follower_progress fresh;
    fresh.next = log_.last_index() + 1;
    fresh.heard = quorum_since_;
    kept.emplace(member.id, fresh);
  }
  progress_ = std::move(kept);
}

// A leader changes members only after an entry of its own term and the last
// change are committed; otherwise two majorities might not overlap.
absl::Status replicated_log::check_change() const {
  if (role_ != log_role::leader) {
    return absl::UnavailableError(
        fmt::format("not the leader; leader: {}", leader_process_));
  }
  if (commit_index_ < term_start_ ||
      commit_index_ < member_lists_.back().index) {
    return absl::FailedPreconditionError(
        "another change of members is under way");
  }
  return absl::OkStatus();
}

absl::Status replicated_log::add_learner(time_point now,
                                         replica_member member) {
  absl::Status allowed = check_change();
  if (!allowed.ok()) {
    return allowed;
  }
  member.voter = false;
  std::vector<replica_member> changed;
  std::set<std::string> voting_processes;
  for (const replica_member& old : members()) {
    // A learner that lost its disk is replaced by the new replica of its
    // process.
    if (!old.voter && old.process == member.process) {
      continue;
    }
    const bool twice =
        old.voter && !voting_processes.insert(old.process).second;
    if (!old.voter || twice) {
      return absl::FailedPreconditionError(
          "another change of members is under way");
    }
    if (old.process == member.process) {
      member.replaces = old.id;
    }
    changed.push_back(old);
  }
  const replica_member* known = find_member(member.id);
  if (known != nullptr && (known->voter || *known == member)) {
    return absl::AlreadyExistsError(
        fmt::format("replica {} is a member", member.id));
  }
  if (!member.replaces.empty() && !is_voter(member.replaces)) {
    return absl::NotFoundError(
        fmt::format("no voter {} to replace", member.replaces));
  }
  const std::string id = member.id;
  changed.push_back(std::move(member));
  propose_members(changed);
  progress_.at(id).heard = now;
  return absl::OkStatus();
}

absl::Status replicated_log::remove_member(time_point /*now*/,
                                           const std::string& id) {
  absl::Status allowed = check_change();
  if (!allowed.ok()) {
    return allowed;
  }
  if (find_member(id) == nullptr) {
    return absl::NotFoundError(fmt::format("no member {}", id));
  }
  std::vector<replica_member> changed;
  bool voters = false;
  for (const replica_member& old : members()) {
    if (old.id != id) {
      changed.push_back(old);
      voters = voters || old.voter;
    }
  }
  if (!voters) {
    return absl::FailedPreconditionError("the last voter can't be removed");
  }
  propose_members(changed);
  return absl::OkStatus();
}

// Takes the next step of a change. A leader that is no longer a member keeps
// leading until its removal is committed.
void replicated_log::advance_membership(time_point now) {
  if (!check_change().ok()) {
    return;
  }
  if (find_member(options_.id) == nullptr) {
    become_follower(now, state_.term);
    return;
  }
  if (!complete_exchange() && !promote_learner(now)) {
    remove_replaced_replica();
  }
}

// Removes the voter whose seat is taken over, once both majorities hold the
// list with the two.
bool replicated_log::complete_exchange() {
  if (!seat_changes_hands(members())) {
    return false;
  }
  std::set<std::string> replaced;
  std::vector<replica_member> changed = members();
  for (replica_member& member : changed) {
    if (member.voter && !member.replaces.empty()) {
      replaced.insert(std::exchange(member.replaces, ""));
    }
  }
  changed.erase(std::remove_if(changed.begin(), changed.end(),
                               [&](const replica_member& member) {
                                 return replaced.count(member.id) != 0;
                               }),
                changed.end());
  propose_members(changed);
  return true;
}

bool replicated_log::promote_learner(time_point now) {
  std::vector<replica_member> changed = members();
  for (replica_member& member : changed) {
    const auto found = progress_.find(member.id);
    if (member.voter || found == progress_.end() ||
        found->second.match < commit_index_ || !may_take_seat(now, member)) {
      continue;
    }
    member.voter = true;
    if (!is_voter(member.replaces)) {
      member.replaces.clear();
    }
    propose_members(changed);
    return true;
  }
  return false;
}

// Returns whether the group could go on if the learner were lost as soon as it
// votes, also without the member that it replaces. If all others answer, that
// is as good as it gets: a group of one or two can't go on without any of them.
bool replicated_log::may_take_seat(time_point now,
                                   const replica_member& learner) const {
  if (!is_voter(learner.replaces)) {
    return true;
  }
  std::vector<replica_member> promoted = members();
  std::set<std::string> answering;
  std::size_t others = 0;
  for (replica_member& member : promoted) {
    if (member.id == learner.id) {
      member.voter = true;
    } else if (member.voter && member.id != learner.replaces) {
      ++others;
      if (answers(now, member.id)) {
        answering.insert(member.id);
      }
    }
  }
  return answering.size() == others || is_majority(promoted, answering);
}

// Returns whether a member has answered this leader, and lately.
bool replicated_log::answers(time_point now, const std::string& id) const {
  const auto found = progress_.find(id);
  return id == options_.id ||
         (found != progress_.end() && found->second.match >= term_start_ &&
          now - found->second.heard < options_.election_max);
}

// Logs of earlier versions may hold two voters of a process.
void replicated_log::remove_replaced_replica() {
  std::vector<replica_member> changed = members();
  for (auto old = changed.begin(); old != changed.end(); ++old) {
    const bool replaced =
        std::any_of(old + 1, changed.end(), [&](const replica_member& newer) {
          return newer.voter && newer.process == old->process &&
                 settled_voter(newer.id);
        });
    if (replaced) {
      changed.erase(old);
      propose_members(changed);
      return;
    }
  }
}

std::set<std::string> replicated_log::silent_members(time_point now) const {
  std::set<std::string> silent;
  for (const auto& [id, progress] : progress_) {
    if (now - progress.heard >= options_.election_max) {
      silent.insert(id);
    }
  }
  return silent;
}

bool replicated_log::settled_voter(const std::string& id) const {
  if (id == options_.id) {
    return is_voter(id);
  }
  const auto found = progress_.find(id);
  return is_voter(id) && found != progress_.end() &&
         found->second.match >= commit_index_;
}

bool replicated_log::settled(const std::string& id) const {
  const replica_member* self = find_member(id);
  if (!check_change().ok() || self == nullptr) {
    return false;
  }
  const auto older = std::count_if(members().begin(), members().end(),
                                   [&](const replica_member& member) {
                                     return member.process == self->process;
                                   });
  return older == 1 && settled_voter(id);
}

bool replicated_log::removed(const std::string& id) const {
  return commit_index_ >= member_lists_.back().index &&
         find_member(id) == nullptr;
}

}  // namespace citronwharf
