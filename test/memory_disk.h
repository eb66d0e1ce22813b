// A disk in memory that knows what is synced, for tests of the control log.
#ifndef CITRONWHARF_TEST_MEMORY_DISK_H_
#define CITRONWHARF_TEST_MEMORY_DISK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "control/disk.h"

namespace citronwharf {

/// Counts steps (each write, sync, rename, ...) and may fail one. It outlives
/// the operations it gives out. One thread at a time.
class memory_disk {
 public:
  struct file {
    std::string durable;
    std::string current;  // appended to `durable`
    // A sync failed: later ones succeed and make nothing durable.
    bool sync_failed = false;
  };
  /// Called before a step with its name; an error fails the step.
  std::function<absl::Status(const std::string& step)> fault;

  disk_operations operations();
  /// Loses what was not synced: keeps a random part of each file's unsynced
  /// bytes, and the names as of the last folder sync or as they are.
  void crash(std::mt19937_64& random);
  /// Returns the content of the file whose name starts with `prefix`.
  std::string& content(const std::string& prefix);
  int steps() const { return steps_; }

 private:
  using names = std::map<std::string, std::shared_ptr<file>>;
  absl::Status step(const std::string& name);

  names current_;
  names durable_;
  int steps_ = 0;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_TEST_MEMORY_DISK_H_
