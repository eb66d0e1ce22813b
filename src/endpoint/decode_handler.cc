#include "endpoint/decode_handler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citronwharf {
namespace {

/// Time for which a finished stream can still be resumed.
constexpr duration finished_retention = seconds(5);
/// Between two attempts to import, or to reattach to a broken engine stream.
constexpr duration retry_interval = milliseconds(10);
constexpr int max_reattach_count = 3;
/// HTTP status when the engine no longer knows the request.
constexpr int status_not_found = 404;
/// Time limit of an adopted stream; only the earlier process knew its deadline.
constexpr duration adopted_stream_timeout = seconds(60);

/// Returns the tokens that need memory. Tokens that the caller already has are
/// part of the prompt.
std::int32_t tokens_needing_memory(const decode_request& request) {
  return request.prompt_tokens + request.max_tokens - request.offset;
}

}  // namespace

decode_handler::decode_handler(work_handler_context& context,
                               reservation_manager& manager)
    : context_(context), manager_(manager) {}

decode_handler::decode_stream* decode_handler::find(const attempt_key& key) {
  const auto found = streams_.find(key);
  return found == streams_.end() ? nullptr : &found->second;
}

void decode_handler::handle(const decode_request& request) {
  const attempt_key& key = request.header.key;
  if (find(key) != nullptr) {
    return;  // a repeat of an active attempt; that attempt replies
  }
  const failure_reason reason = admit(request);
  if (reason != failure_reason::none) {
    refuse(key, reason, reason == failure_reason::duplicate);
    return;
  }
  const time_point now = runtime_clock::now();
  decode_stream& stream =
      streams_.emplace(key, decode_stream(request)).first->second;
  stream.pieces = pieces_for(context_.info, tokens_needing_memory(request));
  stream.export_expires_at = now + from_microseconds(request.expires_in_us);
  stream.deadline = now + from_microseconds(request.header.deadline_us);
  stream.span =
      context_.traces.start_remote("transfer", request.header.traceparent);
  import(stream);
}

failure_reason decode_handler::admit(const decode_request& request) {
  const work_header& header = request.header;
  const bool has_incarnation = header.endpoint_incarnation != 0;
  if (has_incarnation && header.endpoint_incarnation != context_.incarnation) {
    return failure_reason::wrong_incarnation;
  }
  // A reservation granted before the endpoint began to leave is honoured.
  const bool is_reserved = context_.leases.holds(header.key);
  if (context_.leaving.leaving() && !is_reserved) {
    return failure_reason::leaving;
  }
  if (context_.info.incarnation == 0) {
    return failure_reason::engine_refused;
  }
  if (pieces_for(context_.info, tokens_needing_memory(request)) >
      context_.info.pieces_total) {
    return failure_reason::too_large;
  }
  return context_.leases.begin(header.key, runtime_clock::now());
}

void decode_handler::import(decode_stream& stream) {
  const decode_request& request = stream.request;
  const attempt_key& key = request.header.key;
  const time_point now = runtime_clock::now();
  const time_point import_deadline =
      std::min(stream.export_expires_at, stream.deadline);
  if (now >= import_deadline) {
    finish(stream, stream.last_failure, false);
    return;
  }
  const duration predicted_run =
      context_.estimator.decode_time(request.max_tokens - request.offset);
  stream.has_memory =
      stream.has_memory ||
      manager_.start(key, stream.pieces, now + predicted_run, now);
  if (!stream.has_memory) {
    stream.state = stream_state::waiting;
    stream.last_failure = failure_reason::no_memory;
    stream.retry_at = now + retry_interval;
    return;
  }
  stream.state = stream_state::importing;
  stream.call = context_.engine.import(
      {to_string(key), request.export_id, request.engine_address,
       request.prompt_tokens, request.max_tokens, request.offset,
       engine_priority_of(request.header.service)},
      import_deadline - now,
      [this, key](const engine_error& error, const engine_imported& result) {
        on_imported(key, error, result);
      });
}

void decode_handler::on_imported(const attempt_key& key,
                                 const engine_error& error,
                                 const engine_imported& result) {
  decode_stream& stream = *find(key);
  // The caller is a callback of this call, so the call must outlive the stream.
  const engine_client::call finished_call = std::move(stream.call);
  switch (error.reason) {
    case failure_reason::none:
      stream.transfer_us = result.transfer_us;
      stream.span = context_.traces.start_remote(
          "decode", stream.request.header.traceparent);
      stream.last_token_at = runtime_clock::now();
      attach_to_engine(stream);
      return;
    case failure_reason::export_expired:
      finish(stream, failure_reason::export_expired, true);
      return;
    default:
      retry_import(stream, error.reason);
  }
}

