#include "control/unapplied_commands.h"

#include <nlohmann/json.hpp>

namespace citronwharf {

void unapplied_commands::machines_reached(std::uint64_t index) {
  machines_index_ = index;
  kinds_.erase(kinds_.begin(), kinds_.upper_bound(index));
}

// Caches the kind of each entry: polls are frequent, and documents may be
// large.
const std::string& unapplied_commands::kind_of(const log_entry& entry) {
  known_kind& known = kinds_[entry.index];
  if (known.term != entry.term) {
    known.term = entry.term;
    known.kind =
        entry.kind == log_entry_kind::command
            ? nlohmann::json::from_cbor(entry.data.bytes).value("kind", "")
            : "";
  }
  return known.kind;
}

std::uint64_t unapplied_commands::count(const replicated_log& log,
                                        const std::string& kind) {
  std::uint64_t found = 0;
  for (std::uint64_t index = machines_index_ + 1; index <= log.stable_index();
       ++index) {
    // Entries covered by a snapshot are unknown: each may be of this kind.
    const bool held = index >= log.first_index();
    found += !held || kind_of(log.entry_at(index)) == kind ? 1 : 0;
  }
  return found;
}

}  // namespace citronwharf
