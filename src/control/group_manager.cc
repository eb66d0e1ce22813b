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

bool group_manager::complete(const group_state& state) const {
  std::set<std::string> processes;
  for (const replica_member& member : state.members) {
    if (member.voter) {
      processes.insert(member.process);
    }
  }
  return processes.size() >= target_members();
}

void group_manager::wants_to_join(const std::string& process,
                                  const std::string& address,
                                  const std::string& replica, time_point now) {
  candidates_[process] = {address, replica, now};
}

void group_manager::session(const std::string& process, bool up,
                            time_point now) {
  up_[process] = up;
  if (up) {
    lost_.erase(process);
  } else {
    lost_.emplace(process, now);
  }
}

void group_manager::set_seeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
}

// All processes are told the same seeds at the first start, so that one of
// them alone founds the group.
bool group_manager::founds_group() const {
  return options_.first_start && !options_.seeds.empty() &&
         *std::min_element(options_.seeds.begin(), options_.seeds.end()) ==
             options_.address;
}

bool group_manager::gone(const std::string& process, time_point now) const {
  const auto lost = lost_.find(process);
  return lost != lost_.end() && now - lost->second >= options_.replace_after;
}

std::optional<group_step> group_manager::next(const group_state& state,
                                              time_point now) {
  if (!state.has_disk) {
    return std::nullopt;
  }
  if (state.leads) {
    return next_of_leader(state, now);
  }
  if (!state.in_group && founds_group() && state.leader.empty()) {
    return make_group_step{};
  }
  if (!is_member(state.members, state.replica) && !state.leader.empty() &&
      state.leader != options_.process) {
    return ask_to_join_step{state.leader};
  }
  return std::nullopt;
}

std::optional<group_step> group_manager::next_of_leader(
    const group_state& state, time_point now) {
  // Members whose loss was never seen count from the moment this process leads.
  for (const replica_member& member : state.members) {
    if (member.process != options_.process && !up_[member.process]) {
      lost_.emplace(member.process, now);
    }
  }
  if (state.changing) {
    return std::nullopt;
  }
  for (const replica_member& member : state.members) {
    // A learner that went away blocks every other change.
    if (!member.voter && gone(member.process, now)) {
      return remove_member_step{member.id};
    }
  }
  if (count_voters(state.members) > target_members()) {
    for (const replica_member& member : state.members) {
      if (member.voter && member.process != options_.process &&
          gone(member.process, now)) {
        return remove_member_step{member.id};
      }
    }
  }
  return admit(state, now);
}

std::optional<group_step> group_manager::admit(const group_state& state,
                                               time_point now) {
  const bool room = count_voters(state.members) < target_members();
  const bool replaces_gone = std::any_of(
      state.members.begin(), state.members.end(),
      [&](const replica_member& member) {
        return member.process != options_.process && gone(member.process, now);
      });
  for (auto each = candidates_.begin(); each != candidates_.end();) {
    const std::string& process = each->first;
    const candidate& wanted = each->second;
    if (now - wanted.asked > options_.candidate_lifetime ||
        is_member(state.members, wanted.replica)) {
      each = candidates_.erase(each);
      continue;
    }
    const bool lost_its_disk =
        std::any_of(state.members.begin(), state.members.end(),
                    [&](const replica_member& member) {
                      return member.process == process;
                    });
    if (lost_its_disk || room || replaces_gone) {
      add_member_step step{process, wanted.address};
      candidates_.erase(each);
      return step;
    }
    ++each;
  }
  return std::nullopt;
}

}  // namespace citronwharf
