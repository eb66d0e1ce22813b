#include "endpoint/prefill_handler.h"

#include <algorithm>
#include <utility>

namespace citronwharf {

prefill_handler::prefill_handler(work_handler_context& parts)
    : parts_(parts), queue_(parts.options.queue) {}

void prefill_handler::take(const prefill_request& request) {
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
  const time_point now = runtime_clock::now();
  item& one = work_[key];
  one.request = request;
  one.arrived = now;
  one.deadline = now + from_microseconds(request.header.deadline_us);
  one.queue_id = ++last_queue_id_;
  one.hop = parts_.traces.start_remote("queue", request.header.traceparent);
  by_queue_id_[one.queue_id] = key;
  const absl::Status pushed =
      queue_.push({one.queue_id, request.header.organisation,
                   request.header.weight, class_of(request.header.service),
                   static_cast<double>(request.prompt_tokens), one.deadline});
  if (!pushed.ok()) {
    give_up(key, failure_reason::queue_full, false);
    return;
  }
  pump();
}

failure_reason prefill_handler::admit(const prefill_request& request,
                                      duration& retry_after) {
  const failure_reason checked = check_work(parts_, request.header);
  if (checked != failure_reason::none) {
    return checked;
  }
  if (parts_.info.incarnation == 0) {
    retry_after = parts_.options.engine_stall;
    return failure_reason::engine_refused;
  }
  const std::int32_t pieces = pieces_for(parts_.info, request.prompt_tokens);
  if (pieces > parts_.info.pieces_total) {
    return failure_reason::too_large;
  }
  const duration ends =
      predicted_wait() + parts_.rates.prefill_time(request.prompt_tokens);
  const duration left = from_microseconds(request.header.deadline_us);
  if (ends > left) {
    retry_after = ends - left;
    return failure_reason::deadline;
  }
  return parts_.held.begin(request.header.key, runtime_clock::now());
}

duration prefill_handler::predicted_wait() const {
  double tokens = queue_.waiting_cost();
  duration done{};
  if (running_ != nullptr) {
    tokens += running_->request.prompt_tokens;
    done = runtime_clock::now() - running_->started;
  }
  return std::max(duration(0), parts_.rates.prefill_time(tokens) - done);
}

void prefill_handler::pump() {
  while (running_ == nullptr) {
    const auto next = queue_.pop();
    if (!next) {
      return;
    }
    const attempt_key key = by_queue_id_.at(next->id);
    if (next->deadline <= runtime_clock::now()) {
      give_up(key, failure_reason::deadline, false);
      continue;
    }
    start(work_.at(key));
  }
}

void prefill_handler::start(item& next) {
  by_queue_id_.erase(next.queue_id);
  running_ = &next;
  next.started = runtime_clock::now();
  const prefill_request& request = next.request;
  const attempt_key key = request.header.key;
  next.hop = parts_.traces.start_remote("prefill", request.header.traceparent);
  const duration limit =
      std::min(next.deadline - next.started,
               parts_.options.engine_stall +
                   2 * parts_.rates.prefill_time(request.prompt_tokens));
  next.call = parts_.engine.prefill(
      {to_string(key), request.model, request.prompt, request.prompt_tokens,
       priority_of(request.header.service)},
      limit, [this, key](const engine_error& error, const engine_export& got) {
        finished(key, error, got);
      });
}

void prefill_handler::finished(const attempt_key& key,
                               const engine_error& error,
                               const engine_export& got) {
  item& one = work_.at(key);
  // This runs in the call's handler, which must outlive the item.
  const engine_client::call ended = std::move(one.call);
  if (error.reason != failure_reason::none) {
    give_up(key, error.reason, error.ran);
    return;
  }
  const time_point now = runtime_clock::now();
  const duration run = now - one.started;
  parts_.rates.prefilled(one.request.prompt_tokens, run);
  prefill_reply reply;
  reply.key = key;
  reply.ran = true;
  reply.export_id = got.export_id;
  reply.engine_address = got.address;
  reply.expires_in_us = got.expires_in_us;
  reply.kv_bytes = got.kv_bytes;
  reply.queued_us = to_microseconds(one.started - one.arrived);
  reply.run_us = to_microseconds(run);
  exports_.push_back({key, now + from_microseconds(got.expires_in_us)});
  running_ = nullptr;
  work_.erase(key);
  send(std::move(reply));
  pump();
}

void prefill_handler::remove(const attempt_key& key) {
  const auto found = work_.find(key);
  queue_.erase(found->second.queue_id);
  by_queue_id_.erase(found->second.queue_id);
  if (running_ == &found->second) {
    running_ = nullptr;
    parts_.engine.cancel(to_string(key));
  }
  work_.erase(found);
  parts_.held.end(key, runtime_clock::now());
}

void prefill_handler::give_up(const attempt_key& key, failure_reason reason,
                              bool ran) {
  remove(key);
  refuse(key, reason, ran, predicted_wait());
  pump();
}

void prefill_handler::drop(const attempt_key& key) {
  if (work_.count(key) > 0) {
    remove(key);
    pump();
    return;
  }
  const auto kept =
      std::find_if(exports_.begin(), exports_.end(),
                   [&](const kept_export& one) { return one.key == key; });
  if (kept != exports_.end()) {
    exports_.erase(kept);
    parts_.engine.cancel(to_string(key));
  }
}

void prefill_handler::tick(time_point now) {
  for (const queue_item& late : queue_.expire(now)) {
    const attempt_key key = by_queue_id_.at(late.id);
    give_up(key, failure_reason::deadline, false);
  }
  const auto gone =
      std::remove_if(exports_.begin(), exports_.end(), [&](const auto& one) {
        if (one.until > now) {
          return false;
        }
        parts_.held.end(one.key, now);
        return true;
      });
  exports_.erase(gone, exports_.end());
}

void prefill_handler::refuse(const attempt_key& key, failure_reason reason,
                             bool ran, duration retry_after) {
  count_refusal(parts_, reason);
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
  if (!parts_.send(key.entry, make_frame(reply)).ok() && exported) {
    drop(key);  // nobody will pull it
  }
}

void prefill_handler::add_load(endpoint_load& load) const {
  load.incarnation = parts_.incarnation;
  load.leaving = parts_.leaving.leaving();
  load.pieces_total = parts_.info.pieces_total;
  load.piece_tokens = parts_.info.piece_tokens;
  load.running = running_ == nullptr ? 0 : 1;
  load.waiting = static_cast<std::int32_t>(queue_.size());
  load.queue_delay_us = to_microseconds(predicted_wait());
  load.tokens_per_second = parts_.rates.prefill_rate();
}

}  // namespace citronwharf
