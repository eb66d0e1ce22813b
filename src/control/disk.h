/// File operations of the control role as callbacks, so that tests can inject
/// faults.
#ifndef CITRONWHARF_CONTROL_DISK_H_
#define CITRONWHARF_CONTROL_DISK_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace citronwharf {

/// A file open for appending; closed when the last copy is destroyed.
struct disk_file {
  std::function<absl::Status(const std::string& bytes)> write;
  std::function<absl::Status()> sync;
};

/// Disk operations used by log storage. Errors name the path and the cause.
struct disk_operations {
  /// Names of the files in a folder. NotFound if the folder does not exist.
  std::function<absl::StatusOr<std::vector<std::string>>(const std::string&)>
      list;
  std::function<absl::Status(const std::string& folder)> make_folder;
  std::function<absl::StatusOr<std::string>(const std::string& path)> read;
  /// Opens for appending; creates the file if it does not exist.
  std::function<absl::StatusOr<disk_file>(const std::string& path)> open;
  std::function<absl::Status(const std::string& from, const std::string& to)>
      rename;
  std::function<absl::Status(const std::string& path)> remove;
  /// Makes created, renamed and removed names in the folder durable.
  std::function<absl::Status(const std::string& folder)> sync_folder;
};

/// Returns the operations of the real file system. Thread-safe.
disk_operations real_disk();

/// Replaces a file atomically, so that after a crash either the old or the new
/// one exists: writes and syncs a temporary file, renames it and syncs the
/// folder.
absl::Status replace_file(const disk_operations& disk,
                          const std::string& folder, const std::string& name,
                          const std::string& bytes);

/// Suffix of incomplete files, which are removed on opening.
constexpr const char* temporary_suffix = ".tmp";

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_DISK_H_
