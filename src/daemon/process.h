/// A running daemon: its loop, its shared parts and its roles.
#ifndef CITRONWHARF_DAEMON_PROCESS_H_
#define CITRONWHARF_DAEMON_PROCESS_H_

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>

#include "base/process_context.h"
#include "base/settings.h"

namespace citronwharf {

/// One process of the system. Example: daemon_process(options).run()
class daemon_process {
 public:
  /// Makes the role gateway, which needs the adapter of a platform.
  using gateway_maker =
      std::function<std::unique_ptr<process_role>(process_context&)>;

  /// `settings_path` is read again on SIGHUP; `make_gateway` may be empty where
  /// the settings don't name the role.
  daemon_process(settings options, std::string settings_path,
                 gateway_maker make_gateway);
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
