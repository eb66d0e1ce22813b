#include "fake/service.h"

#include <utility>

#include "base/decode.h"

namespace citronwharf::fake {
namespace {

constexpr std::size_t max_received_bytes = 16U << 20U;

http_server_options options_for(std::string listen) {
  http_server_options options;
  options.listen = std::move(listen);
  return options;
}

service_fault next_fault(std::vector<service_fault>& faults) {
  for (service_fault& fault : faults) {
    if (fault.count != 0) {
      fault.count -= fault.count > 0 ? 1 : 0;
      return fault;
    }
  }
  return {};
}

std::string echo(const http_request& request) {
  return nlohmann::json{{"method", request.method},
                        {"target", request.target},
                        {"body", request.body}}
      .dump();
}

}  // namespace

service::service(boost::asio::io_context& loop, std::string listen)
    : loop_(loop),
      server_(loop, options_for(std::move(listen)),
              [this](const http_request& request, exchange_ptr exchange) {
                route(request, std::move(exchange));
              }) {}

absl::StatusOr<std::uint16_t> service::listen() {
  return server_.listen();
}

std::int32_t service::executions(const std::string& commit_id) const {
  const auto found = executions_.find(commit_id);
  return found == executions_.end() ? 0 : found->second;
}

void service::route(const http_request& request, exchange_ptr exchange) {
  if (request.target.rfind("/fake/", 0) == 0) {
    control(request, std::move(exchange));
    return;
  }
  if (received_.size() < max_received_bytes) {
    received_ += request.method + ' ' + request.target + '\n';
    for (const header_field& field : request.headers) {
      received_ += field.name + ": " + field.value + '\n';
    }
    received_ += request.body + '\n';
  }
  const service_fault fault = next_fault(faults_);
  if (fault.kind == "refuse") {
    exchange->respond(json_response(503, R"({"error":"refused"})"));
    return;
  }
  run(request, std::move(exchange), fault);
}

void service::run(const http_request& request, exchange_ptr exchange,
                  const service_fault& fault) {
  ++calls_;
  const auto body = parse_json(request.body);
  if (body.ok() && body->is_object() && body->count("commit_id") > 0 &&
      body->at("commit_id").is_string()) {
    ++executions_[body->value("commit_id", "")];
  }
  if (fault.kind == "hang") {
    hanging_.push_back(std::move(exchange));
    return;
  }
  if (fault.kind == "cut") {
    exchange->start_stream({200, {}, ""});
    exchange->write("{\"half\":");
    return;  // the exchange goes, and the answer is broken off
  }
  if (fault.kind != "slow") {
    exchange->respond(json_response(200, echo(request)));
    return;
  }
  timers_.push_back(std::make_unique<runtime_timer>(loop_));
  timers_.back()->expires_after(from_microseconds(fault.delay_us));
  auto late = std::make_shared<exchange_ptr>(std::move(exchange));
  timers_.back()->async_wait(
      [late, answer = echo(request)](boost::system::error_code error) {
        if (!error) {
          (*late)->respond(json_response(200, answer));
        }
      });
}

void service::control(const http_request& request, exchange_ptr exchange) {
  if (request.target == "/fake/received") {
    exchange->respond({200, {}, received_});
    return;
  }
  if (request.target == "/fake/executions") {
    exchange->respond(json_response(200, nlohmann::json(executions_).dump()));
    return;
  }
  const auto body = parse_json(request.body);
  const auto fault = body.ok() ? decode_value<service_fault>(*body)
                               : absl::StatusOr<service_fault>(body.status());
  if (!fault.ok()) {
    exchange->respond(json_response(400, R"({"error":"not a fault"})"));
    return;
  }
  add_fault(*fault);
  exchange->respond(json_response(200, "{}"));
}

}  // namespace citronwharf::fake
