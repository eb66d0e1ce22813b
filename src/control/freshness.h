/// Decides how long a process may take its configuration for current: a lease
/// from a majority of control replicas, without need of a leader.
#ifndef CITRONWHARF_CONTROL_FRESHNESS_H_
#define CITRONWHARF_CONTROL_FRESHNESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"

namespace citronwharf {

/// What a replica answered to a poll.
struct freshness_answer {
  std::string replica;  ///< replica id
  /// Upper bound of the version that its synced log leads to.
  std::uint64_t newest_version = 0;
  std::set<std::string> voters;  ///< replica ids, as of its log
};

/// A decision module: it reads no clock and does no I/O. Not thread-safe.
///
/// A committed change is in the synced log of a majority of voters. So when a
/// majority, asked at a time t, knows nothing newer than the own version, no
/// newer one was committed before t; the lease counts from t. Membership
/// changes by one replica at a time, so that majorities of neighbouring groups
/// meet too; answers that name different groups need a majority of each.
class freshness {
 public:
  explicit freshness(duration lease) : lease_(lease) {}

  /// Takes an answer to a poll that was sent at `sent`. Answers without an id
  /// or voters, and those to polls older than a known one, count for nothing.
  /// Precondition: sent <= now.
  void answered(const freshness_answer& answer, time_point sent,
                time_point now);

  /// Returns until when `version` is surely not older than a lease; nothing
  /// without a majority.
  /// Example: if (auto until = leases.fresh_until(7)) view.confirm(7, *until);
  std::optional<time_point> fresh_until(std::uint64_t version) const;

 private:
  struct known_answer {
    freshness_answer answer;
    time_point sent;
  };
  using group = std::set<std::string>;

  std::optional<time_point> majority_since(const group& voters,
                                           const group& counted,
                                           std::uint64_t version) const;
  std::optional<time_point> since_by_group(const group& candidate,
                                           std::uint64_t version) const;

  duration lease_;
  std::map<std::string, known_answer> answers_;  // by replica id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_FRESHNESS_H_
