// Replication of the log: the leader sends each member one batch of entries at
// a time; entries proposed meanwhile go into the next batch.
#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "control/log_members.h"
#include "control/replicated_log.h"

namespace citronwharf {

void replicated_log::append_own(log_entry_kind kind, std::string data) {
  append_entry(
      log_entry{log_.last_index() + 1, state_.term, kind, {std::move(data)}});
}

void replicated_log::append_entry(log_entry entry) {
  log_.append(std::move(entry));
  const log_entry& appended = log_.at(log_.last_index());
  if (appended.kind == log_entry_kind::members) {
    read_members(appended);
    members_changed();
  }
}

void replicated_log::truncate_from(std::uint64_t index) {
  CHECK_GT(index, commit_index_) << "a committed entry would be lost";
  log_.truncate_from(index);
  stable_index_ = std::min(stable_index_, index - 1);
  writing_last_index_ = std::min(writing_last_index_, index - 1);
  first_unwritten_ = std::min(first_unwritten_, index);
  while (member_lists_.size() > 1 && member_lists_.back().index >= index) {
    member_lists_.pop_back();
    members_changed();
  }
}

void replicated_log::replicate(time_point now) {
  for (const replica_member& member : members()) {
    const auto found = progress_.find(member.id);
    if (found == progress_.end()) {
      continue;
    }
    follower_progress& to = found->second;
    const bool lost =
        to.waiting != 0 && now - to.waiting_since >= options_.resend_after;
    const bool ready = to.waiting == 0 || lost;
    if (ready && to.snapshot_index != 0) {
      send_snapshot(now, member, to);
    } else if (ready && (to.next <= log_.last_index() ||
                         to.commit_sent < std::min(commit_index_, to.match))) {
      send_append(now, member, to, true);
    } else if (now - to.sent >= options_.heartbeat) {
      send_append(now, member, to, false);
    }
  }
}

void replicated_log::send_append(time_point now, const replica_member& to,
                                 follower_progress& progress,
                                 bool with_entries) {
  append_request out;
  out.header = header_to(to.id);
  out.sequence = ++next_sequence_;
  out.commit_index = commit_index_;
  const auto previous_term = log_.term_at(progress.next - 1);
  if (previous_term && progress.next >= log_.first_index()) {
    out.previous_index = progress.next - 1;
    out.previous_term = *previous_term;
  } else if (with_entries) {
    send_snapshot(now, to, progress);
    return;
  }
  if (with_entries) {
    out.entries = log_.slice(progress.next, options_.max_append_entries,
                             options_.max_append_bytes);
  }
  if (!out.entries.empty()) {
    progress.waiting = out.sequence;
    progress.waiting_since = now;
  }
  progress.commit_sent = commit_index_;
  progress.sent = now;
  send(to.process, std::move(out));
}

// Returns the highest index that a majority of the voters hold on their disks.
std::uint64_t replicated_log::held_by_majority(const voter_set& voters) const {
  std::vector<std::uint64_t> held;
  for (const replica_member* member : voters) {
    const auto found = progress_.find(member->id);
    if (member->id == options_.id) {
      held.push_back(stable_index_);
    } else {
      held.push_back(found == progress_.end() ? 0 : found->second.match);
    }
  }
  if (held.empty()) {
    return 0;
  }
  std::sort(held.begin(), held.end(), std::greater<>());
  return held[held.size() / 2];
}

void replicated_log::advance_commit() {
  std::uint64_t index = log_.last_index();
  for (const voter_set& voters : voter_sets(members())) {
    index = std::min(index, held_by_majority(voters));
  }
  // An entry of an older term is committed only through an entry of the current
  // term.
  if (index > commit_index_ && log_.term_at(index) == state_.term) {
    commit_index_ = index;
  }
}

void replicated_log::handle(time_point now, const std::string& from,
                            const append_request& in) {
  adopt_leader(now, in.header, from);
  append_reply out{header_to(in.header.from), in.sequence, false, 0};
  const auto known = log_.term_at(in.previous_index);
  const bool committed = in.previous_index <= commit_index_;
  if (!committed && known != in.previous_term) {
    out.match_index = retry_hint(in.previous_index);
    reply_after_sync(from, out);
    return;
  }
  for (const log_entry& entry : in.entries) {
    if (entry.index <= commit_index_) {
      continue;
    }
    if (log_.term_at(entry.index) == entry.term) {
      continue;
    }
    if (entry.index <= log_.last_index()) {
      truncate_from(entry.index);
    }
    append_entry(entry);
  }
  out.ok = true;
  out.match_index = in.previous_index + in.entries.size();
  commit_index_ =
      std::max(commit_index_, std::min(in.commit_index, out.match_index));
  reply_after_sync(from, out);
}

// Index that the leader tries next: before the entries of the conflicting term.
std::uint64_t replicated_log::retry_hint(std::uint64_t previous_index) const {
  if (previous_index > log_.last_index()) {
    return log_.last_index();
  }
  const auto conflicting = log_.term_at(previous_index);
  std::uint64_t index = previous_index - 1;
  while (index > commit_index_ && log_.term_at(index) == conflicting) {
    --index;
  }
  return index;
}

void replicated_log::handle(time_point now, const std::string& /*from*/,
                            const append_reply& in) {
  const auto found = progress_.find(in.header.from);
  if (role_ != log_role::leader || found == progress_.end()) {
    return;
  }
  follower_progress& progress = found->second;
  progress.heard = now;
  const bool answered = in.sequence >= progress.waiting;
  if (answered) {
    progress.waiting = 0;
  }
  if (in.ok) {
    progress.match = std::max(progress.match, in.match_index);
    progress.next = std::max(progress.next, progress.match + 1);
    if (progress.match >= progress.snapshot_index) {
      progress.snapshot_index = 0;
    }
    return;
  }
  if (answered && progress.next > progress.match + 1) {
    const std::uint64_t hint = std::min(in.match_index + 1, progress.next - 1);
    progress.next = std::max(progress.match + 1, hint);
  }
}

}  // namespace citronwharf
