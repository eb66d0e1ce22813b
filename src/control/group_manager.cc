#include "control/group_manager.h"

#include <algorithm>
#include <set>
#include <utility>

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

void group_manager::session_up(const std::string& process) {
  connected_.insert(process);
  lost_sessions_.erase(process);
}

void group_manager::session_lost(const std::string& process,
                                 time_point last_heard, time_point now) {
  connected_.erase(process);
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

std::string group_manager::replacement_reason(const replica_member& member,
                                              time_point now) const {
  const auto report = leaving_.find(member.id);
  const bool own = member.process == options_.process;
  const bool leaves =
      own ? leaves_
          : report != leaving_.end() && now - report->second < leaving_lifetime;
  if (leaves) {
    return member.process + " leaves";
  }
  if (!own && is_lost(member.process, now)) {
    return member.process + " is lost";
  }
  return "";
}

std::optional<group_step> group_manager::next_step(const group_state& state,
                                                   time_point now) {
  if (!state.has_disk) {
    return std::nullopt;
  }
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

std::optional<group_step> group_manager::next_leader_step(
    const group_state& state, time_point now) {
  // Members that this process has no session to, without having seen the loss,
  // count as disconnected from now on.
  for (const replica_member& member : state.members) {
    if (member.process != options_.process &&
        connected_.count(member.process) == 0) {
      lost_sessions_.emplace(member.process, lost_session{now, now});
    }
  }
  if (state.member_change_pending) {
    return std::nullopt;
  }
  for (const replica_member& member : state.members) {
    // A disconnected learner would block all other membership changes.
    if (!member.voter && is_lost(member.process, now)) {
      return remove_member_step{member.id, member.process + " is lost"};
    }
  }
  if (count_voters(state.members) > target_members()) {
    for (const replica_member& member : state.members) {
      const std::string reason = replacement_reason(member, now);
      if (member.voter && !reason.empty()) {
        return remove_member_step{member.id, reason};
      }
    }
  }
  return next_admission(state, now);
}

// Returns why a process that asks with an unknown replica id may join, or "".
std::string group_manager::admission_reason(const group_state& state,
                                            const std::string& process,
                                            time_point now) const {
  std::string reason;
  for (const replica_member& member : state.members) {
    if (member.process == process) {
      return "its disk is lost";
    }
    if (reason.empty()) {
      reason = replacement_reason(member, now);
    }
  }
  const bool has_vacancy = count_voters(state.members) < target_members();
  return has_vacancy ? "vacancy" : reason;
}

std::optional<group_step> group_manager::next_admission(
    const group_state& state, time_point now) {
  for (auto each = candidates_.begin(); each != candidates_.end();) {
    const std::string& process = each->first;
    const candidate& request = each->second;
    if (now - request.requested_at > options_.candidate_lifetime ||
        is_member(state.members, request.replica)) {
      each = candidates_.erase(each);
      continue;
    }
    const std::string reason = admission_reason(state, process, now);
    if (!reason.empty()) {
      add_member_step step{process, request.address, reason};
      candidates_.erase(each);
      return step;
    }
    ++each;
  }
  return std::nullopt;
}

}  // namespace citronwharf
