#include "control/load_turns.h"

#include <algorithm>

#include "base/decode.h"

namespace citronwharf {
namespace {

using nlohmann::json;

constexpr std::int64_t microseconds_per_millisecond = 1000;

}  // namespace

void to_json(json& out, const load_turns::endpoint_state& in) {
  out = {{"asked_token", in.asked_token}, {"serving", in.serving},
         {"turn_token", in.turn_token},   {"turn_until_ms", in.turn_until_ms},
         {"done_token", in.done_token},   {"done_pool", in.done_pool}};
}

void from_json(const json& in, load_turns::endpoint_state& out) {
  in.at("asked_token").get_to(out.asked_token);
  in.at("serving").get_to(out.serving);
  in.at("turn_token").get_to(out.turn_token);
  in.at("turn_until_ms").get_to(out.turn_until_ms);
  in.at("done_token").get_to(out.done_token);
  in.at("done_pool").get_to(out.done_pool);
}

json load_turns::apply(std::uint64_t /*index*/, const json& command) {
  const auto decoded = decode_value<turn_command>(command);
  if (!decoded.ok()) {
    return load_turn_reply{};
  }
  now_ms_ = std::max(now_ms_, decoded->at_ms);
  if (decoded->ended) {
    end_turn(*decoded);
    return load_turn_reply{};
  }
  return grant(*decoded);
}

load_turn_reply load_turns::grant(const turn_command& command) {
  load_turn_reply reply = preview(command);
  const endpoint* target = find_endpoint(command.endpoint);
  if (target == nullptr) {
    states_.erase(command.endpoint);
    return reply;
  }
  endpoint_state& state = states_[command.endpoint];
  state.asked_token = machine_.order_index(command.endpoint);
  state.serving = command.serving;
  if (reply.outcome == load_turn_outcome::granted) {
    state.serving = false;
    state.turn_token = state.asked_token;
    state.turn_until_ms = now_ms_ + lease_ms;
  }
  return reply;
}

void load_turns::end_turn(const turn_command& command) {
  const endpoint* reporter = find_endpoint(command.endpoint);
  if (reporter == nullptr) {
    return;
  }
  endpoint_state& state = states_[command.endpoint];
  if (state.turn_token <= command.fencing_token) {
    state.turn_token = 0;
  }
  // The end of an earlier order does not count for the current one.
  if (command.carried_out &&
      command.fencing_token == machine_.order_index(command.endpoint)) {
    state.done_token = command.fencing_token;
    state.done_pool = reporter->pool;
    state.serving = true;
  }
}

load_turn_reply load_turns::preview(const turn_command& command) const {
  load_turn_reply reply;
  reply.retry_after_us = retry_after_ms * microseconds_per_millisecond;
  const endpoint* target = find_endpoint(command.endpoint);
  if (target == nullptr) {
    return reply;
  }
  const std::int64_t now_ms = std::max(now_ms_, command.at_ms);
  const endpoint_state& state = endpoint_state_of(command.endpoint);
  reply.order = make_order(*target);
  if (state.done_token == reply.order.fencing_token && command.serving) {
    reply.outcome = load_turn_outcome::in_order;
  } else if (count_running_turns(command.endpoint, now_ms) >=
             concurrent_loads) {
    reply.outcome = load_turn_outcome::wait;
  } else if (command.serving && is_last_serving(*target, command)) {
    reply.outcome = load_turn_outcome::last_serving;
  } else {
    reply.outcome = load_turn_outcome::granted;
    reply.lease_us = lease_ms * microseconds_per_millisecond;
    reply.retry_after_us = 0;
  }
  return reply;
}

bool load_turns::has_turn(const std::string& endpoint,
                          std::uint64_t fencing_token, std::int64_t at_ms,
                          std::int64_t span_ms) const {
  const endpoint_state& state = endpoint_state_of(endpoint);
  return state.turn_token == fencing_token &&
         state.turn_until_ms >= std::max(now_ms_, at_ms) + span_ms;
}

bool load_turns::matches_state(const turn_command& command) const {
  const endpoint_state& state = endpoint_state_of(command.endpoint);
  return state.serving == command.serving &&
         state.asked_token == machine_.order_index(command.endpoint);
}

bool load_turns::end_recorded(const load_turn_done& done) const {
  if (find_endpoint(done.endpoint) == nullptr ||
      done.fencing_token < machine_.order_index(done.endpoint)) {
    return true;
  }
  const endpoint_state& state = endpoint_state_of(done.endpoint);
  return done.carried_out ? state.done_token >= done.fencing_token
                          : state.turn_token != done.fencing_token;
}

const endpoint* load_turns::find_endpoint(const std::string& name) const {
  const auto& all = machine_.current().endpoints;
  const auto found =
      std::find_if(all.begin(), all.end(),
                   [&](const endpoint& in) { return in.name == name; });
  return found == all.end() ? nullptr : &*found;
}

const load_turns::endpoint_state& load_turns::endpoint_state_of(
    const std::string& name) const {
  static const endpoint_state none;
  const auto found = states_.find(name);
  return found == states_.end() ? none : found->second;
}

// Returns the pool that the engine serves now: the pool of the last order it
// carried out or, without one, its pool before the current order.
std::string load_turns::serving_pool(const endpoint& in) const {
  const endpoint_state& state = endpoint_state_of(in.name);
  if (state.done_token != 0) {
    return state.done_pool;
  }
  const std::string previous_pool = machine_.pool_before_order(in.name);
  return previous_pool.empty() ? in.pool : previous_pool;
}

std::size_t load_turns::count_running_turns(
    const std::string& excluded_endpoint, std::int64_t now_ms) const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(), [&](const auto& each) {
        return each.first != excluded_endpoint && each.second.turn_token != 0 &&
               each.second.turn_until_ms > now_ms;
      }));
}

// An endpoint that has never requested a turn counts as serving as configured.
// After a turn was granted, an endpoint counts only once it reports that it
// serves, even if the turn has expired.
bool load_turns::counts_as_serving(const endpoint& in, const std::string& pool,
                                   const turn_command& command) const {
  const endpoint_state& state = endpoint_state_of(in.name);
  const bool serving = states_.count(in.name) == 0 || state.serving;
  return serving && !in.draining && command.live.count(in.name) != 0 &&
         in.pool == pool && serving_pool(in) == pool;
}

bool load_turns::is_last_serving(const endpoint& in,
                                 const turn_command& command) const {
  const configuration& all = machine_.current();
  const std::string pool = serving_pool(in);
  const bool used_by_route =
      std::any_of(all.routes.begin(), all.routes.end(), [&](const route& each) {
        return each.prefill_pool == pool || each.decode_pool == pool ||
               each.plain_pool == pool;
      });
  const bool other_serving = std::any_of(
      all.endpoints.begin(), all.endpoints.end(), [&](const endpoint& other) {
        return other.name != in.name && counts_as_serving(other, pool, command);
      });
  return used_by_route && !other_serving;
}

engine_order load_turns::make_order(const endpoint& in) const {
  return {machine_.order_index(in.name), json(in.role).get<std::string>(),
          in.model, in.adapter, in.model_version};
}

json load_turns::snapshot() const {
  return {{"now_ms", now_ms_}, {"states", states_}};
}

void load_turns::restore(const json& state) {
  now_ms_ = state.at("now_ms").get<std::int64_t>();
  states_ = state.at("states").get<std::map<std::string, endpoint_state>>();
}

}  // namespace citronwharf
