// Snapshots of the replicated log: taken locally, or sent in parts to a member
// whose next entry is no longer in the leader's log.
#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "control/replicated_log.h"

namespace citronwharf {

void replicated_log::take_snapshot(std::string state) {
  if (role_ == log_role::failed || restore_pending_ ||
      applied_index_ <= snapshot_index()) {
    return;
  }
  log_snapshot taken;
  taken.index = applied_index_;
  taken.term = log_.at(applied_index_).term;
  for (const member_list& list : member_lists_) {
    if (list.index <= applied_index_) {
      taken.members = list.members;
    }
  }
  taken.data.bytes = std::move(state);
  snapshot_ = std::move(taken);
  snapshot_dirty_ = true;
  log_.compact(snapshot_->index, snapshot_->term, options_.keep_entries,
               options_.keep_bytes);
  while (member_lists_.size() > 1 &&
         member_lists_[1].index <= snapshot_->index) {
    member_lists_.erase(member_lists_.begin());
  }
}

void replicated_log::send_snapshot(time_point now, const replica_member& to,
                                   follower_progress& progress) {
  CHECK(snapshot_);
  if (progress.snapshot_index != snapshot_->index) {
    progress.snapshot_index = snapshot_->index;
    progress.snapshot_offset = 0;
  }
  const std::string& bytes = snapshot_->data.bytes;
  snapshot_request out;
  out.header = header_to(to.id);
  out.sequence = ++next_sequence_;
  out.part.index = snapshot_->index;
  out.part.term = snapshot_->term;
  out.part.members = snapshot_->members;
  out.offset = std::min<std::uint64_t>(progress.snapshot_offset, bytes.size());
  out.size = bytes.size();
  out.part.data.bytes = bytes.substr(out.offset, options_.snapshot_part_bytes);
  progress.waiting = out.sequence;
  progress.waiting_since = now;
  progress.sent = now;
  send(to.process, std::move(out));
}

void replicated_log::handle(time_point now, const std::string& from,
                            const snapshot_request& in) {
  adopt_leader(now, in.header, from);
  if (in.part.index <= commit_index_) {
    // The committed log already covers the snapshot; nothing to install.
    reply_after_sync(from, append_reply{header_to(in.header.from), in.sequence,
                                        true, in.part.index});
    return;
  }
  const bool same = incoming_snapshot_ &&
                    incoming_snapshot_->snapshot.index == in.part.index &&
                    incoming_snapshot_->snapshot.term == in.part.term;
  if (!same) {
    incoming_snapshot_ = partial_snapshot{in.part, in.size};
    incoming_snapshot_->snapshot.data.bytes.clear();
  }
  std::string& bytes = incoming_snapshot_->snapshot.data.bytes;
  if (in.offset == bytes.size()) {
    bytes += in.part.data.bytes;
  }
  if (bytes.size() < incoming_snapshot_->size) {
    send(from, snapshot_reply{header_to(in.header.from), in.sequence,
                              in.part.index, bytes.size()});
    return;
  }
  install_snapshot(std::move(incoming_snapshot_->snapshot));
  incoming_snapshot_.reset();
  reply_after_sync(from, append_reply{header_to(in.header.from), in.sequence,
                                      true, in.part.index});
}

void replicated_log::install_snapshot(log_snapshot snapshot) {
  const bool matches = log_.term_at(snapshot.index) == snapshot.term;
  log_.compact(snapshot.index, snapshot.term, options_.keep_entries,
               options_.keep_bytes);
  commit_index_ = snapshot.index;
  if (!matches) {
    member_lists_.clear();
    stable_index_ = std::min(stable_index_, snapshot.index);
    writing_last_index_ = std::min(writing_last_index_, snapshot.index);
  }
  while (!member_lists_.empty() &&
         member_lists_.front().index <= snapshot.index) {
    member_lists_.erase(member_lists_.begin());
  }
  member_lists_.insert(member_lists_.begin(),
                       {snapshot.index, snapshot.members});
  members_changed();
  snapshot_ = std::move(snapshot);
  snapshot_dirty_ = true;
  restore_pending_ = true;
  restore_sequence_ = covering_sequence();
}

void replicated_log::handle(time_point now, const std::string& /*from*/,
                            const snapshot_reply& in) {
  const auto found = progress_.find(in.header.from);
  if (role_ != log_role::leader || found == progress_.end()) {
    return;
  }
  follower_progress& progress = found->second;
  progress.heard = now;
  if (in.sequence >= progress.waiting) {
    progress.waiting = 0;
  }
  if (in.index == progress.snapshot_index) {
    progress.snapshot_offset = in.offset;
  }
}

}  // namespace citronwharf
