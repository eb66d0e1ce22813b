/// State machine of kind "turns": decides which endpoints may load their models
/// now. Concurrent loads share the bandwidth of the weight store, and no route
/// may lose its last serving endpoint to a load or a role change.
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

/// Command of the state machine: an endpoint requests a turn or reports the end
/// of one.
struct turn_command {
  static constexpr const char* kind = "turns";
  std::string endpoint;
  bool ended = false;               ///< reports the end of a turn
  bool serving = false;             ///< request: the engine is serving now
  std::uint64_t fencing_token = 0;  ///< end: token of the order
  bool carried_out = false;         ///< end: the engine runs as ordered
  std::int64_t at_ms = 0;           ///< wall-clock time at the proposer
  std::set<std::string> live;       ///< processes that polled recently
};
CITRONWHARF_VALUE(turn_command, endpoint, ended, serving, fencing_token,
                  carried_out, at_ms, live)

/// Deterministic for a given log. Reads the configuration machine of the same
/// log, which has applied the same entries. Not thread-safe; use from the event
/// loop thread only.
class load_turns final : public state_machine {
 public:
  /// Maximum number of endpoints that load at the same time.
  static constexpr std::size_t concurrent_loads = 2;
  /// A turn ends after this time unless it is renewed.
  static constexpr std::int64_t lease_ms = 30'000;
  /// Delay after which an endpoint that has to wait asks again.
  static constexpr std::int64_t retry_after_ms = 2'000;

  explicit load_turns(const configuration_machine& machine)
      : machine_(machine) {}

  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override;
  nlohmann::json snapshot() const override;
  void restore(const nlohmann::json& state) override;

  /// Returns the reply to a request without changing any state.
  load_turn_reply preview(const turn_command& command) const;
  /// Returns whether the endpoint's turn has this token and stays valid for at
  /// least `span_ms` more.
  bool has_turn(const std::string& endpoint, std::uint64_t fencing_token,
                std::int64_t at_ms, std::int64_t span_ms) const;
  /// Returns whether the state already reflects the request in the command.
  bool matches_state(const turn_command& command) const;
  /// Returns whether the end of the turn is in the log or no longer relevant.
  bool end_recorded(const load_turn_done& done) const;

 private:
  // State of an endpoint that requested a turn or reported the end of one.
  struct endpoint_state {
    std::uint64_t asked_token = 0;  ///< order of its last request for a turn
    bool serving = false;  ///< as reported; false once a turn is granted
    std::uint64_t turn_token = 0;  ///< 0: no turn
    std::int64_t turn_until_ms = 0;
    std::uint64_t done_token = 0;  ///< last order carried out
    std::string done_pool;         ///< pool assigned by that order
  };
  friend void to_json(nlohmann::json& out, const endpoint_state& in);
  friend void from_json(const nlohmann::json& in, endpoint_state& out);

  load_turn_reply grant(const turn_command& command);
  void end_turn(const turn_command& command);
  const endpoint* find_endpoint(const std::string& name) const;
  const endpoint_state& endpoint_state_of(const std::string& name) const;
  std::string serving_pool(const endpoint& in) const;
  std::size_t count_running_turns(const std::string& excluded_endpoint,
                                  std::int64_t now_ms) const;
  bool counts_as_serving(const endpoint& in, const std::string& pool,
                         const turn_command& command) const;
  bool is_last_serving(const endpoint& in, const turn_command& command) const;
  engine_order make_order(const endpoint& in) const;

  const configuration_machine& machine_;
  std::int64_t now_ms_ = 0;  // latest wall-clock time of any command
  std::map<std::string, endpoint_state> states_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOAD_TURNS_H_
