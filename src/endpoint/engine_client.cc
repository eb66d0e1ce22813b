#include "endpoint/engine_client.h"

#include <algorithm>
#include <utility>

#include "base/decode.h"
#include "endpoint/token_reader.h"

namespace citronwharf {
namespace {

constexpr duration short_limit = seconds(2);  ///< of calls that run no work
constexpr duration first_cancel_wait = milliseconds(20);
constexpr duration longest_cancel_wait = seconds(1);
constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_bad_gateway = 502;
constexpr int status_no_memory = 507;

struct held_list {
  std::vector<engine_held> requests;
};
CITRONWHARF_VALUE(held_list, requests)

engine_error from_status(int status) {
  switch (status) {
    case status_ok:
      return {failure_reason::none, true, status};
    case status_gone:
      return {failure_reason::export_expired, false, status};
    case status_bad_gateway:
      return {failure_reason::transfer_failed, false, status};
    case status_no_memory:
      return {failure_reason::no_memory, false, status};
    default:
      return {failure_reason::engine_refused, false, status};
  }
}

const engine_error nonsense{failure_reason::engine_lost, true, status_ok};

// Hands a JSON answer on as a typed value.
template <typename Answer>
auto typed(engine_client::handler<Answer> done) {
  return [done = std::move(done)](const engine_error& error,
                                  const nlohmann::json& body) {
    if (error.reason != failure_reason::none) {
      done(error, {});
      return;
    }
    const auto answer = decode_value<Answer>(body);
    done(answer.ok() ? error : nonsense, answer.ok() ? *answer : Answer{});
  };
}

// As typed(), for answers that must name the request.
template <typename Answer>
auto typed_for(const std::string& id, engine_client::handler<Answer> done) {
  return typed<Answer>([id, done = std::move(done)](const engine_error& error,
                                                    const Answer& answer) {
    const bool crossed =
        error.reason == failure_reason::none && answer.id != id;
    done(crossed ? nonsense : error, answer);
  });
}

}  // namespace

engine_client::engine_client(boost::asio::io_context& loop, std::string address)
    : loop_(loop), address_(std::move(address)) {}

engine_client::~engine_client() = default;

engine_client::call engine_client::send(
    const std::string& method, const std::string& target,
    const std::string& body, duration limit,
    std::function<void(const engine_error&, const nlohmann::json&)> done) {
  http_call_options options;
  options.address = address_;
  options.idle_timeout = limit;
  options.connect_timeout = std::min(limit, options.connect_timeout);
  const http_request request{
      method, target, {{"Content-Type", "application/json"}}, body, ""};
  return fetch(
      loop_, options, request,
      [done = std::move(done)](absl::StatusOr<http_response> answer,
                               bool sent) {
        if (!answer.ok()) {
          done({failure_reason::engine_lost, sent, 0}, {});
          return;
        }
        const engine_error error = from_status(answer->status);
        const auto json = parse_json(answer->body);
        const bool bad = error.reason == failure_reason::none && !json.ok();
        done(bad ? nonsense : error, json.ok() ? *json : nlohmann::json());
      });
}

engine_client::call engine_client::prefill(const engine_prefill& what,
                                           duration limit,
                                           handler<engine_export> done) {
  return send("POST", "/v1/prefill", nlohmann::json(what).dump(), limit,
              typed_for<engine_export>(what.id, std::move(done)));
}

engine_client::call engine_client::import(const engine_import& what,
                                          duration limit,
                                          handler<engine_imported> done) {
  return send("POST", "/v1/import", nlohmann::json(what).dump(), limit,
              typed_for<engine_imported>(what.id, std::move(done)));
}

engine_client::call engine_client::decode(
    const std::string& id, std::int32_t offset, duration stall,
    const std::function<void(std::vector<std::string>)>& on_tokens,
    const std::function<void(const engine_error&)>& on_end) {
  struct progress {
    token_reader reader;
    int status = 0;
    bool broken = false;
  };
  // Shared by the handlers of one call, and gone with them.
  auto state = std::make_shared<progress>(progress{token_reader(id, offset)});
  http_call_handlers handlers;
  handlers.on_head = [state](const http_response& head) {
    state->status = head.status;
  };
  handlers.on_body = [state, on_tokens, on_end](const std::string& data) {
    if (state->status != status_ok || state->broken) {
      return;
    }
    state->broken = !state->reader.take(data).ok();
    auto tokens = state->reader.tokens();
    if (!tokens.empty()) {
      on_tokens(std::move(tokens));
    }
    if (state->broken) {
      on_end(nonsense);  // the owner may end this call here
    }
  };
  handlers.on_done = [state, on_end] {
    if (state->broken) {
      return;
    }
    if (state->status == status_ok && !state->reader.whole()) {
      on_end(nonsense);
      return;
    }
    on_end(from_status(state->status));
  };
  handlers.on_failure = [state, on_end](const http_failure& failure) {
    if (state->broken) {
      return;
    }
    on_end({failure_reason::engine_lost, failure.sent, 0});
  };
  http_call_options options;
  options.address = address_;
  options.idle_timeout = stall;
  const nlohmann::json body{{"id", id}, {"offset", offset}};
  return start_http_call(loop_, options,
                         {"POST", "/v1/decode", {}, body.dump(), ""},
                         std::move(handlers));
}

engine_client::call engine_client::info(handler<engine_info> done) {
  return send("GET", "/v1/info", "", short_limit,
              typed<engine_info>(std::move(done)));
}

engine_client::call engine_client::load(handler<engine_load> done) {
  return send("GET", "/v1/load", "", short_limit,
              typed<engine_load>(std::move(done)));
}

engine_client::call engine_client::held(
    handler<std::vector<engine_held>> done) {
  return send(
      "GET", "/v1/held", "", short_limit,
      typed<held_list>([done = std::move(done)](const engine_error& error,
                                                const held_list& list) {
        done(error, list.requests);
      }));
}

engine_client::call engine_client::order(const engine_order& what,
                                         handler<engine_info> done) {
  return send("POST", "/v1/orders", nlohmann::json(what).dump(), short_limit,
              typed<engine_info>(std::move(done)));
}

void engine_client::cancel(const std::string& id, std::function<void()> done) {
  const auto [at, added] = cancels_.try_emplace(
      id, pending_cancel{nullptr, runtime_timer(loop_), first_cancel_wait, {}});
  if (done) {
    at->second.done.push_back(std::move(done));
  }
  if (added) {
    send_cancel(id);
  }
}

void engine_client::send_cancel(const std::string& id) {
  const nlohmann::json body{{"id", id}};
  cancels_.at(id).running =
      send("POST", "/v1/cancel", body.dump(), short_limit,
           [this, id](const engine_error& error, const nlohmann::json&) {
             end_cancel(id, error);
           });
}

void engine_client::end_cancel(const std::string& id,
                               const engine_error& error) {
  const auto found = cancels_.find(id);
  if (error.reason == failure_reason::none) {
    const auto done = std::move(found->second.done);
    cancels_.erase(found);
    for (const auto& each : done) {
      each();
    }
    return;
  }
  pending_cancel& one = found->second;
  one.again.expires_after(one.wait);
  one.wait = std::min(one.wait * 2, longest_cancel_wait);
  one.again.async_wait([this, id](boost::system::error_code aborted) {
    if (!aborted) {
      send_cancel(id);
    }
  });
}

}  // namespace citronwharf
