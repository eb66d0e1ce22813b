#include "endpoint/plain_handler.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

/// An answer must fit into a frame to the entry.
constexpr std::size_t max_answer_bytes = 3U << 20U;

}  // namespace

plain_handler::plain_handler(work_handler_context& parts, std::string address)
    : parts_(parts),
      address_(std::move(address)),
      queue_(parts.options.queue) {}

void plain_handler::take(const plain_request& request) {
  const attempt_key& key = request.header.key;
  if (work_.count(key) > 0) {
    return;  // a repeat of a live attempt gets that attempt's answer
  }
  duration retry_after{};
  const failure_reason reason = admit(request, retry_after);
  if (reason != failure_reason::none) {
    refuse(key, reason, reason == failure_reason::duplicate, retry_after);
    return;
  }
  const work_header& header = request.header;
  item& one = work_[key];
  one.request = request;
  one.deadline = runtime_clock::now() + from_microseconds(header.deadline_us);
  one.queue_id = ++last_queue_id_;
  one.hop = parts_.traces.start_remote("queue", header.traceparent);
  by_queue_id_[one.queue_id] = key;
  const absl::Status pushed =
      queue_.push({one.queue_id, header.organisation, header.weight,
                   class_of(header.service), 1.0, one.deadline});
  if (!pushed.ok()) {
    remove(key);
    refuse(key, failure_reason::queue_full, false, predicted_wait());
    return;
  }
  pump();
}

failure_reason plain_handler::admit(const plain_request& request,
                                    duration& retry_after) {
  const failure_reason checked = check_work(parts_, request.header);
  if (checked != failure_reason::none) {
    return checked;
  }
  const duration wait = predicted_wait();
  const duration left = from_microseconds(request.header.deadline_us);
  if (wait > left || left <= duration(0)) {
    retry_after = std::max(duration(0), wait - left);
    return failure_reason::deadline;
  }
  return parts_.held.begin(request.header.key, runtime_clock::now());
}

duration plain_handler::predicted_wait() const {
  const auto ahead = static_cast<std::int64_t>(queue_.size());
  const auto slots = static_cast<std::int64_t>(parts_.options.plain_in_flight);
  return parts_.rates.call_time() * ahead / slots;
}

void plain_handler::pump() {
  while (running_ < parts_.options.plain_in_flight) {
    const auto next = queue_.pop();
    if (!next) {
      return;
    }
    const attempt_key key = by_queue_id_.at(next->id);
    if (next->deadline <= runtime_clock::now()) {
      remove(key);
      refuse(key, failure_reason::deadline, false, predicted_wait());
      continue;
    }
    start(key, work_.at(key));
  }
}

void plain_handler::start(const attempt_key& key, item& next) {
  ++running_;
  next.started = runtime_clock::now();
  const plain_request& request = next.request;
  next.hop = parts_.traces.start_remote("service", request.header.traceparent);
  http_call_options options;
  options.address = address_;
  options.idle_timeout = next.deadline - next.started;
  options.connect_timeout =
      std::min(options.connect_timeout, options.idle_timeout);
  options.max_body_bytes = max_answer_bytes;
  next.call =
      fetch(parts_.loop, options,
            {request.method, request.target, request.headers, request.body, ""},
            [this, key](const absl::StatusOr<http_response>& answer,
                        bool sent) { finished(key, answer, sent); });
}

void plain_handler::finished(const attempt_key& key,
                             const absl::StatusOr<http_response>& answer,
                             bool sent) {
  item& one = work_.at(key);
  // This runs in the call's handler, which must outlive the item.
  const std::unique_ptr<http_call> ended = std::move(one.call);
  parts_.rates.called(runtime_clock::now() - one.started);
  --running_;
  remove(key);
  if (!answer.ok()) {
    refuse(key, failure_reason::engine_lost, sent, predicted_wait());
  } else {
    plain_reply reply;
    reply.key = key;
    reply.ran = true;
    reply.status = answer->status;
    reply.headers = answer->headers;
    reply.body = answer->body;
    add_load(reply.load);
    parts_.send(key.entry, make_frame(reply)).IgnoreError();
  }
  pump();
}

void plain_handler::remove(const attempt_key& key) {
  const auto found = work_.find(key);
  running_ -= found->second.call ? 1 : 0;
  queue_.erase(found->second.queue_id);
  by_queue_id_.erase(found->second.queue_id);
  work_.erase(found);
  parts_.held.end(key, runtime_clock::now());
}

void plain_handler::drop(const attempt_key& key) {
  if (work_.count(key) > 0) {
    remove(key);
    pump();
  }
}

void plain_handler::tick(time_point now) {
  for (const queue_item& late : queue_.expire(now)) {
    const attempt_key key = by_queue_id_.at(late.id);
    remove(key);
    refuse(key, failure_reason::deadline, false, predicted_wait());
  }
}

void plain_handler::refuse(const attempt_key& key, failure_reason reason,
                           bool ran, duration retry_after) {
  count_refusal(parts_, reason);
  plain_reply reply;
  reply.key = key;
  reply.reason = reason;
  reply.ran = ran;
  reply.retry_after_us = to_microseconds(retry_after);
  add_load(reply.load);
  parts_.send(key.entry, make_frame(reply)).IgnoreError();
}

void plain_handler::add_load(endpoint_load& load) const {
  load.incarnation = parts_.incarnation;
  load.leaving = parts_.leaving.leaving();
  load.running = static_cast<std::int32_t>(running_);
  load.waiting = static_cast<std::int32_t>(queue_.size());
  load.queue_delay_us = to_microseconds(predicted_wait());
}

}  // namespace citronwharf
