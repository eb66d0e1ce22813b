#include "endpoint/engine_orders.h"

#include <algorithm>
#include <utility>

#include "base/configuration_json.h"

namespace citronwharf {
namespace {

constexpr duration ask_interval = seconds(1);
constexpr duration after_failure = seconds(2);

}  // namespace

engine_shape shape_of(const endpoint& wanted) {
  return {nlohmann::json(wanted.role).get<std::string>(), wanted.model,
          wanted.adapter, wanted.model_version};
}

engine_shape shape_of(const engine_order& order) {
  return {order.role, order.model, order.adapter, order.model_version};
}

engine_orders::engine_orders(std::string endpoint)
    : endpoint_(std::move(endpoint)) {}

void engine_orders::want(const engine_shape& wanted, bool fresh) {
  wanted_ = wanted;
  fresh_ = fresh;
}

void engine_orders::is(const engine_shape& present) {
  present_ = present;
}

bool engine_orders::in_order() const {
  return !wanted_ || !present_ || *wanted_ == *present_;
}

std::vector<order_action> engine_orders::tick(time_point now, bool serving) {
  if (in_order() || now < next_ask_) {
    return {};
  }
  // Asked again while an order runs, the turn's lease is renewed.
  next_ask_ = now + ask_interval;
  return {load_turn_request{++asked_, endpoint_, serving}};
}

bool engine_orders::acceptable(const engine_order& order) const {
  return fresh_ && wanted_ && order.fencing_token >= highest_ &&
         shape_of(order) == *wanted_;
}

std::vector<order_action> engine_orders::answered(const load_turn_reply& reply,
                                                  time_point now) {
  if (reply.id != asked_) {
    return {};
  }
  const duration wait = from_microseconds(reply.retry_after_us);
  if (reply.outcome != load_turn_outcome::granted) {
    next_ask_ = now + std::max(wait, ask_interval);
    return {};
  }
  if (running_ || !acceptable(reply.order)) {
    return {};
  }
  highest_ = reply.order.fencing_token;
  running_ = reply.order;
  return {carry_out{reply.order}};
}

std::vector<order_action> engine_orders::carried_out(bool done,
                                                     time_point now) {
  if (!running_) {
    return {};
  }
  const engine_order ended = *std::exchange(running_, std::nullopt);
  if (done) {
    present_ = shape_of(ended);
  } else {
    next_ask_ = now + after_failure;
  }
  return {load_turn_done{endpoint_, ended.fencing_token, done}};
}

}  // namespace citronwharf
