#include "endpoint/decode_handler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citronwharf {
namespace {

/// How long a finished stream can still be resumed.
constexpr duration finished_retention = seconds(5);
/// Between two tries of a transfer or of a broken engine stream.
constexpr duration retry_wait = milliseconds(10);
constexpr int max_reattached = 3;
/// The engine doesn't know the request any more.
constexpr int status_unknown = 404;
/// Life of a stream whose deadline an earlier process knew.
constexpr duration longest_taken_over = seconds(60);

/// Tokens that need memory; those that the caller has are in the prompt.
std::int32_t tokens_of(const decode_request& request) {
  return request.prompt_tokens + request.max_tokens - request.offset;
}

}  // namespace

decode_handler::decode_handler(work_handler_context& parts,
                               reservation_manager& manager)
    : parts_(parts), manager_(manager) {}

decode_handler::stream* decode_handler::find(const attempt_key& key) {
  const auto found = streams_.find(key);
  return found == streams_.end() ? nullptr : &found->second;
}

void decode_handler::take(const decode_request& request) {
  const attempt_key& key = request.header.key;
  if (find(key) != nullptr) {
    return;  // a repeat of a live attempt gets that attempt's answer
  }
  const failure_reason reason = admit(request);
  if (reason != failure_reason::none) {
    refuse(key, reason, reason == failure_reason::duplicate);
    return;
  }
  const time_point now = runtime_clock::now();
  stream& one = streams_.emplace(key, stream(request)).first->second;
  one.pieces = pieces_for(parts_.info, tokens_of(request));
  one.export_until = now + from_microseconds(request.expires_in_us);
  one.deadline = now + from_microseconds(request.header.deadline_us);
  one.hop = parts_.traces.start_remote("transfer", request.header.traceparent);
  import(one);
}

failure_reason decode_handler::admit(const decode_request& request) {
  const work_header& header = request.header;
  const bool known = header.endpoint_incarnation != 0;
  if (known && header.endpoint_incarnation != parts_.incarnation) {
    return failure_reason::wrong_incarnation;
  }
  // A promise given before the leaving was known is kept.
  const bool promised = parts_.held.holds(header.key);
  if (parts_.leaving.leaving() && !promised) {
    return failure_reason::leaving;
  }
  if (parts_.info.incarnation == 0) {
    return failure_reason::engine_refused;
  }
  if (pieces_for(parts_.info, tokens_of(request)) > parts_.info.pieces_total) {
    return failure_reason::too_large;
  }
  return parts_.held.begin(header.key, runtime_clock::now());
}

void decode_handler::import(stream& one) {
  const decode_request& request = one.request;
  const attempt_key& key = request.header.key;
  const time_point now = runtime_clock::now();
  const time_point until = std::min(one.export_until, one.deadline);
  if (now >= until) {
    finish(one, one.last_failure, false);
    return;
  }
  const duration run =
      parts_.rates.decode_time(request.max_tokens - request.offset);
  one.has_memory =
      one.has_memory || manager_.start(key, one.pieces, now + run, now);
  if (!one.has_memory) {
    one.state = stream_state::waiting;
    one.last_failure = failure_reason::no_memory;
    one.again_at = now + retry_wait;
    return;
  }
  one.state = stream_state::importing;
  one.call = parts_.engine.import(
      {to_string(key), request.export_id, request.engine_address,
       request.prompt_tokens, request.max_tokens, request.offset,
       priority_of(request.header.service)},
      until - now,
      [this, key](const engine_error& error, const engine_imported& got) {
        imported(key, error, got);
      });
}

void decode_handler::imported(const attempt_key& key, const engine_error& error,
                              const engine_imported& got) {
  stream& one = *find(key);
  // This runs in the call's handler, which must outlive the stream.
  const engine_client::call ended = std::move(one.call);
  switch (error.reason) {
    case failure_reason::none:
      one.transfer_us = got.transfer_us;
      one.hop =
          parts_.traces.start_remote("decode", one.request.header.traceparent);
      one.last_token = runtime_clock::now();
      attach(one);
      return;
    case failure_reason::export_expired:
      finish(one, failure_reason::export_expired, true);
      return;
    default:
      retry_import(one, error.reason);
  }
}

void decode_handler::retry_import(stream& one, failure_reason why) {
  const time_point now = runtime_clock::now();
  const bool lost = why == failure_reason::engine_lost;
  one.last_failure = lost ? failure_reason::transfer_failed : why;
  if (now + retry_wait >= std::min(one.export_until, one.deadline)) {
    finish(one, one.last_failure, true);
    return;
  }
  one.state = stream_state::cancelling;
  const attempt_key key = one.request.header.key;
  parts_.engine.cancel(to_string(key), [this, key] {
    stream* again = find(key);
    if (again != nullptr && again->state == stream_state::cancelling) {
      again->state = stream_state::waiting;
      again->again_at = runtime_clock::now() + retry_wait;
    }
  });
}

void decode_handler::attach(stream& one) {
  const attempt_key key = one.request.header.key;
  one.state = stream_state::running;
  one.ran = true;
  one.again_at = {};
  one.call = parts_.engine.decode(
      to_string(key), one.tokens.end(), parts_.options.engine_stall,
      [this, key](std::vector<std::string> tokens) {
        add_tokens(key, std::move(tokens));
      },
      [this, key](const engine_error& error) { stream_ended(key, error); });
}

void decode_handler::add_tokens(const attempt_key& key,
                                std::vector<std::string> tokens) {
  stream& one = *find(key);
  const time_point now = runtime_clock::now();
  parts_.rates.generated(static_cast<std::int32_t>(tokens.size()),
                         now - one.last_token);
  one.last_token = now;
  one.reattached = 0;
  one.tokens.add(std::move(tokens));
  flush(one);
}

