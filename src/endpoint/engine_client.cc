#include "endpoint/engine_client.h"

#include <algorithm>
#include <utility>

#include "base/decode.h"
#include "endpoint/token_reader.h"
#include "net/http_status.h"

namespace citronwharf {
namespace {

/// For calls that run no inference.
constexpr duration control_call_timeout = seconds(2);
constexpr duration initial_cancel_retry_wait = milliseconds(20);
constexpr duration max_cancel_retry_wait = seconds(1);
constexpr int status_ok = 200;
constexpr int status_export_expired = 410;
constexpr int status_transfer_failed = 502;
constexpr int status_no_memory = 507;

struct held_list {
  std::vector<engine_held> requests;
};
CITRONWHARF_VALUE(held_list, requests)

engine_error from_status(int status) {
  if (is_success(status)) {
    return {failure_reason::none, true, status};
  }
  switch (status) {
    case status_export_expired:
      return {failure_reason::export_expired, false, status};
    case status_transfer_failed:
      return {failure_reason::transfer_failed, false, status};
    case status_no_memory:
      return {failure_reason::no_memory, false, status};
    default:
      return {failure_reason::engine_refused, false, status};
  }
}

const engine_error invalid_response{failure_reason::engine_lost, true,
                                    status_ok};

// Decodes a JSON response into `Response` before calling `done`.
template <typename Response>
auto decode_response(engine_client::callback<Response> done) {
  return [done = std::move(done)](const engine_error& error,
                                  const nlohmann::json& body) {
    if (error.reason != failure_reason::none) {
      done(error, {});
      return;
    }
    const auto response = decode_value<Response>(body);
    done(response.ok() ? error : invalid_response,
         response.ok() ? *response : Response{});
  };
}

// Like decode_response(), but the response must name the request `id`.
template <typename Response>
auto decode_response_for(const std::string& id,
                         engine_client::callback<Response> done) {
  return decode_response<Response>(
      [id, done = std::move(done)](const engine_error& error,
                                   const Response& response) {
        const bool is_other_request =
            error.reason == failure_reason::none && response.id != id;
        done(is_other_request ? invalid_response : error, response);
      });
}

}  // namespace

engine_client::engine_client(boost::asio::io_context& loop, std::string address)
    : loop_(loop), address_(std::move(address)) {}

engine_client::~engine_client() = default;

engine_client::call engine_client::send(
    const std::string& method, const std::string& target,
    const std::string& body, duration timeout,
    std::function<void(const engine_error&, const nlohmann::json&)> done) {
  http_call_options options;
  options.address = address_;
  options.idle_timeout = timeout;
  options.connect_timeout = std::min(timeout, options.connect_timeout);
  const http_request request{
      method, target, {{"Content-Type", "application/json"}}, body, ""};
  return fetch(loop_, options, request,
               [done = std::move(done)](absl::StatusOr<http_response> response,
                                        bool sent) {
                 if (!response.ok()) {
                   done({failure_reason::engine_lost, sent, 0}, {});
                   return;
                 }
                 const engine_error error = from_status(response->status);
                 const auto json = parse_json(response->body);
                 const bool is_not_json =
                     error.reason == failure_reason::none && !json.ok();
                 done(is_not_json ? invalid_response : error,
                      json.ok() ? *json : nlohmann::json());
               });
}

engine_client::call engine_client::prefill(const engine_prefill& params,
                                           duration timeout,
                                           callback<engine_export> done) {
  return send("POST", "/v1/prefill", nlohmann::json(params).dump(), timeout,
              decode_response_for<engine_export>(params.id, std::move(done)));
}

engine_client::call engine_client::import(const engine_import& params,
                                          duration timeout,
                                          callback<engine_imported> done) {
  return send("POST", "/v1/import", nlohmann::json(params).dump(), timeout,
              decode_response_for<engine_imported>(params.id, std::move(done)));
}

engine_client::call engine_client::decode(
    const std::string& id, std::int32_t offset, duration stall_timeout,
    const std::function<void(std::vector<std::string>)>& on_tokens,
    const std::function<void(const engine_error&)>& on_end) {
  struct decode_progress {
    token_reader reader;
    int status = 0;
    bool broken = false;
  };
  // Shared by the handlers of one call and destroyed with them.
  auto state = std::make_shared<decode_progress>(
      decode_progress{token_reader(id, offset)});
  http_call_handlers handlers;
  handlers.on_head = [state](const http_response& head) {
    state->status = head.status;
  };
  handlers.on_body = [state, on_tokens, on_end](const std::string& data) {
    if (!is_success(state->status) || state->broken) {
      return;
    }
    state->broken = !state->reader.read(data).ok();
    auto tokens = state->reader.tokens();
    if (!tokens.empty()) {
      on_tokens(std::move(tokens));
    }
    if (state->broken) {
      on_end(invalid_response);  // the callback may destroy this call
    }
  };
  handlers.on_done = [state, on_end] {
    if (state->broken) {
      return;
    }
    if (is_success(state->status) && !state->reader.complete()) {
      on_end(invalid_response);
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
  options.idle_timeout = stall_timeout;
  const nlohmann::json body{{"id", id}, {"offset", offset}};
  return start_http_call(loop_, options,
                         {"POST", "/v1/decode", {}, body.dump(), ""},
                         std::move(handlers));
}

engine_client::call engine_client::info(callback<engine_info> done) {
  return send("GET", "/v1/info", "", control_call_timeout,
              decode_response<engine_info>(std::move(done)));
}

engine_client::call engine_client::load(callback<engine_load> done) {
  return send("GET", "/v1/load", "", control_call_timeout,
              decode_response<engine_load>(std::move(done)));
}

engine_client::call engine_client::held(
    callback<std::vector<engine_held>> done) {
  return send("GET", "/v1/held", "", control_call_timeout,
              decode_response<held_list>(
                  [done = std::move(done)](const engine_error& error,
                                           const held_list& list) {
                    done(error, list.requests);
                  }));
}

engine_client::call engine_client::order(const engine_order& params,
                                         callback<engine_info> done) {
  return send("POST", "/v1/orders", nlohmann::json(params).dump(),
              control_call_timeout,
              decode_response<engine_info>(std::move(done)));
}

void engine_client::cancel(const std::string& id, std::function<void()> done) {
  const auto [position, inserted] = cancels_.try_emplace(
      id, pending_cancel{
              nullptr, runtime_timer(loop_), initial_cancel_retry_wait, {}});
  if (done) {
    position->second.done.push_back(std::move(done));
  }
  if (inserted) {
    send_cancel(id);
  }
}

void engine_client::send_cancel(const std::string& id) {
  const nlohmann::json body{{"id", id}};
  cancels_.at(id).running =
      send("POST", "/v1/cancel", body.dump(), control_call_timeout,
           [this, id](const engine_error& error, const nlohmann::json&) {
             on_cancel_answered(id, error);
           });
}

void engine_client::on_cancel_answered(const std::string& id,
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
  pending_cancel& pending = found->second;
  pending.retry_timer.expires_after(pending.retry_wait);
  pending.retry_wait = std::min(pending.retry_wait * 2, max_cancel_retry_wait);
  pending.retry_timer.async_wait([this, id](boost::system::error_code aborted) {
    if (!aborted) {
      send_cancel(id);
    }
  });
}

}  // namespace citronwharf
