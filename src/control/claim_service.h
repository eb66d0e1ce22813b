/// Handles claims at a control replica: receives them from entries and proposes
/// them to the log, so that a majority has synced them before the reply.
#ifndef CITRONWHARF_CONTROL_CLAIM_SERVICE_H_
#define CITRONWHARF_CONTROL_CLAIM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/process_context.h"
#include "control/replica.h"
#include "wire/claim_messages.h"

namespace citronwharf {

/// Not thread-safe; use from the event loop thread only. Preconditions:
/// `process` and `log` outlive it, and the log applies commands of
/// claim_command::kind to a `claims` state machine.
class claim_service {
 public:
  /// Returns the wall-clock time in microseconds since the Unix epoch.
  using wall_clock = std::function<std::int64_t()>;

  claim_service(process_context& process, replica& log, wall_clock now);
  claim_service(const claim_service&) = delete;
  claim_service& operator=(const claim_service&) = delete;

 private:
  void send_hello(const std::string& entry);
  void propose(const peer_id& to, std::uint64_t id, nlohmann::json command);
  void send_reply(const peer_id& to, std::uint64_t id,
                  const absl::StatusOr<proposal_result>& result);

  process_context& process_;
  replica& log_;
  wall_clock now_;
};

/// Returns the wall clock of the host.
claim_service::wall_clock system_wall_clock();

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_CLAIM_SERVICE_H_
