#include "entry/relay.h"

#include <utility>

#include "entry/answer.h"

namespace citronwharf {

relay::relay(std::unique_ptr<http_exchange> exchange, std::string request_id)
    : exchange_(std::move(exchange)), request_id_(std::move(request_id)) {}

void relay::start() {
  if (!started_) {
    started_ = true;
    exchange_->start_stream(stream_head(request_id_));
  }
}

void relay::tokens(const std::vector<std::string>& next) {
  if (!open()) {
    return;
  }
  if (stream_) {
    start();
    exchange_->write(tokens_event(count_, next));
  } else {
    for (const std::string& token : next) {
      text_ += token;
    }
  }
  count_ += static_cast<std::int32_t>(next.size());
}

void relay::whole() {
  if (!open()) {
    return;
  }
  if (stream_) {
    start();
    exchange_->write(end_event(request_id_, count_));
    exchange_->finish();
  } else {
    exchange_->respond(whole_response(request_id_, text_, count_));
  }
  drop();
}

void relay::plain(int status, const std::vector<header_field>& headers,
                  std::string body) {
  if (open()) {
    exchange_->respond(
        plain_response(request_id_, status, headers, std::move(body)));
    drop();
  }
}

void relay::broken(const problem& why) {
  if (!open()) {
    return;
  }
  if (started_) {
    exchange_->write(error_event(request_id_, why, count_));
    exchange_->finish();
  } else {
    exchange_->respond(problem_response(request_id_, why));
  }
  drop();
}

void relay::on_closed(std::function<void()> handler) {
  if (open()) {
    exchange_->on_closed(std::move(handler));
  }
}

}  // namespace citronwharf
