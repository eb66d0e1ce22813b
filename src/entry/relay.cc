#include "entry/relay.h"

#include <utility>

#include "entry/answer.h"

namespace citronwharf {

relay::relay(std::unique_ptr<http_exchange> exchange, std::string request_id)
    : exchange_(std::move(exchange)), request_id_(std::move(request_id)) {}

void relay::start() {
  if (!started_) {
    started_ = true;
    exchange_->start_stream(mark(stream_head(request_id_)));
  }
}

void relay::tokens(const std::vector<std::string>& next) {
  if (!open()) {
    return;
  }
  if (stream_) {
    start();
    exchange_->write(tokens_event(count_, next));
  }
  if (!stream_ || keep_text_) {
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
    exchange_->respond(mark(whole_response(request_id_, text_, count_)));
  }
  drop();
}

void relay::plain(int status, const std::vector<header_field>& headers,
                  std::string body) {
  if (open()) {
    exchange_->respond(
        mark(plain_response(request_id_, status, headers, std::move(body))));
    drop();
  }
}

void relay::replay(const std::string& text, std::int32_t tokens) {
  replayed_ = true;
  this->tokens({text});
  count_ = tokens;
  whole();
}

void relay::replay_plain(int status, const std::vector<header_field>& headers,
                         std::string body) {
  replayed_ = true;
  plain(status, headers, std::move(body));
}

http_response relay::mark(http_response out) const {
  if (replayed_) {
    out.headers.push_back({"Idempotency-Replayed", "true"});
  }
  return out;
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
