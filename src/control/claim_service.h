/// The control replica's side of claims: takes them from entries and proposes
/// them to the log, so that they are synced on a majority before the answer.
#ifndef CITRONWHARF_CONTROL_CLAIM_SERVICE_H_
#define CITRONWHARF_CONTROL_CLAIM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/process_context.h"
#include "control/replica.h"
#include "wire/claim_messages.h"

namespace citronwharf {

/// Loop's thread only. Preconditions: process and log outlive it, and the log
/// drives a `claims` machine under claim_command::kind.
class claim_service {
 public:
  /// Returns wall time in microseconds since 1970.
  using wall_clock = std::function<std::int64_t()>;

  claim_service(process_context& process, replica& log, wall_clock now);
  claim_service(const claim_service&) = delete;
  claim_service& operator=(const claim_service&) = delete;

 private:
  void send_hello(const std::string& entry);
  void propose(const std::string& to, std::uint64_t id, nlohmann::json command);
  void answer(const std::string& to, std::uint64_t id,
              const absl::StatusOr<proposal_result>& result);

  process_context& process_;
  replica& log_;
  wall_clock now_;
};

/// Returns the machine's wall clock.
claim_service::wall_clock system_wall_clock();

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_CLAIM_SERVICE_H_
