#include "fake/engine.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "fake/engine_impl.h"

namespace citronwharf::fake {

engine::engine(boost::asio::io_context& loop, engine_options options)
    : impl_(std::make_unique<impl>(loop, std::move(options))) {}

engine::~engine() = default;

absl::StatusOr<std::uint16_t> engine::listen() {
  return impl_->listen();
}

void engine::close() {
  impl_->close();
}

void engine::add_fault(const engine_fault& fault) {
  impl_->faults.add(fault);
}

void engine::on_die(std::function<void()> die) {
  impl_->die = std::move(die);
}

std::int32_t engine::pieces_free() const {
  return impl_->pieces.free();
}

std::size_t engine::held() const {
  return impl_->held();
}

std::int64_t engine::prefilled_tokens() const {
  return impl_->prefilled;
}

std::int64_t engine::wasted_tokens() const {
  return impl_->wasted;
}

std::string engine::received() const {
  return impl_->received;
}

engine::impl::impl(boost::asio::io_context& loop, engine_options options)
    : loop(loop),
      options(std::move(options)),
      pieces(this->options.pieces_total),
      cache(this->options),
      role(this->options.role),
      model(this->options.model),
      incarnation(runtime_clock::now().time_since_epoch().count()),
      prefill_timer(loop),
      step_timer(loop) {
  die = [this] { close(); };
}

engine::impl::~impl() {
  close();
}

absl::StatusOr<std::uint16_t> engine::impl::listen() {
  http_server_options server_options;
  server_options.listen = options.listen;
  server_options.max_body_bytes = 16U << 20U;
  server_options.max_queued_bytes = 64U << 20U;
  server_options.max_connections = 8192;
  server = std::make_unique<http_server>(
      loop, server_options,
      [this](const http_request& request,
             std::unique_ptr<http_exchange> exchange) {
        route(request, std::move(exchange));
      });
  auto port = server->listen();
  if (port.ok()) {
    address = options.listen.substr(0, options.listen.rfind(':') + 1) +
              std::to_string(*port);
  }
  return port;
}

void engine::impl::close() {
  jobs.clear();
  hanging.clear();
  prefill_timer.cancel();
  step_timer.cancel();
  if (server) {
    server->close();
  }
  pieces = piece_pool(options.pieces_total);
}

std::size_t engine::impl::held() const {
  return static_cast<std::size_t>(std::count_if(
      jobs.begin(), jobs.end(),
      [](const auto& entry) { return entry.second.state != job_state::done; }));
}

job* engine::impl::find(const std::string& id) {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : &found->second;
}

void engine::impl::forget(const std::string& id) {
  const auto found = jobs.find(id);
  if (found == jobs.end()) {
    return;
  }
  pieces.give_back(found->second);
  // The exchange may be on the stack of the caller; the loop drops it later.
  boost::asio::post(
      loop, [gone = std::make_shared<job>(std::move(found->second))] {});
  jobs.erase(found);
  start_prefill();
}

void engine::impl::refuse(std::unique_ptr<http_exchange> exchange, int status,
                          const std::string& error) {
  exchange->respond(
      json_response(status, nlohmann::json{{"error", error}}.dump()));
}

bool engine::impl::strike(const std::string& at, const http_request& request,
                          std::unique_ptr<http_exchange>& exchange) {
  const engine_fault fault = faults.hit(at);
  if (fault.kind.empty()) {
    return false;
  }
  if (fault.kind == "hang") {
    hanging.push_back(std::move(exchange));
    return true;
  }
  if (fault.kind == "refuse") {
    refuse(std::move(exchange), 503, "refused by a fault");
    return true;
  }
  if (fault.kind == "cut") {
    exchange->start_stream({200, {}, ""});
    exchange->write("{\"id\": \"");
    exchange.reset();
    return true;
  }
  if (fault.kind == "die") {
    die();
    return true;
  }
  if (fault.kind == "slow") {
    auto timer = std::make_shared<runtime_timer>(loop);
    timer->expires_after(from_microseconds(fault.delay_us));
    auto held_back =
        std::make_shared<std::unique_ptr<http_exchange>>(std::move(exchange));
    timer->async_wait(
        [this, timer, held_back, request,
         alive = std::weak_ptr<int>(alive)](boost::system::error_code) {
          if (!alive.expired()) {
            dispatch(request, std::move(*held_back));
          }
        });
    return true;
  }
  return false;
}

}  // namespace citronwharf::fake
