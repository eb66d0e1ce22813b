/// A stand-in for a plain service: answers with what it got, and counts what
/// it ran. For tests, the quick start and measurements only.
#ifndef CITRONWHARF_FAKE_SERVICE_H_
#define CITRONWHARF_FAKE_SERVICE_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_server.h"

namespace citronwharf::fake {

/// A fault switched on by POST /fake/faults.
struct service_fault {
  std::string kind;           ///< refuse, slow, cut, hang
  std::int32_t count = 1;     ///< calls that it hits, -1: all
  std::int64_t delay_us = 0;  ///< of slow
};
CITRONWHARF_VALUE(service_fault, kind, count, delay_us)

/// One service in the caller's loop. A call whose JSON body has a commit_id is
/// counted under it, at the moment it is run. Loop's thread only.
class service {
 public:
  service(boost::asio::io_context& loop, std::string listen);

  /// Binds and serves. Returns the port.
  absl::StatusOr<std::uint16_t> listen();
  /// Breaks off every connection, as a killed process would.
  void close() { server_.close(); }
  void add_fault(const service_fault& fault) { faults_.push_back(fault); }
  /// Returns how often the commit was run.
  std::int32_t executions(const std::string& commit_id) const;
  /// Returns how many calls were run.
  std::int64_t calls() const { return calls_; }
  /// Returns all headers and bodies it received, a line each.
  std::string received() const { return received_; }

 private:
  using exchange_ptr = std::unique_ptr<http_exchange>;
  void route(const http_request& request, exchange_ptr exchange);
  void control(const http_request& request, exchange_ptr exchange);
  void run(const http_request& request, exchange_ptr exchange,
           const service_fault& fault);

  boost::asio::io_context& loop_;
  http_server server_;
  std::vector<service_fault> faults_;
  std::map<std::string, std::int32_t> executions_;
  std::vector<exchange_ptr> hanging_;
  std::vector<std::unique_ptr<runtime_timer>> timers_;
  std::string received_;
  std::int64_t calls_ = 0;
};

}  // namespace citronwharf::fake

#endif  // CITRONWHARF_FAKE_SERVICE_H_
