#include "control/group_manager.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "control/log_members.h"

namespace citronwharf {
namespace {

// Part of the repair time that it takes to add the successor and to remove the
// lost member: connections, a few commits on slow disks, and polls.
constexpr duration replacement_time = milliseconds(1500);
// Sessions to members that are up come back sooner after this process stalled
// or a connection was reset.
constexpr duration reconnect_time = milliseconds(300);
// Members that leave report it several times per second.
constexpr duration leaving_lifetime = seconds(2);

std::size_t count_voters(const std::vector<replica_member>& members) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const replica_member& each) { return each.voter; }));
}

bool is_member(const std::vector<replica_member>& members,
               const std::string& replica) {
  return !replica.empty() && std::any_of(members.begin(), members.end(),
                                         [&](const replica_member& each) {
                                           return each.id == replica;
                                         });
}

}  // namespace

group_manager::group_manager(group_manager_options options)
    : options_(std::move(options)) {}

bool group_manager::has_enough_voters(const group_state& state) const {
  std::set<std::string> processes;
  for (const replica_member& member : state.members) {
    if (member.voter) {
      processes.insert(member.process);
    }
  }
  return processes.size() >= target_members();
}

void group_manager::add_candidate(const std::string& process,
                                  const std::string& address,
                                  const std::string& replica, time_point now) {
  candidates_[process] = {address, replica, now};
}

bool group_manager::renew_candidate(const std::string& process,
                                    time_point now) {
  const auto found = candidates_.find(process);
  if (found == candidates_.end()) {
    return false;
  }
  found->second.requested_at = now;
  return true;
}

void group_manager::session_up(const std::string& process) {
  connected_.insert(process);
  lost_sessions_.erase(process);
}

void group_manager::session_lost(const std::string& process,
                                 time_point last_heard, time_point now) {
  connected_.erase(process);
  candidates_.erase(process);
  lost_sessions_.emplace(process, lost_session{last_heard, now});
}

void group_manager::add_leaving(const std::string& replica, time_point now) {
  leaving_[replica] = now;
}

void group_manager::set_seeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
}

// All processes have the same seeds at the first start, so only the one with
// the smallest address creates the group.
bool group_manager::should_create_group() const {
  return options_.first_start && !options_.seeds.empty() &&
         *std::min_element(options_.seeds.begin(), options_.seeds.end()) ==
             options_.address;
}

// Counted from when the member was last heard from, since its successor may
// have started right then.
bool group_manager::is_lost(const std::string& process, time_point now) const {
  const auto found = lost_sessions_.find(process);
  return found != lost_sessions_.end() &&
         now - found->second.lost_at >= reconnect_time &&
         now - found->second.last_heard >=
             options_.repair_time - replacement_time;
}

bool group_manager::leaves(const replica_member& member, time_point now) const {
  if (member.process == options_.process) {
    return leaves_;
  }
  const auto report = leaving_.find(member.id);
  return report != leaving_.end() && now - report->second < leaving_lifetime;
}

std::string group_manager::replacement_reason(const replica_member& member,
                                              time_point now) const {
  if (member.process != options_.process && is_lost(member.process, now)) {
    return member.process + " is lost";
  }
  return leaves(member, now) ? member.process + " leaves" : "";
}

std::optional<group_step> group_manager::next_step(const group_state& state,
                                                   time_point now) {
  if (!state.has_disk) {
    return std::nullopt;
  }
  record_disconnected(state, now);
  if (state.leads) {
    return next_leader_step(state, now);
  }
  if (leaves_) {
    const bool announce = is_member(state.members, state.replica) &&
                          !state.leader.empty() &&
                          state.leader != options_.process;
    return announce
               ? std::optional<group_step>(announce_leave_step{state.leader})
               : std::nullopt;
  }
  if (!state.in_group && should_create_group() && state.leader.empty()) {
    return create_group_step{};
  }
  if (!is_member(state.members, state.replica) && !state.leader.empty() &&
      state.leader != options_.process) {
    return request_join_step{state.leader};
  }
  return std::nullopt;
}

// Members that this process has no session to, without having seen the loss,
// count as disconnected from now on. A follower records them too, since it may
// lead next.
void group_manager::record_disconnected(const group_state& state,
                                        time_point now) {
  for (const replica_member& member : state.members) {
    if (member.process != options_.process &&
        connected_.count(member.process) == 0) {
      lost_sessions_.emplace(member.process, lost_session{now, now});
    }
  }
}

