/// Brings the engine to the configured role, model, adapter and model version,
/// one order at a time, each with a fencing token.
#ifndef CITRONWHARF_ENDPOINT_ENGINE_ORDERS_H_
#define CITRONWHARF_ENDPOINT_ENGINE_ORDERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "citronwharf/configuration.h"
#include "wire/control_messages.h"

namespace citronwharf {

/// The actual or wanted configuration of an engine: an order without its
/// fencing token.
struct engine_configuration {
  std::string role;
  std::string model;
  std::string adapter;
  std::string model_version;
};
CITRONWHARF_VALUE(engine_configuration, role, model, adapter, model_version)

/// Returns the configuration wanted for the engine of an endpoint.
engine_configuration engine_configuration_of(const endpoint& wanted);
/// Returns the configuration of the engine after an order.
engine_configuration engine_configuration_of(const engine_order& order);

/// Action: send `order` to the engine.
struct send_order {
  engine_order order;
};
CITRONWHARF_VALUE(send_order, order)

/// An action that the caller of engine_orders must perform.
using order_action =
    std::variant<load_turn_request, send_order, load_turn_done>;

/// Decides when to send which order to the engine.
///
/// An order is accepted only if its token is not lower than any seen before,
/// and if it matches the configuration while that is fresh, that is, confirmed
/// by a majority of control replicas. Outdated orders are thus refused even for
/// engines that do not check the token, and by a process that has just started
/// and has seen no token yet. Performs no I/O and reads no clock; the caller
/// passes `now`. Not thread-safe.
class engine_orders {
 public:
  explicit engine_orders(std::string endpoint);

  /// Sets the wanted configuration; for `fresh` see configuration_view::fresh.
  void set_wanted(const engine_configuration& wanted, bool fresh);
  /// Sets the configuration that the engine reports.
  void set_present(const engine_configuration& present);
  /// Returns the actions that are due. Call periodically.
  std::vector<order_action> tick(time_point now, bool serving);
  /// Handles the reply of a control replica to a load_turn_request.
  std::vector<order_action> on_turn_reply(const load_turn_reply& reply,
                                          time_point now);
  /// Handles the engine's response to the running order; `succeeded`
  /// tells whether the engine carried it out.
  std::vector<order_action> on_order_finished(bool succeeded, time_point now);

  /// Returns whether the engine has the wanted configuration; also true while
  /// either is unknown.
  bool matches_wanted() const;
  std::uint64_t highest_token() const { return highest_token_; }

 private:
  bool is_acceptable(const engine_order& order) const;

  std::string endpoint_;
  std::optional<engine_configuration> wanted_;
  std::optional<engine_configuration> present_;
  bool fresh_ = false;
  std::uint64_t highest_token_ = 0;
  std::uint64_t last_request_id_ = 0;  ///< id of the last load_turn_request
  std::optional<engine_order> running_order_;
  time_point next_request_at_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ENGINE_ORDERS_H_
