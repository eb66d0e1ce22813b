#include "endpoint/engine_orders.h"

#include <algorithm>
#include <utility>

#include "base/configuration_json.h"

namespace citronwharf {
namespace {

constexpr duration turn_request_interval = seconds(1);
constexpr duration retry_wait_after_failure = seconds(2);

}  // namespace

engine_configuration engine_configuration_of(const endpoint& wanted) {
  return {nlohmann::json(wanted.role).get<std::string>(), wanted.model,
          wanted.adapter, wanted.model_version};
}

engine_configuration engine_configuration_of(const engine_order& order) {
  return {order.role, order.model, order.adapter, order.model_version};
}

engine_orders::engine_orders(std::string endpoint)
    : endpoint_(std::move(endpoint)) {}

void engine_orders::set_wanted(const engine_configuration& wanted, bool fresh) {
  wanted_ = wanted;
  fresh_ = fresh;
}

void engine_orders::set_present(const engine_configuration& present) {
  present_ = present;
}

bool engine_orders::matches_wanted() const {
  return !wanted_ || !present_ || *wanted_ == *present_;
}

std::vector<order_action> engine_orders::tick(time_point now, bool serving) {
  if (matches_wanted() || now < next_request_at_) {
    return {};
  }
  // A repeated request while an order runs renews the lease of the load turn.
  next_request_at_ = now + turn_request_interval;
  return {load_turn_request{++last_request_id_, endpoint_, serving}};
}

bool engine_orders::is_acceptable(const engine_order& order) const {
  return fresh_ && wanted_ && order.fencing_token >= highest_token_ &&
         engine_configuration_of(order) == *wanted_;
}

std::vector<order_action> engine_orders::on_turn_reply(
    const load_turn_reply& reply, time_point now) {
  if (reply.id != last_request_id_) {
    return {};
  }
  const duration wait_before_retry = from_microseconds(reply.retry_after_us);
  if (reply.outcome != load_turn_outcome::granted) {
    next_request_at_ = now + std::max(wait_before_retry, turn_request_interval);
    return {};
  }
  if (running_order_ || !is_acceptable(reply.order)) {
    return {};
  }
  highest_token_ = reply.order.fencing_token;
  running_order_ = reply.order;
  return {send_order{reply.order}};
}

std::vector<order_action> engine_orders::on_order_finished(bool succeeded,
                                                           time_point now) {
  if (!running_order_) {
    return {};
  }
  const engine_order finished_order =
      *std::exchange(running_order_, std::nullopt);
  if (succeeded) {
    present_ = engine_configuration_of(finished_order);
  } else {
    next_request_at_ = now + retry_wait_after_failure;
  }
  return {load_turn_done{endpoint_, finished_order.fencing_token, succeeded}};
}

}  // namespace citronwharf
