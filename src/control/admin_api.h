/// The administration API under /admin/v1/: turns requests into commands in the
/// replicated log and their results into responses. See docs/ADMIN.md.
#ifndef CITRONWHARF_CONTROL_ADMIN_API_H_
#define CITRONWHARF_CONTROL_ADMIN_API_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "base/value.h"
#include "control/configuration_machine.h"
#include "control/replica.h"

namespace citronwharf {

/// A request that is already authorised.
struct admin_request {
  std::string method;
  std::string target;  ///< path relative to /admin/v1/, e.g. "config"
  std::string body;
};
CITRONWHARF_VALUE(admin_request, method, target, body)

struct admin_response {
  int status = 200;
  nlohmann::json body;
};

/// Returns an error response. Thread-safe.
/// Example: admin_error(404, "not_found", "no such path")
admin_response admin_error(int status, const std::string& error,
                           const std::string& message);

/// Not thread-safe; use from the event loop thread only. Preconditions: log and
/// machine outlive it, and it outlives the log's pending proposals.
class admin_api {
 public:
  using done = std::function<void(admin_response)>;

  admin_api(replica& log, const configuration_machine& machine)
      : log_(log), machine_(machine) {}

  /// Returns whether any replica may answer the request; all other requests
  /// must be answered by the leader.
  static bool answered_anywhere(const admin_request& request);

  /// Handles the request; calls `respond` exactly once, possibly before it
  /// returns.
  void handle(const admin_request& request, const done& respond);

 private:
  void change(const configuration_command& command, const done& respond);
  void read(const std::function<nlohmann::json()>& make_body,
            const done& respond);
  void apply(const nlohmann::json& body, const done& respond);
  void diff(const nlohmann::json& body, const done& respond);
  void create_key(const nlohmann::json& body, const done& respond);
  void withdraw_key(const std::string& id, const nlohmann::json& body,
                    const done& respond);
  void drain_endpoint(const std::string& name, const nlohmann::json& body,
                      const done& respond);
  void add_replica(const nlohmann::json& body, const done& respond);
  void remove_replica(const nlohmann::json& body, const done& respond);
  admin_response status() const;
  nlohmann::json keys() const;

  replica& log_;
  const configuration_machine& machine_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_ADMIN_API_H_