std::optional<group_step> group_manager::next_leader_step(
    const group_state& state, time_point now) {
  if (seat_changes_hands(state.members)) {
    return std::nullopt;  // the log completes this by itself
  }
  drop_candidates(state, now);
  const auto learner =
      std::find_if(state.members.begin(), state.members.end(),
                   [](const replica_member& member) { return !member.voter; });
  if (learner != state.members.end()) {
    return next_learner_step(state, *learner, now);
  }
  if (count_voters(state.members) > target_members()) {
    for (const replica_member& member : state.members) {
      const std::string reason = replacement_reason(member, now);
      if (!reason.empty()) {
        return remove_member_step{member.id, reason};
      }
    }
  }
  return next_admission(state, now);
}

// A learner holds up all other membership changes, so it gives way as soon as
// it is of no use.
std::optional<group_step> group_manager::next_learner_step(
    const group_state& state, const replica_member& learner,
    time_point now) const {
  const std::string& process = learner.process;
  const std::string reason = replacement_reason(learner, now);
  if (!reason.empty()) {
    return remove_member_step{learner.id, reason};
  }
  const bool disk_lost = candidates_.count(process) != 0;
  const bool others_wait = candidates_.size() > (disk_lost ? 1 : 0);
  if (others_wait && state.silent.count(learner.id) != 0) {
    return remove_member_step{learner.id, process + " does not answer"};
  }
  const auto seat = find_seat(state, process, now);
  if (!seat) {
    return std::nullopt;
  }
  replica_member changed = learner;
  changed.replaces = seat->replaces;
  if (disk_lost) {
    const candidate& request = candidates_.at(process);
    changed.id = request.replica;
    changed.address = request.address;
  }
  if (changed == learner) {
    return std::nullopt;
  }
  return add_member_step{std::move(changed), seat->reason};
}

// Returns the seat that a process may take: its own one if it lost its disk, or
// else one that is free, or that of a member that is lost or leaves. A seat
// that is lost goes first, since the group has no member for it.
std::optional<group_manager::vacant_seat> group_manager::find_seat(
    const group_state& state, const std::string& process,
    time_point now) const {
  std::optional<vacant_seat> lost;
  std::optional<vacant_seat> leaving;
  for (const replica_member& member : state.members) {
    if (!member.voter) {
      continue;
    }
    if (member.process == process) {
      return vacant_seat{member.id, "its disk is lost"};
    }
    const std::string reason = replacement_reason(member, now);
    if (reason.empty()) {
      continue;
    }
    auto& found = is_lost(member.process, now) ? lost : leaving;
    if (!found) {
      found = vacant_seat{member.id, reason};
    }
  }
  if (count_voters(state.members) < target_members()) {
    return vacant_seat{"", "vacancy"};
  }
  return lost ? lost : leaving;
}

void group_manager::drop_candidates(const group_state& state, time_point now) {
  for (auto each = candidates_.begin(); each != candidates_.end();) {
    const candidate& request = each->second;
    const bool dropped =
        now - request.requested_at > options_.candidate_lifetime ||
        is_member(state.members, request.replica);
    each = dropped ? candidates_.erase(each) : std::next(each);
  }
}

std::optional<group_step> group_manager::next_admission(
    const group_state& state, time_point now) {
  // The one that asked last is the most likely to be still up.
  auto chosen = candidates_.end();
  std::optional<vacant_seat> chosen_seat;
  for (auto each = candidates_.begin(); each != candidates_.end(); ++each) {
    const bool newer = chosen == candidates_.end() ||
                       each->second.requested_at > chosen->second.requested_at;
    auto seat = newer ? find_seat(state, each->first, now) : std::nullopt;
    if (seat) {
      chosen = each;
      chosen_seat = std::move(seat);
    }
  }
  if (!chosen_seat) {
    return std::nullopt;
  }
  const auto& [process, request] = *chosen;
  add_member_step step{
      {request.replica, process, request.address, false, chosen_seat->replaces},
      chosen_seat->reason};
  candidates_.erase(chosen);
  return step;
}

}  // namespace citronwharf
