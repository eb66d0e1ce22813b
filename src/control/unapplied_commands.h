/// Counts the commands that stand in a replica's synced log behind the state
/// that its machines have reached.
#ifndef CITRONWHARF_CONTROL_UNAPPLIED_COMMANDS_H_
#define CITRONWHARF_CONTROL_UNAPPLIED_COMMANDS_H_

#include <cstdint>
#include <map>
#include <string>

#include "control/replicated_log.h"

namespace citronwharf {

/// Loop's thread only.
class unapplied_commands {
 public:
  /// The machines hold all that the log has up to `index`. The log's own
  /// applied_index() runs ahead of them while actions wait to be performed.
  void machines_reached(std::uint64_t index);

  /// Returns an upper bound of the commands of this kind that are synced and
  /// not in the machines yet. Exact unless a snapshot waits to be restored.
  std::uint64_t count(const replicated_log& log, const std::string& kind);

 private:
  struct known_kind {
    std::uint64_t term = 0;
    std::string kind;
  };
  const std::string& kind_of(const log_entry& entry);

  std::uint64_t reached_ = 0;
  std::map<std::uint64_t, known_kind> kinds_;  // by index, behind reached_
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_UNAPPLIED_COMMANDS_H_