void decode_handler::stream_ended(const attempt_key& key,
                                  const engine_error& error) {
  stream& one = *find(key);
  const engine_client::call ended = std::move(one.call);
  const bool complete = one.tokens.end() >= one.request.max_tokens;
  if (error.reason == failure_reason::none) {
    finish(one, failure_reason::none, false);
    return;
  }
  if (complete) {
    // All tokens are here; only the engine's end line is missing.
    finish(one, failure_reason::none, true);
    return;
  }
  if (++one.reattached > max_reattached || error.status == status_unknown) {
    finish(one, failure_reason::engine_lost, true);
    return;
  }
  one.again_at = runtime_clock::now() + retry_wait;
}

void decode_handler::finish(stream& one, failure_reason reason,
                            bool in_engine) {
  const attempt_key key = one.request.header.key;
  if (reason != failure_reason::none) {
    count_refusal(parts_, reason);
  }
  one.state = stream_state::finished;
  one.ended = runtime_clock::now();
  one.hop.end();
  one.end.emplace();
  one.end->key = key;
  one.end->reason = reason;
  one.end->ran = one.ran;
  one.end->total_tokens = one.tokens.end();
  one.end->transfer_us = one.transfer_us;
  flush(one);
  free_memory(key, in_engine);
}

void decode_handler::free_memory(const attempt_key& key, bool in_engine) {
  if (!in_engine) {
    manager_.release(key);
    return;
  }
  // The memory is free once the engine says so.
  manager_.releasing(key, runtime_clock::now());
  parts_.engine.cancel(to_string(key), [this, key] { manager_.release(key); });
}

void decode_handler::flush(stream& one) {
  const attempt_key& key = one.request.header.key;
  tokens_message message{key, one.tokens.sent(), one.tokens.unsent()};
  if (!message.tokens.empty()) {
    if (!parts_.send(key.entry, make_frame(message)).ok()) {
      return;  // the next tick or a resume sends it
    }
    one.tokens.mark_sent();
  }
  if (one.end && !one.end_sent && one.tokens.all_sent()) {
    manager_.add_load(one.end->load);
    one.end_sent = parts_.send(key.entry, make_frame(*one.end)).ok();
  }
}

void decode_handler::resume(const resume_request& request) {
  const bool mine = request.endpoint_incarnation == 0 ||
                    request.endpoint_incarnation == parts_.incarnation;
  if (mine) {
    take_over(request);
  }
  stream* one = find(request.key);
  if (!mine || one == nullptr || !one->tokens.resume(request.offset)) {
    refuse(
        request.key,
        mine ? failure_reason::engine_lost : failure_reason::wrong_incarnation,
        true);
    return;
  }
  one->end_sent = false;
  flush(*one);
}

void decode_handler::take_over(const resume_request& request) {
  if (find(request.key) != nullptr || !parts_.held.holds(request.key) ||
      !manager_.holds(request.key)) {
    return;
  }
  decode_request unknown;
  unknown.header.key = request.key;
  unknown.offset = request.offset;
  unknown.max_tokens = std::numeric_limits<std::int32_t>::max();
  const auto added = streams_.emplace(request.key, stream(unknown));
  stream& one = added.first->second;
  const time_point now = runtime_clock::now();
  one.deadline = now + longest_taken_over;
  one.last_token = now;
  attach(one);
}

void decode_handler::claimed(const wanted_attempts& claims) {
  for (auto at = streams_.begin(); at != streams_.end();) {
    const attempt_key& key = at->first;
    const bool theirs =
        key.entry == claims.entry && key.incarnation == claims.incarnation;
    const bool wanted = std::find(claims.wanted.begin(), claims.wanted.end(),
                                  key) != claims.wanted.end();
    if (theirs && !wanted && at->second.state == stream_state::finished) {
      parts_.held.end(key, runtime_clock::now());
      at = streams_.erase(at);
    } else {
      ++at;
    }
  }
}

void decode_handler::drop(const attempt_key& key) {
  manager_.drop(key);
  const stream* one = find(key);
  if (one == nullptr) {
    manager_.release(key);
    return;
  }
  const bool finished = one->state == stream_state::finished;
  const bool in_engine = one->state != stream_state::waiting;
  streams_.erase(key);
  if (!finished) {
    free_memory(key, in_engine);
  }
}

void decode_handler::tick(time_point now) {
  manager_.tick(now);
  std::vector<attempt_key> old;
  for (auto& [key, one] : streams_) {
    if (one.state == stream_state::finished) {
      flush(one);
      if (now - one.ended > finished_retention) {
        old.push_back(key);
      }
      continue;
    }
    if (now >= one.deadline) {
      one.call.reset();
      finish(one, failure_reason::deadline, true);
    } else if (one.state == stream_state::cancelling &&
               now >= one.export_until) {
      finish(one, one.last_failure, true);
    } else if (one.state == stream_state::waiting && now >= one.again_at) {
      import(one);
    } else if (one.state == stream_state::running && !one.call &&
               now >= one.again_at) {
      attach(one);
    } else {
      flush(one);
    }
  }
  for (const attempt_key& key : old) {
    streams_.erase(key);
    parts_.held.end(key, now);
  }
}

void decode_handler::session_lost(const std::string& entry) {
  for (auto& [key, one] : streams_) {
    if (key.entry == entry) {
      one.tokens.pause();
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
  count_refusal(parts_, reason);
  decode_finished reply;
  reply.key = key;
  reply.reason = reason;
  reply.ran = ran;
  reply.retry_after_us = to_microseconds(parts_.options.engine_stall);
  manager_.add_load(reply.load);
  parts_.send(key.entry, make_frame(reply)).IgnoreError();
}

}  // namespace citronwharf
