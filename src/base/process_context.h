/// Shared services of a process and the interface of its roles.
#ifndef CITRONWHARF_BASE_PROCESS_CONTEXT_H_
#define CITRONWHARF_BASE_PROCESS_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

#include "base/configuration_view.h"
#include "base/settings.h"
#include "net/http.h"
#include "net/http_server.h"
#include "net/peer_hub.h"
#include "observe/metrics.h"
#include "observe/trace.h"

namespace citronwharf {

/// Services shared by the roles of a process. They outlive the roles.
/// Not thread-safe; use from the event loop thread only.
struct process_context {
  boost::asio::io_context& loop;
  const settings& options;
  std::uint64_t incarnation;  ///< of this process; also part of its peer_id
  peer_hub& peers;
  configuration_view& view;
  metric_registry& metrics;
  tracer& traces;
};

/// A role of the daemon, run by the event loop of the process.
class process_role {
 public:
  process_role() = default;
  virtual ~process_role() = default;
  process_role(const process_role&) = delete;
  process_role& operator=(const process_role&) = delete;

  /// Starts the role. Its ports are bound when this returns OK.
  virtual absl::Status start() = 0;
  /// Stops accepting work, completes the work in progress, then calls `done`
  /// once. The process ends at `end` at the latest, done or not.
  virtual void drain(time_point end, std::function<void()> done) = 0;
  /// Returns whether a load balancer should send new work to this process.
  virtual bool ready() const = 0;
  /// Applies those of the reloaded settings that can change without a restart.
  virtual void reload(const settings& /*options*/) {}
  /// Returns the ports bound by this role, by name, for the port file.
  virtual std::map<std::string, std::uint16_t> ports() const { return {}; }
  /// Handles a request below /admin/. Returns false and leaves `exchange`
  /// untouched if the path does not belong to this role.
  virtual bool handle_admin_request(
      const http_request& /*request*/,
      std::unique_ptr<http_exchange>& /*exchange*/) {
    return false;
  }
};

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_PROCESS_CONTEXT_H_
