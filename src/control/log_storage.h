/// The files of the control log below the data folder.
///
/// `journal-G` holds records, the first of which names the snapshot file that
/// the journal continues; `snapshot-G` holds one record. A new snapshot starts
/// a new journal, which replaces the old one at the moment it is renamed.
#ifndef CITRONWHARF_CONTROL_LOG_STORAGE_H_
#define CITRONWHARF_CONTROL_LOG_STORAGE_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

#include "control/disk.h"
#include "control/replicated_log.h"

namespace citronwharf {

/// Byte counts and torn tails, for operators.
struct storage_figures {
  std::uint64_t journal_bytes = 0;
  std::uint64_t snapshot_bytes = 0;
  std::uint64_t cut_bytes = 0;  ///< torn tail removed on opening
};

/// Not thread-safe.
class log_storage {
 public:
  /// Creates the files of an empty log. Returns DataLoss if the folder holds a
  /// log that is not empty.
  static absl::Status create(const disk_operations& disk,
                             const std::string& folder);
  /// Opens and replays the log. DataLoss names the damaged file and the offset.
  /// The replayed state is written and synced again in a new journal, because
  /// after a failed sync the operating system may return bytes that are not on
  /// the disk.
  static absl::StatusOr<std::unique_ptr<log_storage>> open(disk_operations disk,
                                                           std::string folder);

  /// Returns the replayed state. Call only once.
  restored_log take_restored();
  /// Makes the batch durable. After one failure every later call fails.
  absl::Status write(const log_batch& batch);
  const storage_figures& figures() const { return figures_; }

 private:
  log_storage(disk_operations disk, std::string folder);

  std::string path(const std::string& name) const;
  absl::Status choose_generation();
  absl::Status replay();
  absl::Status read_snapshot(std::uint64_t generation);
  absl::Status remove_leftovers();
  absl::Status append(const log_batch& batch);
  absl::Status compact(const log_batch& batch);
  absl::Status start_journal(const std::vector<log_entry>& entries);

  disk_operations disk_;
  std::string folder_;
  std::uint64_t generation_ = 0;
  std::uint64_t snapshot_generation_ = 0;  // 0: none
  hard_state state_;
  restored_log restored_;
  disk_file journal_;
  absl::Status failure_;
  storage_figures figures_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOG_STORAGE_H_
