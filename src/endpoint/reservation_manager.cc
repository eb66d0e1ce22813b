#include "endpoint/reservation_manager.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

/// Predicted remaining run time of work adopted from before this process
/// started.
constexpr duration predicted_adopted_run = seconds(5);

}  // namespace

reservation_manager::reservation_manager(work_handler_context& context)
    : context_(context), queue_(context.options.queue) {}

void reservation_manager::set_memory(const engine_info& info) {
  if (reservations_ && options_.pieces_total == info.pieces_total) {
    return;
  }
  options_.pieces_total = info.pieces_total;
  options_.max_running = info.max_batch;
  reservations_.emplace(options_);
}

void reservation_manager::handle(const reserve_request& request) {
  const attempt_key& key = request.header.key;
  if (waiting_.count(key) > 0) {
    return;  // a repeat of a waiting request, which gets the reply
  }
  const failure_reason reason = admit(request);
  if (reason != failure_reason::none) {
    refuse(key, reason, context_.options.engine_stall_timeout);
    return;
  }
  const std::int32_t pieces =
      pieces_for(context_.info, request.prompt_tokens + request.max_tokens);
  enqueue(request, pieces);
  grant_waiting();
  const auto remaining = waiting_.find(key);
  if (remaining == waiting_.end()) {
    return;
  }
  const duration time_left = from_microseconds(request.header.deadline_us);
  if (next_release_in_ > time_left) {
    remove(key);
    refuse(key, failure_reason::no_memory, next_release_in_);
  }
}

failure_reason reservation_manager::admit(const reserve_request& request) {
  const failure_reason refusal = check_work(context_, request.header);
  if (refusal != failure_reason::none) {
    return refusal;
  }
  if (!reservations_) {
    return failure_reason::engine_refused;
  }
  const std::int32_t pieces =
      pieces_for(context_.info, request.prompt_tokens + request.max_tokens);
  if (pieces > context_.info.pieces_total) {
    return failure_reason::too_large;
  }
  if (queue_.size() >= context_.options.queue.max_items ||
      queue_.size_of(request.header.organisation) >=
          context_.options.queue.max_items_per_organisation) {
    return failure_reason::queue_full;
  }
  return context_.leases.hold(request.header.key, runtime_clock::now());
}

void reservation_manager::enqueue(const reserve_request& request,
                                  std::int32_t pieces) {
  const work_header& header = request.header;
  const time_point now = runtime_clock::now();
  waiting_request& queued = waiting_[header.key];
  queued.request = request;
  queued.pieces = pieces;
  queued.arrived_at = now;
  queued.queue_id = ++last_queue_id_;
  queued.span = context_.traces.start_remote("reservation", header.traceparent);
  keys_by_queue_id_[queued.queue_id] = header.key;
  const absl::Status pushed = queue_.push(
      {queued.queue_id, header.organisation, header.weight,
       service_class_of(header.service),
       static_cast<double>(request.prompt_tokens + request.max_tokens),
       now + from_microseconds(header.deadline_us)});
  if (!pushed.ok()) {
    const attempt_key key = header.key;
    remove(key);
    refuse(key, failure_reason::queue_full, next_release_in_);
  }
}

void reservation_manager::grant_waiting() {
  if (!reservations_) {
    return;
  }
  const time_point now = runtime_clock::now();
  for (auto next = queue_.peek(); next; next = queue_.peek()) {
    const attempt_key key = keys_by_queue_id_.at(next->id);
    const waiting_request& queued = waiting_.at(key);
    const reservation_decision decision = reservations_->reserve(
        key, queued.pieces, from_microseconds(queued.request.ready_in_us), now);
    if (!decision.granted) {
      next_release_in_ = decision.retry_after;
      return;
    }
    queue_.pop();
    const std::int32_t pieces = queued.pieces;
    keys_by_queue_id_.erase(next->id);
    waiting_.erase(key);
    grant(key, pieces, decision);
  }
}

void reservation_manager::grant(const attempt_key& key, std::int32_t pieces,
                                const reservation_decision& decision) {
  reserve_reply reply;
  reply.key = key;
  reply.pieces = pieces;
  reply.available_in_us = to_microseconds(decision.available_in);
  reply.lease_us = to_microseconds(options_.lease);
  send(std::move(reply));
}

bool reservation_manager::start(const attempt_key& key, std::int32_t pieces,
                                time_point predicted_release, time_point now) {
  return reservations_ &&
         reservations_->start(key, pieces, predicted_release, now);
}

void reservation_manager::adopt(const attempt_key& key, std::int32_t pieces,
                                time_point now) {
  adopted_.insert(key);
  start(key, pieces, now + predicted_adopted_run, now);
}

void reservation_manager::release(const attempt_key& key) {
  adopted_.erase(key);
  if (reservations_ && reservations_->release(key)) {
    grant_waiting();
  }
}

void reservation_manager::on_release_started(const attempt_key& key,
                                             time_point now) {
  if (reservations_) {
    reservations_->update_predicted_release(key, now);
  }
}

void reservation_manager::remove(const attempt_key& key) {
  const auto found = waiting_.find(key);
  queue_.erase(found->second.queue_id);
  keys_by_queue_id_.erase(found->second.queue_id);
  waiting_.erase(found);
  context_.leases.forget(key);
}

void reservation_manager::cancel_attempt(const attempt_key& key) {
  if (waiting_.count(key) > 0) {
    remove(key);
    grant_waiting();
  }
}

void reservation_manager::tick(time_point now) {
  for (const queue_item& expired : queue_.expire(now)) {
    const attempt_key key = keys_by_queue_id_.at(expired.id);
    remove(key);
    refuse(key, failure_reason::deadline, next_release_in_);
  }
  if (!reservations_) {
    return;
  }
  for (const attempt_key& key : reservations_->expire(now)) {
    context_.leases.forget(key);
  }
  grant_waiting();
}

void reservation_manager::refuse(const attempt_key& key, failure_reason reason,
                                 duration retry_after) {
  count_refusal(context_, reason);
  reserve_reply reply;
  reply.key = key;
  reply.reason = reason;
  reply.retry_after_us = to_microseconds(retry_after);
  send(std::move(reply));
}

void reservation_manager::send(reserve_reply reply) {
  add_load(reply.load);
  const attempt_key key = reply.key;
  const bool reserved = reply.reason == failure_reason::none;
  if (!context_.send(key.entry, make_frame(reply)).ok() && reserved) {
    // The entry does not know of the reservation. The next tick grants waiting
    // requests.
    reservations_->release(key);
    context_.leases.forget(key);
  }
}

bool reservation_manager::idle() const {
  return waiting_.empty() && (!reservations_ || reservations_->reserved() == 0);
}

void reservation_manager::add_load(endpoint_load& load) const {
  load.incarnation = context_.incarnation;
  load.leaving = context_.leaving.leaving();
  load.pieces_total = context_.info.pieces_total;
  load.piece_tokens = context_.info.piece_tokens;
  load.pieces_free = reservations_ ? reservations_->free() : 0;
  load.running = reservations_ ? reservations_->running() : 0;
  load.waiting = static_cast<std::int32_t>(waiting_.size());
  load.queue_delay_us =
      waiting_.empty() ? 0 : to_microseconds(next_release_in_);
  load.token_interval_us = to_microseconds(context_.estimator.token_interval());
  const double interval_us =
      std::max(1.0, static_cast<double>(load.token_interval_us));
  load.tokens_per_second = std::max(1, load.running) * 1e6 / interval_us;
}

}  // namespace citronwharf
