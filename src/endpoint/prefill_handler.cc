#include "endpoint/prefill_handler.h"

#include <algorithm>
#include <utility>

namespace citronwharf {

prefill_handler::prefill_handler(work_handler_context& context)
    : context_(context), queue_(context.options.queue) {}

void prefill_handler::handle(const prefill_request& request) {
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
  const time_point now = runtime_clock::now();
  work_item& item = items_[key];
  item.request = request;
  item.arrived_at = now;
  item.deadline = now + from_microseconds(request.header.deadline_us);
  item.queue_id = ++last_queue_id_;
  item.span = context_.traces.start_remote("queue", request.header.traceparent);
  keys_by_queue_id_[item.queue_id] = key;
  const absl::Status pushed = queue_.push(
      {item.queue_id, request.header.organisation, request.header.weight,
       service_class_of(request.header.service),
       static_cast<double>(request.prompt_tokens), item.deadline});
  if (!pushed.ok()) {
    fail(key, failure_reason::queue_full, false);
    return;
  }
  start_waiting();
}

failure_reason prefill_handler::admit(const prefill_request& request,
                                      duration& retry_after) {
  const failure_reason refusal = check_work(context_, request.header);
  if (refusal != failure_reason::none) {
    return refusal;
  }
  if (context_.info.incarnation == 0) {
    retry_after = context_.options.engine_stall_timeout;
    return failure_reason::engine_refused;
  }
  const std::int32_t pieces = pieces_for(context_.info, request.prompt_tokens);
  if (pieces > context_.info.pieces_total) {
    return failure_reason::too_large;
  }
  const duration predicted_end =
      predicted_wait() + context_.estimator.prefill_time(request.prompt_tokens);
  const duration time_left = from_microseconds(request.header.deadline_us);
  if (predicted_end > time_left) {
    retry_after = predicted_end - time_left;
    return failure_reason::deadline;
  }
  return context_.leases.begin(request.header.key, runtime_clock::now());
}

duration prefill_handler::predicted_wait() const {
  double tokens = queue_.waiting_cost();
  duration elapsed{};
  if (running_ != nullptr) {
    tokens += running_->request.prompt_tokens;
    elapsed = runtime_clock::now() - running_->started_at;
  }
  return std::max(duration(0),
                  context_.estimator.prefill_time(tokens) - elapsed);
}

void prefill_handler::start_waiting() {
  while (running_ == nullptr) {
    const auto next = queue_.pop();
    if (!next) {
      return;
    }
    const attempt_key key = keys_by_queue_id_.at(next->id);
    if (next->deadline <= runtime_clock::now()) {
      fail(key, failure_reason::deadline, false);
      continue;
    }
    start(items_.at(key));
  }
}

void prefill_handler::start(work_item& next) {
  keys_by_queue_id_.erase(next.queue_id);
  running_ = &next;
  next.started_at = runtime_clock::now();
  const prefill_request& request = next.request;
  const attempt_key key = request.header.key;
  next.span =
      context_.traces.start_remote("prefill", request.header.traceparent);
  const duration timeout =
      std::min(next.deadline - next.started_at,
               context_.options.engine_stall_timeout +
                   2 * context_.estimator.prefill_time(request.prompt_tokens));
  next.call = context_.engine.prefill(
      {to_string(key), request.model, request.prompt, request.prompt_tokens,
       engine_priority_of(request.header.service)},
      timeout,
      [this, key](const engine_error& error, const engine_export& result) {
        on_prefilled(key, error, result);
      });
}

void prefill_handler::on_prefilled(const attempt_key& key,
                                   const engine_error& error,
                                   const engine_export& result) {
  work_item& item = items_.at(key);
  // The caller is a callback of this call, so the call must outlive the item.
  const engine_client::call finished_call = std::move(item.call);
  if (error.reason != failure_reason::none) {
    fail(key, error.reason, error.ran);
    return;
  }
  const time_point now = runtime_clock::now();
  const duration run_time = now - item.started_at;
  context_.estimator.record_prefill(item.request.prompt_tokens, run_time);
  prefill_reply reply;
  reply.key = key;
  reply.ran = true;
  reply.export_id = result.export_id;
  reply.engine_address = result.address;
  reply.expires_in_us = result.expires_in_us;
  reply.kv_bytes = result.kv_bytes;
  reply.queued_us = to_microseconds(item.started_at - item.arrived_at);
  reply.run_us = to_microseconds(run_time);
  exports_.push_back({key, now + from_microseconds(result.expires_in_us)});
  running_ = nullptr;
  items_.erase(key);
  send(std::move(reply));
  start_waiting();
}

void prefill_handler::remove(const attempt_key& key) {
  const auto found = items_.find(key);
  queue_.erase(found->second.queue_id);
  keys_by_queue_id_.erase(found->second.queue_id);
  if (running_ == &found->second) {
    running_ = nullptr;
    context_.engine.cancel(to_string(key));
  }
  items_.erase(found);
  context_.leases.end(key, runtime_clock::now());
}

void prefill_handler::fail(const attempt_key& key, failure_reason reason,
                           bool ran) {
  remove(key);
  refuse(key, reason, ran, predicted_wait());
  start_waiting();
}

void prefill_handler::cancel_attempt(const attempt_key& key) {
  if (items_.count(key) > 0) {
    remove(key);
    start_waiting();
    return;
  }
  const auto found_export = std::find_if(
      exports_.begin(), exports_.end(),
      [&](const retained_export& each) { return each.key == key; });
  if (found_export != exports_.end()) {
    exports_.erase(found_export);
    context_.engine.cancel(to_string(key));
  }
}

void prefill_handler::tick(time_point now) {
  for (const queue_item& expired : queue_.expire(now)) {
    const attempt_key key = keys_by_queue_id_.at(expired.id);
    fail(key, failure_reason::deadline, false);
  }
  const auto first_expired =
      std::remove_if(exports_.begin(), exports_.end(), [&](const auto& each) {
        if (each.expires_at > now) {
          return false;
        }
        context_.leases.end(each.key, now);
        return true;
      });
  exports_.erase(first_expired, exports_.end());
}

void prefill_handler::refuse(const attempt_key& key, failure_reason reason,
                             bool ran, duration retry_after) {
  count_refusal(context_, reason);
  prefill_reply reply;
  reply.key = key;
  reply.reason = reason;
  reply.ran = ran;
  reply.retry_after_us = to_microseconds(retry_after);
  send(std::move(reply));
}

void prefill_handler::send(prefill_reply reply) {
  add_load(reply.load);
  const bool exported = !reply.export_id.empty();
  const attempt_key key = reply.key;
  if (!context_.send(key.entry, make_frame(reply)).ok() && exported) {
    // The entry does not know of the export, so nobody will pull it.
    cancel_attempt(key);
  }
}

void prefill_handler::add_load(endpoint_load& load) const {
  load.incarnation = context_.incarnation;
  load.leaving = context_.leaving.leaving();
  load.pieces_total = context_.info.pieces_total;
  load.piece_tokens = context_.info.piece_tokens;
  load.running = running_ == nullptr ? 0 : 1;
  load.waiting = static_cast<std::int32_t>(queue_.size());
  load.queue_delay_us = to_microseconds(predicted_wait());
  load.tokens_per_second = context_.estimator.prefill_rate();
}

}  // namespace citronwharf
