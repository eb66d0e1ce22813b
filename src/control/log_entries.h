/// In-memory entries of a replicated log.
#ifndef CITRONWHARF_CONTROL_LOG_ENTRIES_H_
#define CITRONWHARF_CONTROL_LOG_ENTRIES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "wire/log_messages.h"

namespace citronwharf {

/// A contiguous range of entries that follows a snapshot. Entries covered by
/// the snapshot may be kept for members that lag slightly. Not thread-safe.
class log_entries {
 public:
  /// Precondition: entries are contiguous and reach the snapshot's index.
  log_entries(std::uint64_t snapshot_index, std::uint64_t snapshot_term,
              const std::vector<log_entry>& entries);

  /// Index of the first entry held; last_index() + 1 when none is held.
  std::uint64_t first_index() const;
  std::uint64_t last_index() const;
  std::uint64_t last_term() const;
  /// Returns the term at `index`, or nullopt if it is not known. Index 0
  /// has term 0.
  std::optional<std::uint64_t> term_at(std::uint64_t index) const;
  /// Precondition: first_index() <= index <= last_index().
  const log_entry& at(std::uint64_t index) const;

  /// Precondition: entry.index == last_index() + 1.
  void append(log_entry entry);
  /// Removes the entries from `index` on. Precondition: they follow the
  /// snapshot.
  void truncate_from(std::uint64_t index);
  /// Moves the snapshot to `index`, which is at or after the old one. If the
  /// entry at `index` has that term, keeps the entries after it and the
  /// last `keep` entries at or before it, as far as their data has at most
  /// `keep_bytes`; otherwise drops all.
  void compact(std::uint64_t index, std::uint64_t term, std::uint64_t keep,
               std::size_t keep_bytes);
  /// Returns entries from `first` on within the limits, but at least one if
  /// there is one.
  std::vector<log_entry> slice(std::uint64_t first, std::size_t max_entries,
                               std::size_t max_bytes) const;
  /// Returns all held entries from `first` on.
  std::vector<log_entry> from(std::uint64_t first) const;

 private:
  std::uint64_t snapshot_index_;
  std::uint64_t snapshot_term_;
  std::deque<log_entry> entries_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOG_ENTRIES_H_
