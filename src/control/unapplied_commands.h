/// Counts the commands in a replica's synced log that its state machines have
/// not applied yet.
#ifndef CITRONWHARF_CONTROL_UNAPPLIED_COMMANDS_H_
#define CITRONWHARF_CONTROL_UNAPPLIED_COMMANDS_H_

#include <cstdint>
#include <map>
#include <string>

#include "control/replicated_log.h"

namespace citronwharf {

/// Not thread-safe; use from the event loop thread only.
class unapplied_commands {
 public:
  /// Called when the state machines hold the state of the log up to `index`,
  /// by applied entries or a restored snapshot. The log's applied_index() is
  /// ahead of them while actions wait to be performed.
  void machines_reached(std::uint64_t index);

  /// Returns an upper bound on the number of commands of this kind that are
  /// synced but not applied yet. Exact unless a snapshot waits to be restored.
  std::uint64_t count(const replicated_log& log, const std::string& kind);

 private:
  struct known_kind {
    std::uint64_t term = 0;
    std::string kind;
  };
  const std::string& kind_of(const log_entry& entry);

  std::uint64_t machines_index_ = 0;
  std::map<std::uint64_t, known_kind>
      kinds_;  // by index, above machines_index_
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_UNAPPLIED_COMMANDS_H_
