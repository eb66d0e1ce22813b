/// Determines which entry process is the home of an organisation's allowance,
/// and from when this process may act as home.
#ifndef CITRONWHARF_POLICY_HOME_ASSIGNMENT_H_
#define CITRONWHARF_POLICY_HOME_ASSIGNMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/configuration_view.h"
#include "citronwharf/configuration.h"

namespace citronwharf {

/// How long a former home may continue to act as one.
struct home_timing {
  /// An entry that has missed a newer version may grant leases for this long.
  duration freshness = max_freshness_lease;
  duration lease = milliseconds(500);  ///< of tokens
  duration margin = milliseconds(50);  ///< for clock drift
};

/// Rendezvous hashing of organisations over the committed entry members.
///
/// Another process may have been home under an earlier member list and not know
/// yet that it no longer is. A new home therefore starts only after the
/// freshness and then the last leases of the former home have expired. For
/// this, the class keeps the recent member lists as this process saw them; when
/// versions were skipped, any process may have been home in between. Performs
/// no I/O and reads no clock; the caller passes `now`. Not thread-safe.
class home_assignment {
 public:
  home_assignment(std::string self, home_timing timing);

  /// Applies a configuration. Precondition: versions increase.
  void configure(const configuration& next, time_point now);
  /// Returns the process name of the home, "" if there are no entry members.
  std::string home_of(const std::string& organisation) const;
  /// Returns whether this process is the home of the organisation.
  bool is_home_of(const std::string& organisation) const;
  /// Returns from when this process may grant leases as home; before that,
  /// another process may still do so. Precondition: is_home_of(organisation).
  time_point starts_at(const std::string& organisation) const;
  std::size_t members() const { return members_.size(); }

 private:
  // A former member list, and when this process saw it replaced.
  struct past_member_list {
    std::vector<std::string> members;
    time_point ended_at;
  };

  void discard_oldest();

  std::string self_;
  home_timing timing_;
  std::uint64_t version_ = 0;
  std::vector<std::string> members_;
  std::vector<past_member_list> past_lists_;  // oldest first
  time_point history_since_{};                // no gap in versions since
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_HOME_ASSIGNMENT_H_
