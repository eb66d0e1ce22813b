// The stand-in engine's HTTP paths.
#include <algorithm>
#include <utility>

#include "fake/engine_impl.h"

namespace citronwharf::fake {
namespace {

constexpr std::size_t max_received_bytes = 16U << 20U;
constexpr const char* export_path = "/v1/kv/";

bool starts_with(const std::string& text, const std::string& head) {
  return text.compare(0, head.size(), head) == 0;
}

std::string record(const http_request& request) {
  std::string lines = request.method + ' ' + request.target + '\n';
  for (const header_field& field : request.headers) {
    lines += field.name + ": " + field.value + '\n';
  }
  return lines + request.body + '\n';
}

std::uint64_t query_number(const std::string& target) {
  const std::size_t at = target.find('=');
  return at == std::string::npos ? 0 : std::stoull("0" + target.substr(at + 1));
}

}  // namespace

void engine::impl::route(const http_request& request, exchange_ptr exchange) {
  if (starts_with(request.target, "/fake/")) {
    dispatch(request, std::move(exchange));
    return;
  }
  if (received.size() < max_received_bytes) {
    received += record(request);
  }
  static const std::map<std::string, std::string> places{
      {"/v1/prefill", "prefill"}, {"/v1/import", "import"},
      {"/v1/decode", "decode"},   {"/v1/cancel", "cancel"},
      {"/v1/load", "load"},       {"/v1/orders", "order"},
      {"/v1/held", "held"}};
  const auto place = places.find(request.target);
  std::string at = starts_with(request.target, export_path) ? "transfer" : "";
  if (place != places.end()) {
    at = place->second;
  }
  const bool own = at.empty() || at == "decode";  // strikes in the stream
  if (own || !strike(at, request, exchange)) {
    dispatch(request, std::move(exchange));
  }
}

void engine::impl::dispatch(const http_request& request,
                            exchange_ptr exchange) {
  const std::string& target = request.target;
  if (request.method == "GET") {
    if (target == "/v1/held") {
      answer_held(std::move(exchange));
    } else if (target == "/v1/load") {
      answer_load(std::move(exchange));
    } else if (target == "/v1/info") {
      answer_info(std::move(exchange));
    } else if (target == "/fake/received") {
      exchange->respond({200, {}, received});
    } else if (starts_with(target, "/v1/cache_events")) {
      exchange->respond(json_response(
          200,
          cache.events(query_number(target), runtime_clock::now()).dump()));
    } else if (starts_with(target, export_path)) {
      send_export(target.substr(std::string(export_path).size()),
                  std::move(exchange));
    } else {
      refuse(std::move(exchange), 404, "no such path");
    }
    return;
  }
  const auto body = parse_json(request.body);
  if (!body.ok() || !body->is_object()) {
    refuse(std::move(exchange), 400, "not a JSON object");
    return;
  }
  using handler = void (impl::*)(const nlohmann::json&, exchange_ptr);
  static const std::map<std::string, handler> handlers{
      {"/v1/prefill", &impl::prefill},   {"/v1/import", &impl::import},
      {"/v1/decode", &impl::decode},     {"/v1/cancel", &impl::cancel},
      {"/v1/orders", &impl::take_order}, {"/fake/faults", &impl::take_fault}};
  const auto found = handlers.find(target);
  if (found == handlers.end()) {
    refuse(std::move(exchange), 404, "no such path");
    return;
  }
  (this->*found->second)(*body, std::move(exchange));
}

void engine::impl::answer_held(exchange_ptr exchange) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, one] : jobs) {
    list.push_back({{"id", id},
                    {"state", to_string(one.state)},
                    {"pieces", one.pieces},
                    {"generated", one.generated}});
  }
  exchange->respond(
      json_response(200, nlohmann::json{{"requests", list}}.dump()));
}

nlohmann::json engine::impl::load_now() const {
  std::int32_t running = 0;
  std::int32_t waiting = 0;
  for (const auto& [id, one] : jobs) {
    running += one.state == job_state::running ? 1 : 0;
    waiting += one.state == job_state::queued ? 1 : 0;
  }
  return {{"pieces_free", pieces.free()}, {"running", running},
          {"waiting", waiting},           {"prefilled_tokens", prefilled},
          {"wasted_tokens", wasted},      {"incarnation", incarnation}};
}

void engine::impl::answer_load(exchange_ptr exchange) {
  const time_point now = runtime_clock::now();
  if (load.is_null() || now - load_at >= options.load_lag) {
    load = load_now();
    load_at = now;
  }
  exchange->respond(json_response(200, load.dump()));
}

void engine::impl::answer_info(exchange_ptr exchange) {
  const nlohmann::json info{{"incarnation", incarnation},
                            {"role", role},
                            {"model", model},
                            {"adapter", adapter},
                            {"model_version", version},
                            {"checks_fencing", options.checks_fencing},
                            {"pieces_total", options.pieces_total},
                            {"piece_tokens", options.piece_tokens},
                            {"max_batch", options.max_batch},
                            {"orders_taken", orders_taken}};
  exchange->respond(json_response(200, info.dump()));
}

void engine::impl::take_order(const nlohmann::json& body,
                              exchange_ptr exchange) {
  const std::uint64_t number = body.value("fencing_token", std::uint64_t{0});
  if (options.checks_fencing && number < fencing) {
    refuse(std::move(exchange), 409, "old fencing number");
    return;
  }
  fencing = number;
  ++orders_taken;
  role = body.value("role", role);
  model = body.value("model", model);
  adapter = body.value("adapter", adapter);
  version = body.value("model_version", version);
  answer_info(std::move(exchange));
}

void engine::impl::take_fault(const nlohmann::json& body,
                              exchange_ptr exchange) {
  const auto fault = decode_value<engine_fault>(body);
  if (!fault.ok()) {
    refuse(std::move(exchange), 400, std::string(fault.status().message()));
    return;
  }
  faults.add(*fault);
  exchange->respond(json_response(200, "{}"));
}

void engine::impl::cancel(const nlohmann::json& body, exchange_ptr exchange) {
  const std::string id = body.value("id", "");
  const job* one = find(id);
  const bool was_held = one != nullptr;
  if (was_held && one->state == job_state::exported) {
    wasted += one->prompt_tokens;
  }
  if (id == prefilling) {
    prefilling.clear();
    prefill_timer.cancel();
  }
  forget(id);
  exchange->respond(
      json_response(200, nlohmann::json{{"cancelled", was_held}}.dump()));
}

}  // namespace citronwharf::fake
