/// What every role of a process works with.
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

/// The parts that a process's roles share. They outlive the roles and are
/// used on the loop's thread only.
struct process_context {
  boost::asio::io_context& loop;
  const settings& options;
  std::uint64_t incarnation;  ///< of this process; also in hub's peer_id
  peer_hub& peers;
  configuration_view& view;
  metric_registry& metrics;
  tracer& traces;
};

/// A role of the daemon, driven by the process's loop.
class process_role {
 public:
  process_role() = default;
  virtual ~process_role() = default;
  process_role(const process_role&) = delete;
  process_role& operator=(const process_role&) = delete;

  /// Starts work; ports are bound when it returns ok.
  virtual absl::Status start() = 0;
  /// Takes no new work, finishes what is under way, then calls `done` once.
  virtual void drain(std::function<void()> done) = 0;
  /// Returns whether a balancer should send new work here.
  virtual bool ready() const = 0;
  /// Takes what can change without a restart from newly read settings.
  virtual void reload(const settings& /*options*/) {}
  /// Ports bound by this role, by name, for the port file.
  virtual std::map<std::string, std::uint16_t> ports() const { return {}; }
  /// Answers requests below /admin/ for this role. Returns false, and leaves
  /// the exchange alone, when the path is not this role's.
  virtual bool administer(const http_request& /*request*/,
                          std::unique_ptr<http_exchange>& /*exchange*/) {
    return false;
  }
};

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_PROCESS_CONTEXT_H_
