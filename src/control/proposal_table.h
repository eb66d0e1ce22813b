/// Proposals whose outcome is not known yet.
#ifndef CITRONWHARF_CONTROL_PROPOSAL_TABLE_H_
#define CITRONWHARF_CONTROL_PROPOSAL_TABLE_H_

#include <cstdint>
#include <map>

#include "base/clock.h"
#include "control/replica.h"
#include "control/replicated_log.h"

namespace citronwharf {

/// Answers each proposal once. `done` handlers may propose again. One thread
/// at a time.
class proposal_table {
 public:
  void add(const log_position& position, time_point deadline,
           replica::proposal_done done);
  /// The entry at `position` was applied with this result.
  void applied(const log_position& position, nlohmann::json result);
  /// Ends those that are late, and those not of the term led, with an unknown
  /// outcome. `term_led` is 0 when this replica doesn't lead.
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
