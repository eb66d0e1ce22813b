/// Brings the engine to what the configuration says: model, adapter, version
/// and role, one order at a time, under a fencing token.
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

/// What an engine is, or shall be, without a token.
struct engine_shape {
  std::string role;
  std::string model;
  std::string adapter;
  std::string model_version;
};
CITRONWHARF_VALUE(engine_shape, role, model, adapter, model_version)

/// Returns what the configuration wants of an endpoint's engine.
engine_shape shape_of(const endpoint& wanted);
/// Returns what an order makes of the engine.
engine_shape shape_of(const engine_order& order);

/// Send `order` to the engine.
struct carry_out {
  engine_order order;
};
CITRONWHARF_VALUE(carry_out, order)

/// What engine_orders wants done.
using order_action = std::variant<load_turn_request, carry_out, load_turn_done>;

/// Decides when the engine gets which order.
///
/// An order is carried out only if its token is not below any seen before and
/// it agrees with the configuration while that is fresh, confirmed by a
/// majority of control replicas. So an old order is refused here for engines
/// that would take it, and also by a process that has just started and has
/// seen no token yet. No I/O, no clock of its own. One thread.
class engine_orders {
 public:
  explicit engine_orders(std::string endpoint);

  /// The configuration changed or was confirmed; `fresh`: see
  /// configuration_view::fresh.
  void want(const engine_shape& wanted, bool fresh);
  /// The engine says what it is.
  void is(const engine_shape& present);
  /// Returns what to do now; to be called from time to time.
  std::vector<order_action> tick(time_point now, bool serving);
  /// A control replica answered.
  std::vector<order_action> answered(const load_turn_reply& reply,
                                     time_point now);
  /// The engine answered the order that was carried out.
  std::vector<order_action> carried_out(bool done, time_point now);

  /// Returns whether the engine is as wanted, so that it may serve.
  bool in_order() const;
  std::uint64_t highest_token() const { return highest_; }

 private:
  bool acceptable(const engine_order& order) const;

  std::string endpoint_;
  std::optional<engine_shape> wanted_;
  std::optional<engine_shape> present_;
  bool fresh_ = false;
  std::uint64_t highest_ = 0;
  std::uint64_t asked_ = 0;  ///< id of the last turn asked for
  std::optional<engine_order> running_;
  time_point next_ask_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ENGINE_ORDERS_H_
