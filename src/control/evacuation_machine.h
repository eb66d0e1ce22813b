/// Replicated state machine that stores which failure domains are evacuated.
#ifndef CITRONWHARF_CONTROL_EVACUATION_MACHINE_H_
#define CITRONWHARF_CONTROL_EVACUATION_MACHINE_H_

#include <cstddef>
#include <cstdint>

#include "control/state_machine.h"
#include "wire/evacuation_messages.h"

namespace citronwharf {

/// Designed for this load: a few orders a day, for one of some ten domains;
/// each is repeated at any process until it is acknowledged, and several
/// processes may forward orders at the same time.
///
/// An order names the number of accepted orders that its sender knew of. It has
/// no effect unless that is the present number, and each accepted order, also
/// one that changes nothing, increments it. So an order that is delayed can't
/// undo a later one that was acknowledged. Not thread-safe; use from the event
/// loop thread only.
class evacuation_machine final : public state_machine {
 public:
  static constexpr const char* kind = "evacuations";
  /// Limit of the evacuated domains: eight times the domains of the largest
  /// deployment.
  static constexpr std::size_t max_domains = 64;
  /// Limit of the length of a domain's name, in bytes.
  static constexpr std::size_t max_name_bytes = 128;

  static nlohmann::json make_command(const evacuation_order& in);

  /// Returns an evacuation_reply.
  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override;
  nlohmann::json snapshot() const override;
  void restore(const nlohmann::json& state) override;

  const evacuation_set& current() const { return current_; }

 private:
  evacuation_outcome execute(const evacuation_order& in);

  evacuation_set current_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_EVACUATION_MACHINE_H_
