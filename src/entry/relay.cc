#include "entry/relay.h"

#include <utility>

#include "entry/answer.h"

namespace citronwharf {

relay::relay(std::unique_ptr<http_exchange> exchange, std::string request_id)
    : exchange_(std::move(exchange)), request_id_(std::move(request_id)) {}

void relay::begin_stream() {
  if (!stream_started_) {
    stream_started_ = true;
    exchange_->start_stream(mark_replayed(stream_response_head(request_id_)));
  }
}

void relay::append(const std::vector<std::string>& new_tokens) {
  if (!open()) {
    return;
  }
  if (streaming_) {
    begin_stream();
    exchange_->write(tokens_event(token_count_, new_tokens));
  }
  if (!streaming_ || store_text_) {
    for (const std::string& token : new_tokens) {
      text_ += token;
    }
  }
  token_count_ += static_cast<std::int32_t>(new_tokens.size());
}

void relay::complete() {
  if (!open()) {
    return;
  }
  if (streaming_) {
    begin_stream();
    exchange_->write(end_event(request_id_, token_count_));
    exchange_->finish();
  } else {
    exchange_->respond(
        mark_replayed(pools_response(request_id_, text_, token_count_)));
  }
  close();
}

void relay::respond_plain(int status, const std::vector<header_field>& headers,
                          std::string body) {
  if (open()) {
    exchange_->respond(mark_replayed(
        plain_response(request_id_, status, headers, std::move(body))));
    close();
  }
}

void relay::replay(const std::string& text, std::int32_t tokens) {
  replayed_ = true;
  this->append({text});
  token_count_ = tokens;
  complete();
}

void relay::replay_plain(int status, const std::vector<header_field>& headers,
                         std::string body) {
  replayed_ = true;
  respond_plain(status, headers, std::move(body));
}

http_response relay::mark_replayed(http_response out) const {
  if (replayed_) {
    out.headers.push_back({"Idempotency-Replayed", "true"});
  }
  return out;
}

void relay::fail(const problem& failure) {
  if (!open()) {
    return;
  }
  if (stream_started_) {
    exchange_->write(error_event(request_id_, failure, token_count_));
    exchange_->finish();
  } else {
    exchange_->respond(problem_response(request_id_, failure));
  }
  close();
}

void relay::on_closed(std::function<void()> handler) {
  if (open()) {
    exchange_->on_closed(std::move(handler));
  }
}

}  // namespace citronwharf