void decode_handler::retry_import(decode_stream& stream, failure_reason cause) {
  const time_point now = runtime_clock::now();
  const bool is_engine_lost = cause == failure_reason::engine_lost;
  stream.last_failure =
      is_engine_lost ? failure_reason::transfer_failed : cause;
  if (now + retry_interval >=
      std::min(stream.export_expires_at, stream.deadline)) {
    finish(stream, stream.last_failure, true);
    return;
  }
  stream.state = stream_state::cancelling;
  const attempt_key key = stream.request.header.key;
  context_.engine.cancel(to_string(key), [this, key] {
    decode_stream* current = find(key);
    if (current != nullptr && current->state == stream_state::cancelling) {
      current->state = stream_state::waiting;
      current->retry_at = runtime_clock::now() + retry_interval;
    }
  });
}

void decode_handler::attach_to_engine(decode_stream& stream) {
  const attempt_key key = stream.request.header.key;
  stream.state = stream_state::running;
  stream.ran = true;
  stream.retry_at = {};
  stream.call = context_.engine.decode(
      to_string(key), stream.tokens.end(),
      context_.options.engine_stall_timeout,
      [this, key](std::vector<std::string> tokens) {
        on_tokens(key, std::move(tokens));
      },
      [this, key](const engine_error& error) { on_stream_end(key, error); });
}

void decode_handler::on_tokens(const attempt_key& key,
                               std::vector<std::string> tokens) {
  decode_stream& stream = *find(key);
  const time_point now = runtime_clock::now();
  context_.estimator.record_tokens(static_cast<std::int32_t>(tokens.size()),
                                   now - stream.last_token_at);
  stream.last_token_at = now;
  stream.reattach_count = 0;
  stream.tokens.add(std::move(tokens));
  send_unsent(stream);
}

void decode_handler::on_stream_end(const attempt_key& key,
                                   const engine_error& error) {
  decode_stream& stream = *find(key);
  const engine_client::call finished_call = std::move(stream.call);
  const bool complete = stream.tokens.end() >= stream.request.max_tokens;
  if (error.reason == failure_reason::none) {
    finish(stream, failure_reason::none, false);
    return;
  }
  if (complete) {
    // All tokens have arrived; only the engine's end line is missing.
    finish(stream, failure_reason::none, true);
    return;
  }
  if (++stream.reattach_count > max_reattach_count ||
      error.status == status_not_found) {
    finish(stream, failure_reason::engine_lost, true);
    return;
  }
  stream.retry_at = runtime_clock::now() + retry_interval;
}

void decode_handler::finish(decode_stream& stream, failure_reason reason,
                            bool held_by_engine) {
  const attempt_key key = stream.request.header.key;
  if (reason != failure_reason::none) {
    count_refusal(context_, reason);
  }
  stream.state = stream_state::finished;
  stream.finished_at = runtime_clock::now();
  stream.span.end();
  stream.end.emplace();
  stream.end->key = key;
  stream.end->reason = reason;
  stream.end->ran = stream.ran;
  stream.end->total_tokens = stream.tokens.end();
  stream.end->transfer_us = stream.transfer_us;
  send_unsent(stream);
  release_memory(key, held_by_engine);
}

void decode_handler::release_memory(const attempt_key& key,
                                    bool held_by_engine) {
  if (!held_by_engine) {
    manager_.release(key);
    return;
  }
  // The memory is free only when the engine has confirmed the cancel.
  manager_.on_release_started(key, runtime_clock::now());
  context_.engine.cancel(to_string(key),
                         [this, key] { manager_.release(key); });
}

void decode_handler::send_unsent(decode_stream& stream) {
  const attempt_key& key = stream.request.header.key;
  tokens_message message{key, stream.tokens.sent(), stream.tokens.unsent()};
  if (!message.tokens.empty()) {
    if (!context_.send(key.entry, make_frame(message)).ok()) {
      return;  // sent by the next tick or a resume
    }
    stream.tokens.mark_sent();
  }
  if (stream.end && !stream.end_sent && stream.tokens.all_sent()) {
    manager_.add_load(stream.end->load);
    stream.end_sent = context_.send(key.entry, make_frame(*stream.end)).ok();
  }
}

