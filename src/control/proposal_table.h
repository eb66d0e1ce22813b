/// Proposals whose outcome is not known yet.
#ifndef CITRONWHARF_CONTROL_PROPOSAL_TABLE_H_
#define CITRONWHARF_CONTROL_PROPOSAL_TABLE_H_

#include <cstdint>
#include <map>

#include "base/clock.h"
#include "control/replica.h"
#include "control/replicated_log.h"

namespace citronwharf {

/// Completes each proposal exactly once. `done` callbacks may make new
/// proposals. Not thread-safe.
class proposal_table {
 public:
  void add(const log_position& position, time_point deadline,
           replica::proposal_done done);
  /// Called when the entry at `position` has been applied with this result.
  void applied(const log_position& position, nlohmann::json result);
  /// Completes proposals that are past their deadline or not of the term
  /// `term_led` with an unknown outcome. `term_led` is 0 if this replica is not
  /// the leader.
  void end_unknown(std::uint64_t term_led, time_point now);
  time_point next_deadline() const;

 private:
  struct pending {
    std::uint64_t term = 0;
    time_point deadline;
    replica::proposal_done done;
  };
  std::map<std::uint64_t, pending> pending_;  // by index
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_PROPOSAL_TABLE_H_
