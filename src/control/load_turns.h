/// The machine of kind "turns": which endpoint may load its model now. Loads
/// share the weight store's rate, and no route may lose its last serving
/// endpoint to a load or a change of role.
#ifndef CITRONWHARF_CONTROL_LOAD_TURNS_H_
#define CITRONWHARF_CONTROL_LOAD_TURNS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "control/configuration_machine.h"
#include "control/state_machine.h"
#include "wire/control_messages.h"

namespace citronwharf {

/// A command of the machine: an endpoint asks for a turn, or tells the end of
/// one.
struct turn_command {
  static constexpr const char* kind = "turns";
  std::string endpoint;
  bool ended = false;               ///< the end of a turn
  bool serving = false;             ///< asks: the engine serves at present
  std::uint64_t fencing_token = 0;  ///< ended: of the order
  bool carried_out = false;         ///< ended: the engine is as ordered
  std::int64_t at_ms = 0;           ///< wall time at the proposer
  std::set<std::string> live;       ///< processes heard of just now
};
CITRONWHARF_VALUE(turn_command, endpoint, ended, serving, fencing_token,
                  carried_out, at_ms, live)

/// Deterministic over the log. It reads the configuration machine of the same
/// log, which is at the same index. Loop's thread only.
class load_turns final : public state_machine {
 public:
  /// How many endpoints load at once.
  static constexpr std::size_t concurrent_loads = 2;
  /// A turn that is not asked for again ends after this.
  static constexpr std::int64_t lease_ms = 30'000;
  /// When an endpoint that has to wait shall ask again.
  static constexpr std::int64_t retry_after_ms = 2'000;

  explicit load_turns(const configuration_machine& machine)
      : machine_(machine) {}

  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override;
  nlohmann::json snapshot() const override;
  void restore(const nlohmann::json& state) override;

  /// Returns the answer to an endpoint that asks, without changing anything.
  load_turn_reply preview(const turn_command& command) const;
  /// Returns whether a turn with this token runs for at least `span_ms` more.
  bool holds(const std::string& endpoint, std::uint64_t fencing_token,
             std::int64_t at_ms, std::int64_t span_ms) const;
  /// Returns whether the machine knows all that the command would tell it.
  bool knows(const turn_command& command) const;
  /// Returns whether the end of a turn is in the log, or of no interest.
  bool recorded(const load_turn_done& done) const;

 private:
  // What is known of an endpoint that asked or told.
  struct endpoint_state {
    std::uint64_t asked_token = 0;  ///< order it last asked a turn for
    bool serving = false;           ///< as it said, or granted away
    std::uint64_t turn_token = 0;   ///< 0: no turn
    std::int64_t turn_until_ms = 0;
    std::uint64_t done_token = 0;  ///< order last carried out
    std::string done_pool;         ///< where that order put it
  };
  friend void to_json(nlohmann::json& out, const endpoint_state& in);
  friend void from_json(const nlohmann::json& in, endpoint_state& out);

  load_turn_reply grant(const turn_command& command);
  void end(const turn_command& command);
  const endpoint* find(const std::string& name) const;
  const endpoint_state& state_of(const std::string& name) const;
  std::string serving_pool(const endpoint& in) const;
  std::size_t running_turns(const std::string& but, std::int64_t now_ms) const;
  bool serves(const endpoint& in, const std::string& pool,
              const turn_command& command) const;
  bool would_lose_last(const endpoint& in, const turn_command& command) const;
  engine_order order_of(const endpoint& in) const;

  const configuration_machine& machine_;
  std::int64_t now_ms_ = 0;  // newest wall time of a command
  std::map<std::string, endpoint_state> states_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOAD_TURNS_H_