void decode_handler::resume(const resume_request& request) {
  const bool is_own_incarnation =
      request.endpoint_incarnation == 0 ||
      request.endpoint_incarnation == context_.incarnation;
  if (is_own_incarnation) {
    adopt_stream(request);
  }
  decode_stream* stream = find(request.key);
  if (!is_own_incarnation || stream == nullptr ||
      !stream->tokens.resume(request.offset)) {
    refuse(request.key,
           is_own_incarnation ? failure_reason::engine_lost
                              : failure_reason::wrong_incarnation,
           true);
    return;
  }
  stream->end_sent = false;
  send_unsent(*stream);
}

void decode_handler::adopt_stream(const resume_request& request) {
  if (find(request.key) != nullptr || !context_.leases.holds(request.key) ||
      !manager_.is_adopted(request.key)) {
    return;
  }
  decode_request placeholder;
  placeholder.header.key = request.key;
  placeholder.offset = request.offset;
  placeholder.max_tokens = std::numeric_limits<std::int32_t>::max();
  const auto inserted =
      streams_.emplace(request.key, decode_stream(placeholder));
  decode_stream& stream = inserted.first->second;
  const time_point now = runtime_clock::now();
  stream.deadline = now + adopted_stream_timeout;
  stream.last_token_at = now;
  attach_to_engine(stream);
}

void decode_handler::on_claims(const wanted_attempts& claims) {
  for (auto position = streams_.begin(); position != streams_.end();) {
    const attempt_key& key = position->first;
    const bool is_of_claimant =
        key.entry == claims.entry && key.incarnation == claims.incarnation;
    const bool is_wanted = std::find(claims.wanted.begin(), claims.wanted.end(),
                                     key) != claims.wanted.end();
    if (is_of_claimant && !is_wanted &&
        position->second.state == stream_state::finished) {
      context_.leases.end(key, runtime_clock::now());
      position = streams_.erase(position);
    } else {
      ++position;
    }
  }
}

void decode_handler::cancel_attempt(const attempt_key& key) {
  manager_.cancel_attempt(key);
  const decode_stream* stream = find(key);
  if (stream == nullptr) {
    manager_.release(key);
    return;
  }
  const bool finished = stream->state == stream_state::finished;
  const bool held_by_engine = stream->state != stream_state::waiting;
  streams_.erase(key);
  if (!finished) {
    release_memory(key, held_by_engine);
  }
}

void decode_handler::tick(time_point now) {
  manager_.tick(now);
  std::vector<attempt_key> expired;
  for (auto& [key, stream] : streams_) {
    if (stream.state == stream_state::finished) {
      send_unsent(stream);
      if (now - stream.finished_at > finished_retention) {
        expired.push_back(key);
      }
      continue;
    }
    if (now >= stream.deadline) {
      stream.call.reset();
      finish(stream, failure_reason::deadline, true);
    } else if (stream.state == stream_state::cancelling &&
               now >= stream.export_expires_at) {
      finish(stream, stream.last_failure, true);
    } else if (stream.state == stream_state::waiting &&
               now >= stream.retry_at) {
      import(stream);
    } else if (stream.state == stream_state::running && !stream.call &&
               now >= stream.retry_at) {
      attach_to_engine(stream);
    } else {
      send_unsent(stream);
    }
  }
  for (const attempt_key& key : expired) {
    streams_.erase(key);
    context_.leases.end(key, now);
  }
}

void decode_handler::session_lost(const std::string& entry) {
  for (auto& [key, stream] : streams_) {
    if (key.entry == entry) {
      stream.tokens.pause();
    }
  }
}

bool decode_handler::idle() const {
  return manager_.idle() &&
         std::all_of(streams_.begin(), streams_.end(),
                     [](const auto& entry) { return entry.second.end_sent; });
}

void decode_handler::refuse(const attempt_key& key, failure_reason reason,
                            bool ran) {
  count_refusal(context_, reason);
  decode_finished reply;
  reply.key = key;
  reply.reason = reason;
  reply.ran = ran;
  reply.retry_after_us = to_microseconds(context_.options.engine_stall_timeout);
  manager_.add_load(reply.load);
  context_.send(key.entry, make_frame(reply)).IgnoreError();
}

}  // namespace citronwharf
