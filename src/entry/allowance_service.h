/// Allowances in an entry process: leases from the homes of organisations, and
/// the homes that this entry holds itself.
#ifndef CITRONWHARF_ENTRY_ALLOWANCE_SERVICE_H_
#define CITRONWHARF_ENTRY_ALLOWANCE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/process_context.h"

namespace citronwharf {

/// The answer to an acquire.
struct allowance_decision {
  bool granted = false;
  bool within_rate = false;  ///< when refused: whether the organisation kept
                             ///< its rate and was refused all the same
  duration retry_after{};    ///< when refused
};

/// Loop's thread only.
class allowance_service {
 public:
  using acquired = std::function<void(const allowance_decision&)>;

  allowance_service() = default;
  virtual ~allowance_service() = default;
  allowance_service(const allowance_service&) = delete;
  allowance_service& operator=(const allowance_service&) = delete;

  /// Takes `tokens` for the organisation, waiting for accrual until
  /// `deadline` at most; refuses at once when that can't suffice. `done` is
  /// called once, never before this returns. Returns an id for abandon().
  virtual std::uint64_t acquire(const std::string& organisation, double tokens,
                                time_point deadline, acquired done) = 0;
  /// Forgets a waiting acquire, as when the caller left.
  virtual void abandon(std::uint64_t id) = 0;
  /// Returns unused tokens of the granted acquire with this id, at most once.
  virtual void give_back(std::uint64_t id, double tokens) = 0;
};

/// Makes the service. Precondition: `process` outlives it.
std::unique_ptr<allowance_service> make_allowance_service(
    process_context& process);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ALLOWANCE_SERVICE_H_
