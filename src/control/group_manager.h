/// Decides who keeps the published document: makes the group on the very first
/// start, lets processes with a disk join, and replaces members that are gone.
#ifndef CITRONWHARF_CONTROL_GROUP_MANAGER_H_
#define CITRONWHARF_CONTROL_GROUP_MANAGER_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "wire/log_messages.h"

namespace citronwharf {

struct group_manager_options {
  std::string process;
  std::string address;  ///< own "ip:port" for peers
  /// First contacts, the same on every process at the first start.
  std::vector<std::string> seeds;
  bool first_start = false;  ///< of the whole system, with empty disks
  /// Losses at once that the group has to survive.
  std::size_t tolerated_losses = 1;
  /// A member without a session for this long may be replaced by another
  /// process. Longer than any restart, so that a member that comes back with
  /// its disk keeps its place.
  duration replace_after = seconds(6);
  /// A process that has not asked to join for this long no longer wants to.
  duration candidate_lifetime = seconds(2);
};

/// What the manager looks at, each time it decides.
struct group_state {
  bool has_disk = false;
  std::string replica;  ///< own id; "" outside of any group
  bool in_group = false;
  bool leads = false;
  bool changing = false;  ///< a change of members is under way
  std::vector<replica_member> members;
  std::string leader;  ///< process name as far as it is known, or ""
};

/// Makes the group with this process as its only member.
struct make_group_step {};
/// Asks the leader for membership.
struct ask_to_join_step {
  std::string leader;
};
/// Adds a process as a member, for a leader.
struct add_member_step {
  std::string process;
  std::string address;
};
/// Removes a member, for a leader.
struct remove_member_step {
  std::string replica;
};
using group_step = std::variant<make_group_step, ask_to_join_step,
                                add_member_step, remove_member_step>;

/// No I/O, no clock of its own. One thread.
class group_manager {
 public:
  explicit group_manager(group_manager_options options);

  /// Members that the group shall have: a majority survives the losses.
  std::size_t target_members() const {
    return 2 * options_.tolerated_losses + 1;
  }
  /// Returns whether enough voters hold the log that what is acknowledged now
  /// survives the tolerated losses.
  bool complete(const group_state& state) const;

  /// A process asked this one to become a member.
  void wants_to_join(const std::string& process, const std::string& address,
                     const std::string& replica, time_point now);
  /// A session to a process came up or was lost.
  void session(const std::string& process, bool up, time_point now);
  /// Takes new first contacts, as after a change of the settings.
  void set_seeds(std::vector<std::string> seeds);

  /// Returns the next step, if one is due. Call several times a second.
  std::optional<group_step> next(const group_state& state, time_point now);

 private:
  struct candidate {
    std::string address;
    std::string replica;
    time_point asked;
  };

  bool founds_group() const;
  std::optional<group_step> next_of_leader(const group_state& state,
                                           time_point now);
  std::optional<group_step> admit(const group_state& state, time_point now);
  bool gone(const std::string& process, time_point now) const;

  group_manager_options options_;
  std::map<std::string, candidate> candidates_;  // by process name
  std::map<std::string, time_point> lost_;  // when the session went, by process
  std::map<std::string, bool> up_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_GROUP_MANAGER_H_
