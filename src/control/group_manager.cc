#include "control/group_manager.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citronwharf {
namespace {

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

void group_manager::set_session_state(const std::string& process, bool up,
                                      time_point now) {
  connected_[process] = up;
  if (up) {
    disconnected_since_.erase(process);
  } else {
    disconnected_since_.emplace(process, now);
  }
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

bool group_manager::is_long_disconnected(const std::string& process,
                                         time_point now) const {
  const auto found = disconnected_since_.find(process);
  return found != disconnected_since_.end() &&
         now - found->second >= options_.replace_after;
}

std::optional<group_step> group_manager::next_step(const group_state& state,
                                                   time_point now) {
  if (!state.has_disk) {
    return std::nullopt;
  }
  if (state.leads) {
    return next_leader_step(state, now);
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
    if (member.process != options_.process && !connected_[member.process]) {
      disconnected_since_.emplace(member.process, now);
    }
  }
  if (state.member_change_pending) {
    return std::nullopt;
  }
  for (const replica_member& member : state.members) {
    // A disconnected learner would block all other membership changes.
    if (!member.voter && is_long_disconnected(member.process, now)) {
      return remove_member_step{member.id};
    }
  }
  if (count_voters(state.members) > target_members()) {
    for (const replica_member& member : state.members) {
      if (member.voter && member.process != options_.process &&
          is_long_disconnected(member.process, now)) {
        return remove_member_step{member.id};
      }
    }
  }
  return next_admission(state, now);
}

std::optional<group_step> group_manager::next_admission(
    const group_state& state, time_point now) {
  const bool has_vacancy = count_voters(state.members) < target_members();
  const bool has_replaceable_member =
      std::any_of(state.members.begin(), state.members.end(),
                  [&](const replica_member& member) {
                    return member.process != options_.process &&
                           is_long_disconnected(member.process, now);
                  });
  for (auto each = candidates_.begin(); each != candidates_.end();) {
    const std::string& process = each->first;
    const candidate& request = each->second;
    if (now - request.requested_at > options_.candidate_lifetime ||
        is_member(state.members, request.replica)) {
      each = candidates_.erase(each);
      continue;
    }
    // A member process that asks with an unknown replica id has lost its disk.
    const bool has_lost_disk =
        std::any_of(state.members.begin(), state.members.end(),
                    [&](const replica_member& member) {
                      return member.process == process;
                    });
    if (has_lost_disk || has_vacancy || has_replaceable_member) {
      add_member_step step{process, request.address};
      candidates_.erase(each);
      return step;
    }
    ++each;
  }
  return std::nullopt;
}

}  // namespace citronwharf
