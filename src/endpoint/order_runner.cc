#include "endpoint/order_runner.h"

#include <utility>

#include "observe/event.h"

namespace citronwharf {

order_runner::order_runner(std::string endpoint, engine_client& engine,
                           std::function<void(const frame&)> send_to_control,
                           std::function<void(const engine_info&)> on_info)
    : orders_(std::move(endpoint)),
      engine_(engine),
      send_to_control_(std::move(send_to_control)),
      on_info_(std::move(on_info)) {}

void order_runner::tick(time_point now, bool serving) {
  execute(orders_.tick(now, serving));
}

void order_runner::on_turn_reply(const load_turn_reply& reply) {
  execute(orders_.on_turn_reply(reply, runtime_clock::now()));
}

void order_runner::execute(const std::vector<order_action>& actions) {
  for (const order_action& action : actions) {
    if (const auto* turn_request = std::get_if<load_turn_request>(&action)) {
      send_to_control_(make_frame(*turn_request));
    } else if (const auto* turn_done = std::get_if<load_turn_done>(&action)) {
      send_to_control_(make_frame(*turn_done));
    } else {
      send(std::get<send_order>(action).order);
    }
  }
}

void order_runner::send(const engine_order& order) {
  log_event(events::order_carried_out, order.fencing_token, order.model);
  call_ = engine_.order(
      order, [this](const engine_error& error, const engine_info& info) {
        const engine_client::call finished_call = std::move(call_);
        const bool succeeded = error.reason == failure_reason::none;
        execute(orders_.on_order_finished(succeeded, runtime_clock::now()));
        if (succeeded) {
          on_info_(info);
        }
      });
}

}  // namespace citronwharf
