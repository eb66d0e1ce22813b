#include "endpoint/engine_watch.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace citronwharf {
namespace {

constexpr duration poll_interval = milliseconds(200);
constexpr std::size_t key_parts = 4;

}  // namespace

std::optional<attempt_key> parse_attempt_key(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, '/');
  attempt_key key;
  if (parts.size() != key_parts || parts[0].empty() ||
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
  ask_info();
}

void engine_watch::stop() {
  call_.reset();
  timer_.cancel();
}

void engine_watch::ask_info() {
  call_ =
      engine_.info([this](const engine_error& error, const engine_info& info) {
        const engine_client::call ended = std::move(call_);
        if (error.reason != failure_reason::none || info.incarnation == 0) {
          again();
          return;
        }
        if (known_.incarnation == 0) {
          ask_held(info);
          return;
        }
        if (info != known_) {
          known_ = info;
          handlers_.on_changed(info);
        }
        ask_load();
      });
}

void engine_watch::ask_held(const engine_info& info) {
  call_ = engine_.held([this, info](const engine_error& error,
                                    const std::vector<engine_held>& held) {
    const engine_client::call ended = std::move(call_);
    if (error.reason == failure_reason::none) {
      known_ = info;
      handlers_.on_found(info, held);
    }
    again();
  });
}

void engine_watch::ask_load() {
  call_ =
      engine_.load([this](const engine_error& error, const engine_load& load) {
        const engine_client::call ended = std::move(call_);
        if (error.reason == failure_reason::none) {
          handlers_.on_load(load);
        }
        again();
      });
}

void engine_watch::again() {
  timer_.expires_after(poll_interval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      ask_info();
    }
  });
}

}  // namespace citronwharf
