#include "endpoint/plain_handler.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

/// A response must fit into a frame to the entry.
constexpr std::size_t max_response_bytes = 3U << 20U;

}  // namespace

plain_handler::plain_handler(work_handler_context& context, std::string address)
    : context_(context),
      address_(std::move(address)),
      queue_(context.options.queue) {}

void plain_handler::handle(const plain_request& request) {
  const attempt_key& key = request.header.key;
  if (items_.count(key) > 0) {
    return;  // a repeat of an active attempt; that attempt replies
  }
  duration retry_after{};
  const failure_reason reason = admit(request, retry_after);
  if (reason != failure_reason::none) {
    refuse(key, reason, reason == failure_reason::duplicate, retry_after);
    return;
  }
  const work_header& header = request.header;
  work_item& item = items_[key];
  item.request = request;
  item.deadline = runtime_clock::now() + from_microseconds(header.deadline_us);
  item.queue_id = ++last_queue_id_;
  item.span = context_.traces.start_remote("queue", header.traceparent);
  keys_by_queue_id_[item.queue_id] = key;
  const absl::Status pushed =
      queue_.push({item.queue_id, header.organisation, header.weight,
                   service_class_of(header.service), 1.0, item.deadline});
  if (!pushed.ok()) {
    remove(key);
    refuse(key, failure_reason::queue_full, false, predicted_wait());
    return;
  }
  start_waiting();
}

failure_reason plain_handler::admit(const plain_request& request,
                                    duration& retry_after) {
  const failure_reason refusal = check_work(context_, request.header);
  if (refusal != failure_reason::none) {
    return refusal;
  }
  const duration expected_wait = predicted_wait();
  const duration time_left = from_microseconds(request.header.deadline_us);
  if (expected_wait > time_left || time_left <= duration(0)) {
    retry_after = std::max(duration(0), expected_wait - time_left);
    return failure_reason::deadline;
  }
  return context_.leases.begin(request.header.key, runtime_clock::now());
}

duration plain_handler::predicted_wait() const {
  const auto queued_calls = static_cast<std::int64_t>(queue_.size());
  const auto slots =
      static_cast<std::int64_t>(context_.options.max_plain_calls);
  return context_.estimator.call_time() * queued_calls / slots;
}

void plain_handler::start_waiting() {
  while (running_ < context_.options.max_plain_calls) {
    const auto next = queue_.pop();
    if (!next) {
      return;
    }
    const attempt_key key = keys_by_queue_id_.at(next->id);
    if (next->deadline <= runtime_clock::now()) {
      remove(key);
      refuse(key, failure_reason::deadline, false, predicted_wait());
      continue;
    }
    start(key, items_.at(key));
  }
}

void plain_handler::start(const attempt_key& key, work_item& next) {
  ++running_;
  next.started_at = runtime_clock::now();
  const plain_request& request = next.request;
  next.span =
      context_.traces.start_remote("service", request.header.traceparent);
  http_call_options options;
  options.address = address_;
  options.idle_timeout = next.deadline - next.started_at;
  options.connect_timeout =
      std::min(options.connect_timeout, options.idle_timeout);
  options.max_body_bytes = max_response_bytes;
  next.call =
      fetch(context_.loop, options,
            {request.method, request.target, request.headers, request.body, ""},
            [this, key](const absl::StatusOr<http_response>& response,
                        bool sent) { on_response(key, response, sent); });
}

void plain_handler::on_response(const attempt_key& key,
                                const absl::StatusOr<http_response>& response,
                                bool sent) {
  work_item& item = items_.at(key);
  // The caller is a callback of this call, so the call must outlive the item.
  const std::unique_ptr<http_call> finished_call = std::move(item.call);
  context_.estimator.record_plain_call(runtime_clock::now() - item.started_at);
  --running_;
  remove(key);
  if (!response.ok()) {
    refuse(key, failure_reason::engine_lost, sent, predicted_wait());
  } else {
    plain_reply reply;
    reply.key = key;
    reply.ran = true;
    reply.status = response->status;
    reply.headers = response->headers;
    reply.body = response->body;
    add_load(reply.load);
    context_.send(key.entry, make_frame(reply)).IgnoreError();
  }
  start_waiting();
}

void plain_handler::remove(const attempt_key& key) {
  const auto found = items_.find(key);
  running_ -= found->second.call ? 1 : 0;
  queue_.erase(found->second.queue_id);
  keys_by_queue_id_.erase(found->second.queue_id);
  items_.erase(found);
  context_.leases.end(key, runtime_clock::now());
}

void plain_handler::cancel_attempt(const attempt_key& key) {
  if (items_.count(key) > 0) {
    remove(key);
    start_waiting();
  }
}

void plain_handler::tick(time_point now) {
  for (const queue_item& expired : queue_.expire(now)) {
    const attempt_key key = keys_by_queue_id_.at(expired.id);
    remove(key);
    refuse(key, failure_reason::deadline, false, predicted_wait());
  }
}

void plain_handler::refuse(const attempt_key& key, failure_reason reason,
                           bool ran, duration retry_after) {
  count_refusal(context_, reason);
  plain_reply reply;
  reply.key = key;
  reply.reason = reason;
  reply.ran = ran;
  reply.retry_after_us = to_microseconds(retry_after);
  add_load(reply.load);
  context_.send(key.entry, make_frame(reply)).IgnoreError();
}

void plain_handler::add_load(endpoint_load& load) const {
  load.incarnation = context_.incarnation;
  load.leaving = context_.leaving.leaving();
  load.running = static_cast<std::int32_t>(running_);
  load.waiting = static_cast<std::int32_t>(queue_.size());
  load.queue_delay_us = to_microseconds(predicted_wait());
}

}  // namespace citronwharf
