/// Which entry process is the home of an organisation's allowance, and from
/// when this process may act as one.
#ifndef CITRONWHARF_POLICY_HOME_ASSIGNMENT_H_
#define CITRONWHARF_POLICY_HOME_ASSIGNMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/configuration_view.h"
#include "citronwharf/configuration.h"

namespace citronwharf {

/// How long an earlier home may have gone on.
struct home_timing {
  /// An entry that a newer version has passed by may give for this long.
  duration freshness = max_freshness_lease;
  duration lease = milliseconds(500);  ///< of tokens
  duration margin = milliseconds(50);  ///< for clocks that run unevenly
};

/// Rendezvous hashing of organisations over the committed entry members.
///
/// Another process may have been home under an earlier member list, and does
/// not know yet that it no longer is; its freshness and then its last leases
/// run out first. This keeps the recent member lists as this process saw them;
/// when versions were skipped, any process may have been home in between. No
/// I/O, no clock of its own. One thread.
class home_assignment {
 public:
  home_assignment(std::string self, home_timing timing);

  /// Takes a configuration. Precondition: versions go up.
  void configure(const configuration& next, time_point now);
  /// Returns the home's process name, "" without entry members.
  std::string home_of(const std::string& organisation) const;
  /// Returns whether this process is the home.
  bool mine(const std::string& organisation) const;
  /// Returns from when this process may give as home: before that another may
  /// have given. Precondition: mine(organisation).
  time_point starts_at(const std::string& organisation) const;
  std::size_t members() const { return members_.size(); }

 private:
  // A member list of the past, and when this process saw it end.
  struct past_members {
    std::vector<std::string> members;
    time_point ended;
  };

  void forget_old();

  std::string self_;
  home_timing timing_;
  std::uint64_t version_ = 0;
  std::vector<std::string> members_;
  std::vector<past_members> past_;  // oldest first
  time_point known_since_{};        // history is unbroken from here on
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_HOME_ASSIGNMENT_H_
