/// The administration API below /admin/v1/: requests to a replica become
/// commands of its log and their results become answers. docs/ADMIN.md
/// describes it.
#ifndef CITRONWHARF_CONTROL_ADMIN_API_H_
#define CITRONWHARF_CONTROL_ADMIN_API_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "base/value.h"
#include "control/configuration_machine.h"
#include "control/replica.h"

namespace citronwharf {

/// A request that was authorised already.
struct admin_request {
  std::string method;
  std::string target;  ///< path below /admin/v1/, as "config"
  std::string body;
};
CITRONWHARF_VALUE(admin_request, method, target, body)

struct admin_response {
  int status = 200;
  nlohmann::json body;
};

/// Returns an answer that names an error. Thread-safe.
/// Example: admin_error(404, "not_found", "no such path")
admin_response admin_error(int status, const std::string& error,
                           const std::string& message);

/// Loop's thread only. Preconditions: log and machine outlive it, and it
/// outlives the log's pending proposals.
class admin_api {
 public:
  using done = std::function<void(admin_response)>;

  admin_api(replica& log, const configuration_machine& machine)
      : log_(log), machine_(machine) {}

  /// Returns whether any replica may answer the request; the others are for
  /// the leader.
  static bool answered_anywhere(const admin_request& request);

  /// Answers the request, calling `answer` once, perhaps before it returns.
  void handle(const admin_request& request, const done& answer);

 private:
  void change(const configuration_command& command, const done& answer);
  void read(const std::function<nlohmann::json()>& make, const done& answer);
  void apply(const nlohmann::json& body, const done& answer);
  void diff(const nlohmann::json& body, const done& answer);
  void create_key(const nlohmann::json& body, const done& answer);
  void withdraw_key(const std::string& id, const nlohmann::json& body,
                    const done& answer);
  void drain_endpoint(const std::string& name, const nlohmann::json& body,
                      const done& answer);
  void add_replica(const nlohmann::json& body, const done& answer);
  void remove_replica(const nlohmann::json& body, const done& answer);
  admin_response status() const;
  nlohmann::json keys() const;

  replica& log_;
  const configuration_machine& machine_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_ADMIN_API_H_
