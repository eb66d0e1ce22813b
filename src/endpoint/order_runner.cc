#include "endpoint/order_runner.h"

#include <utility>

#include "observe/event.h"

namespace citronwharf {

order_runner::order_runner(std::string endpoint, engine_client& engine,
                           std::function<void(const frame&)> tell_control,
                           std::function<void(const engine_info&)> on_info)
    : orders_(std::move(endpoint)),
      engine_(engine),
      tell_control_(std::move(tell_control)),
      on_info_(std::move(on_info)) {}

void order_runner::tick(time_point now, bool serving) {
  act(orders_.tick(now, serving));
}

void order_runner::answered(const load_turn_reply& reply) {
  act(orders_.answered(reply, runtime_clock::now()));
}

void order_runner::act(const std::vector<order_action>& actions) {
  for (const order_action& action : actions) {
    if (const auto* ask = std::get_if<load_turn_request>(&action)) {
      tell_control_(make_frame(*ask));
    } else if (const auto* done = std::get_if<load_turn_done>(&action)) {
      tell_control_(make_frame(*done));
    } else {
      send(std::get<carry_out>(action).order);
    }
  }
}

void order_runner::send(const engine_order& order) {
  log_event(events::order_carried_out, order.fencing_token, order.model);
  call_ = engine_.order(
      order, [this](const engine_error& error, const engine_info& info) {
        const engine_client::call ended = std::move(call_);
        const bool done = error.reason == failure_reason::none;
        act(orders_.carried_out(done, runtime_clock::now()));
        if (done) {
          on_info_(info);
        }
      });
}

}  // namespace citronwharf
