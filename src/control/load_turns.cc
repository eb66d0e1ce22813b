#include "control/load_turns.h"

#include <algorithm>

#include "base/decode.h"

namespace citronwharf {
namespace {

using nlohmann::json;

constexpr std::int64_t microseconds_a_millisecond = 1000;

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
    end(*decoded);
    return load_turn_reply{};
  }
  return grant(*decoded);
}

load_turn_reply load_turns::grant(const turn_command& command) {
  load_turn_reply reply = preview(command);
  const endpoint* wanted = find(command.endpoint);
  if (wanted == nullptr) {
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

void load_turns::end(const turn_command& command) {
  const endpoint* told = find(command.endpoint);
  if (told == nullptr) {
    return;
  }
  endpoint_state& state = states_[command.endpoint];
  if (state.turn_token <= command.fencing_token) {
    state.turn_token = 0;
  }
  // The end of an earlier order says nothing of the present one.
  if (command.carried_out &&
      command.fencing_token == machine_.order_index(command.endpoint)) {
    state.done_token = command.fencing_token;
    state.done_pool = told->pool;
    state.serving = true;
  }
}

load_turn_reply load_turns::preview(const turn_command& command) const {
  load_turn_reply reply;
  reply.retry_after_us = retry_after_ms * microseconds_a_millisecond;
  const endpoint* wanted = find(command.endpoint);
  if (wanted == nullptr) {
    return reply;
  }
  const std::int64_t now_ms = std::max(now_ms_, command.at_ms);
  const endpoint_state& state = state_of(command.endpoint);
  reply.order = order_of(*wanted);
  if (state.done_token == reply.order.fencing_token && command.serving) {
    reply.outcome = load_turn_outcome::in_order;
  } else if (running_turns(command.endpoint, now_ms) >= concurrent_loads) {
    reply.outcome = load_turn_outcome::wait;
  } else if (command.serving && would_lose_last(*wanted, command)) {
    reply.outcome = load_turn_outcome::last_serving;
  } else {
    reply.outcome = load_turn_outcome::granted;
    reply.lease_us = lease_ms * microseconds_a_millisecond;
    reply.retry_after_us = 0;
  }
  return reply;
}

bool load_turns::holds(const std::string& endpoint, std::uint64_t fencing_token,
                       std::int64_t at_ms, std::int64_t span_ms) const {
  const endpoint_state& state = state_of(endpoint);
  return state.turn_token == fencing_token &&
         state.turn_until_ms >= std::max(now_ms_, at_ms) + span_ms;
}

bool load_turns::knows(const turn_command& command) const {
  const endpoint_state& state = state_of(command.endpoint);
  return state.serving == command.serving &&
         state.asked_token == machine_.order_index(command.endpoint);
}

bool load_turns::recorded(const load_turn_done& done) const {
  if (find(done.endpoint) == nullptr ||
      done.fencing_token < machine_.order_index(done.endpoint)) {
    return true;
  }
  const endpoint_state& state = state_of(done.endpoint);
  return done.carried_out ? state.done_token >= done.fencing_token
                          : state.turn_token != done.fencing_token;
}

const endpoint* load_turns::find(const std::string& name) const {
  const auto& all = machine_.current().endpoints;
  const auto found =
      std::find_if(all.begin(), all.end(),
                   [&](const endpoint& in) { return in.name == name; });
  return found == all.end() ? nullptr : &*found;
}

const load_turns::endpoint_state& load_turns::state_of(
    const std::string& name) const {
  static const endpoint_state none;
  const auto found = states_.find(name);
  return found == states_.end() ? none : found->second;
}

// Returns the pool that the engine serves now: that of the order it last
// carried out, else the one it had before its order.
std::string load_turns::serving_pool(const endpoint& in) const {
  const endpoint_state& state = state_of(in.name);
  if (state.done_token != 0) {
    return state.done_pool;
  }
  const std::string before = machine_.pool_before_order(in.name);
  return before.empty() ? in.pool : before;
}

std::size_t load_turns::running_turns(const std::string& but,
                                      std::int64_t now_ms) const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(), [&](const auto& each) {
        return each.first != but && each.second.turn_token != 0 &&
               each.second.turn_until_ms > now_ms;
      }));
}

// An endpoint that never asked for a turn serves as it is configured. One that
// was granted a turn does not count until it says that it serves, also when
// the turn ran out.
bool load_turns::serves(const endpoint& in, const std::string& pool,
                        const turn_command& command) const {
  const endpoint_state& state = state_of(in.name);
  const bool serving = states_.count(in.name) == 0 || state.serving;
  return serving && !in.draining && command.live.count(in.name) != 0 &&
         in.pool == pool && serving_pool(in) == pool;
}

bool load_turns::would_lose_last(const endpoint& in,
                                 const turn_command& command) const {
  const configuration& all = machine_.current();
  const std::string pool = serving_pool(in);
  const bool needed =
      std::any_of(all.routes.begin(), all.routes.end(), [&](const route& each) {
        return each.prefill_pool == pool || each.decode_pool == pool ||
               each.plain_pool == pool;
      });
  const bool others = std::any_of(
      all.endpoints.begin(), all.endpoints.end(), [&](const endpoint& other) {
        return other.name != in.name && serves(other, pool, command);
      });
  return needed && !others;
}

engine_order load_turns::order_of(const endpoint& in) const {
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
