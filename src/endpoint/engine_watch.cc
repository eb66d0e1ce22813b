#include "endpoint/engine_watch.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace citronwharf {
namespace {

constexpr duration poll_interval = milliseconds(200);
constexpr std::size_t attempt_key_part_count = 4;

}  // namespace

std::optional<attempt_key> parse_attempt_key(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, '/');
  attempt_key key;
  if (parts.size() != attempt_key_part_count || parts[0].empty() ||
      !absl::SimpleAtoi(parts[1], &key.incarnation) ||
      !absl::SimpleAtoi(parts[2], &key.request) ||
      !absl::SimpleAtoi(parts[3], &key.attempt)) {
    return std::nullopt;
  }
  key.entry = parts[0];
  return key;
}

engine_watch::engine_watch(boost::asio::io_context& loop, engine_client& engine,
                           engine_watch_handlers handlers)
    : engine_(engine), handlers_(std::move(handlers)), timer_(loop) {}

void engine_watch::start() {
  request_info();
}

void engine_watch::stop() {
  call_.reset();
  timer_.cancel();
}

void engine_watch::request_info() {
  call_ =
      engine_.info([this](const engine_error& error, const engine_info& info) {
        const engine_client::call finished_call = std::move(call_);
        if (error.reason != failure_reason::none || info.incarnation == 0) {
          schedule_next_poll();
          return;
        }
        if (last_info_.incarnation == 0) {
          request_held(info);
          return;
        }
        if (info != last_info_) {
          last_info_ = info;
          handlers_.on_changed(info);
        }
        request_load();
      });
}

void engine_watch::request_held(const engine_info& info) {
  call_ = engine_.held([this, info](const engine_error& error,
                                    const std::vector<engine_held>& held) {
    const engine_client::call finished_call = std::move(call_);
    if (error.reason == failure_reason::none) {
      last_info_ = info;
      handlers_.on_found(info, held);
    }
    schedule_next_poll();
  });
}

void engine_watch::request_load() {
  call_ =
      engine_.load([this](const engine_error& error, const engine_load& load) {
        const engine_client::call finished_call = std::move(call_);
        if (error.reason == failure_reason::none) {
          handlers_.on_load(load);
        }
        schedule_next_poll();
      });
}

void engine_watch::schedule_next_poll() {
  timer_.expires_after(poll_interval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      request_info();
    }
  });
}

}  // namespace citronwharf
