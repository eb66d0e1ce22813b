/// Carries the decisions of engine_orders out: asks control replicas for turns
/// and sends orders to the engine.
#ifndef CITRONWHARF_ENDPOINT_ORDER_RUNNER_H_
#define CITRONWHARF_ENDPOINT_ORDER_RUNNER_H_

#include <functional>
#include <string>
#include <vector>

#include "endpoint/engine_client.h"
#include "endpoint/engine_orders.h"
#include "wire/frame.h"

namespace citronwharf {

/// Loop's thread only.
class order_runner {
 public:
  /// `tell_control` sends a frame to the control replicas in reach; `on_info`
  /// learns what the engine is after an order.
  order_runner(std::string endpoint, engine_client& engine,
               std::function<void(const frame&)> tell_control,
               std::function<void(const engine_info&)> on_info);

  engine_orders& orders() { return orders_; }
  void tick(time_point now, bool serving);
  void answered(const load_turn_reply& reply);

 private:
  void act(const std::vector<order_action>& actions);
  void send(const engine_order& order);

  engine_orders orders_;
  engine_client& engine_;
  std::function<void(const frame&)> tell_control_;
  std::function<void(const engine_info&)> on_info_;
  engine_client::call call_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ORDER_RUNNER_H_
