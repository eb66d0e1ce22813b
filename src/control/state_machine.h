/// Interface of the deterministic state machines that apply the commands of the
/// replicated log in log order.
#ifndef CITRONWHARF_CONTROL_STATE_MACHINE_H_
#define CITRONWHARF_CONTROL_STATE_MACHINE_H_

#include <cstdint>
#include <nlohmann/json.hpp>

namespace citronwharf {

/// A deterministic state machine: the same commands in the same order give the
/// same state and results on every replica. It reads no clock; times it needs
/// are part of the command. Not thread-safe; use from the event loop thread
/// only.
class state_machine {
 public:
  state_machine() = default;
  virtual ~state_machine() = default;
  state_machine(const state_machine&) = delete;
  state_machine& operator=(const state_machine&) = delete;

  /// Applies the committed command at `index`; returns its result, which is
  /// sent to the proposer. An invalid command is reported in the result; this
  /// function never throws.
  virtual nlohmann::json apply(std::uint64_t index,
                               const nlohmann::json& command) = 0;
  /// Returns the whole state.
  virtual nlohmann::json snapshot() const = 0;
  /// Replaces the whole state. Precondition: made by snapshot().
  virtual void restore(const nlohmann::json& state) = 0;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_STATE_MACHINE_H_
