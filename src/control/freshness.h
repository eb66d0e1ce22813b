/// Decides how long a process may treat its configuration as current, by a
/// lease from a majority of control replicas. Does not require a leader.
#ifndef CITRONWHARF_CONTROL_FRESHNESS_H_
#define CITRONWHARF_CONTROL_FRESHNESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"

namespace citronwharf {

/// Answer of a replica to a poll.
struct freshness_answer {
  std::string replica;  ///< replica id
  /// Upper bound of the version that results from its synced log.
  std::uint64_t newest_version = 0;
  std::set<std::string> voters;  ///< replica ids, according to its log
};

/// Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
///
/// A committed change is in the synced log of a majority of voters. So if a
/// majority polled at time t has nothing newer than the process's version, no
/// newer version was committed before t, and the lease starts at t. Consecutive
/// groups differ by one replica (while a voter takes over a seat, both count),
/// so their majorities overlap too; answers that name different groups need a
/// majority of each.
class freshness {
 public:
  explicit freshness(duration lease) : lease_(lease) {}

  /// Adds the answer to a poll sent at `sent`. Ignores answers without an id or
  /// voters, answers past the lease, and answers to polls older than the
  /// replica's last known one.
  /// Precondition: sent <= now.
  void add_answer(const freshness_answer& answer, time_point sent,
                  time_point now);

  /// Returns the end of the lease on `version`: until then, no newer version
  /// has been committed for longer than the lease. Returns nullopt without a
  /// majority.
  /// Example: if (auto until = leases.fresh_until(7)) view.confirm(7, *until);
  std::optional<time_point> fresh_until(std::uint64_t version) const;

 private:
  struct stored_answer {
    freshness_answer answer;
    time_point sent;
  };
  using group = std::set<std::string>;

  std::optional<time_point> majority_confirmed_since(
      const group& voters, const group& counted_replicas,
      std::uint64_t version) const;
  std::optional<time_point> group_confirmed_since(const group& candidate,
                                                  std::uint64_t version) const;

  duration lease_;
  std::map<std::string, stored_answer> answers_;  // by replica id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_FRESHNESS_H_
