/// Allowances in an entry process: obtains leases from the homes of
/// organisations and serves the organisations that this entry is home of.
#ifndef CITRONWHARF_ENTRY_ALLOWANCE_SERVICE_H_
#define CITRONWHARF_ENTRY_ALLOWANCE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/process_context.h"

namespace citronwharf {

/// The result of an acquire.
struct allowance_decision {
  bool granted = false;
  bool within_rate = false;  ///< if refused: whether the organisation was
                             ///< refused although it was within its rate
  duration retry_after{};    ///< if refused
};

/// Not thread-safe; use from the event loop thread only.
class allowance_service {
 public:
  using acquire_callback = std::function<void(const allowance_decision&)>;

  allowance_service() = default;
  virtual ~allowance_service() = default;
  allowance_service(const allowance_service&) = delete;
  allowance_service& operator=(const allowance_service&) = delete;

  /// Acquires `tokens` for the organisation. Waits until `deadline` for tokens
  /// to accrue; refuses at once if not enough can accrue by then. `done` is
  /// called once, never before this returns. Returns an id for abandon().
  virtual std::uint64_t acquire(const std::string& organisation, double tokens,
                                time_point deadline, acquire_callback done) = 0;
  /// Cancels a waiting acquire, for example when the caller disconnected; its
  /// `done` is not called.
  virtual void abandon(std::uint64_t id) = 0;
  /// Returns unused tokens of the granted acquire with this id. Precondition:
  /// called at most once per id.
  virtual void give_back(std::uint64_t id, double tokens) = 0;
};

/// Makes the service. Precondition: `process` outlives it.
std::unique_ptr<allowance_service> make_allowance_service(
    process_context& process);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ALLOWANCE_SERVICE_H_
