/// A running daemon: its loop, its shared parts and its roles.
#ifndef CITRONWHARF_DAEMON_PROCESS_H_
#define CITRONWHARF_DAEMON_PROCESS_H_

#include <absl/status/status.h>

#include <memory>

#include "base/settings.h"

namespace citronwharf {

/// One process of the system. Example: daemon_process(options).run()
class daemon_process {
 public:
  explicit daemon_process(settings options);
  ~daemon_process();
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  /// Starts the roles and runs until a drain is complete. SIGTERM and SIGINT
  /// start the drain. Returns why it could not start, else ok.
  absl::Status run();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_DAEMON_PROCESS_H_
