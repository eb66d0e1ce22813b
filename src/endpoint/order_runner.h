/// Performs the actions of engine_orders: requests load turns from the control
/// replicas and sends orders to the engine.
#ifndef CITRONWHARF_ENDPOINT_ORDER_RUNNER_H_
#define CITRONWHARF_ENDPOINT_ORDER_RUNNER_H_

#include <functional>
#include <string>
#include <vector>

#include "endpoint/engine_client.h"
#include "endpoint/engine_orders.h"
#include "wire/frame.h"

namespace citronwharf {

/// Runs the orders to one engine. Not thread-safe; use from the event loop
/// thread only.
class order_runner {
 public:
  /// `send_to_control` sends a frame to the reachable control replicas;
  /// `on_info` receives the engine's info after a successful order.
  order_runner(std::string endpoint, engine_client& engine,
               std::function<void(const frame&)> send_to_control,
               std::function<void(const engine_info&)> on_info);

  engine_orders& orders() { return orders_; }
  void tick(time_point now, bool serving);
  void on_turn_reply(const load_turn_reply& reply);

 private:
  void execute(const std::vector<order_action>& actions);
  void send(const engine_order& order);

  engine_orders orders_;
  engine_client& engine_;
  std::function<void(const frame&)> send_to_control_;
  std::function<void(const engine_info&)> on_info_;
  engine_client::call call_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ORDER_RUNNER_H_
