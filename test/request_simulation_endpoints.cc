// Replies of the fake endpoints of request_simulation.
#include "fake/tokens.h"
#include "request_simulation.h"

namespace citronwharf::test {
namespace {

constexpr duration network_delay = milliseconds(1);
constexpr duration prefill_time = milliseconds(40);
constexpr duration export_lifetime = milliseconds(900);

}  // namespace

void request_simulation::serve(const std::string& name,
                               const endpoint_message& in,
                               std::optional<fault_kind> injected) {
  if (const auto* one = std::get_if<reserve_request>(&in)) {
    serve_reserve(name, *one, injected);
  } else if (const auto* run = std::get_if<prefill_request>(&in)) {
    serve_prefill(name, *run, injected);
  } else if (const auto* decode = std::get_if<decode_request>(&in)) {
    serve_decode(name, *decode, injected);
  } else if (const auto* again = std::get_if<resume_request>(&in)) {
    serve_resume(name, *again);
  } else if (const auto* plain = std::get_if<plain_request>(&in)) {
    serve_plain(name, *plain, injected);
  } else {
    const attempt_key& key = key_of(in);
    endpoints_[name].held.erase(key);
    endpoints_[name].streams.erase(key);
    exports_.erase(name + to_string(key));
  }
}

void request_simulation::serve_reserve(const std::string& name,
                                       const reserve_request& in,
                                       std::optional<fault_kind> injected) {
  reserve_reply out;
  out.key = in.header.key;
  if (injected == fault_kind::refuse || injected == fault_kind::fail) {
    out.reason = failure_reason::no_memory;
  } else {
    endpoints_[name].held[out.key] = now_;
  }
  send_to_entry(name, out, network_delay);
}

void request_simulation::serve_prefill(const std::string& name,
                                       const prefill_request& in,
                                       std::optional<fault_kind> injected) {
  prefill_reply out;
  out.key = in.header.key;
  if (injected == fault_kind::refuse) {
    out.reason = failure_reason::leaving;
    send_to_entry(name, out, network_delay);
    return;
  }
  if (!endpoints_[name].accepted_work.insert(out.key).second) {
    out.reason = failure_reason::duplicate;
    send_to_entry(name, out, network_delay);
    return;
  }
  ++report_.prefills_run;
  out.ran = true;
  if (injected == fault_kind::fail) {
    out.reason = failure_reason::engine_lost;
    send_to_entry(name, out, prefill_time);
    return;
  }
  endpoints_[name].held[out.key] = now_;
  out.export_id = name + to_string(out.key);
  out.expires_in_us = to_microseconds(export_lifetime);
  exports_[out.export_id] = now_ + prefill_time + export_lifetime;
  send_to_entry(name, out, prefill_time);
}

void request_simulation::serve_decode(const std::string& name,
                                      const decode_request& in,
                                      std::optional<fault_kind> injected) {
  fake_endpoint& one = endpoints_[name];
  decode_finished out;
  out.key = in.header.key;
  const auto found = exports_.find(in.export_id);
  if (!one.accepted_work.insert(out.key).second) {
    out.reason = failure_reason::duplicate;
  } else if (injected == fault_kind::refuse) {
    out.reason = failure_reason::transfer_failed;
  } else if (found == exports_.end() || found->second <= now_) {
    out.reason = failure_reason::export_expired;
  }
  if (out.reason != failure_reason::none) {
    send_to_entry(name, out, network_delay);
    return;
  }
  ++report_.generations;
  one.held[out.key] = now_;
  one.streams[out.key] = in.offset;
  one.stream_offsets[out.key] = in.offset;
  if (injected == fault_kind::fail) {
    schedule(3 * token_time_ + network_delay, [this, name, out]() mutable {
      endpoints_[name].streams.erase(out.key);
      endpoints_[name].held.erase(out.key);
      out.reason = failure_reason::engine_lost;
      out.ran = true;
      send_to_entry(name, out, network_delay);
    });
  }
  schedule(token_time_, [this, name, key = out.key] { generate(name, key); });
}

void request_simulation::generate(const std::string& name,
                                  const attempt_key& key) {
  fake_endpoint& one = endpoints_[name];
  const auto stream = one.streams.find(key);
  if (stream == one.streams.end()) {
    return;
  }
  if (stream->second < max_tokens) {
    const std::int32_t index = stream->second++;
    send_to_entry(name,
                  tokens_message{key, index, {fake::fake_token(prompt, index)}},
                  network_delay);
    schedule(token_time_, [this, name, key] { generate(name, key); });
    return;
  }
  one.held.erase(key);
  one.finished_streams.insert(key);
  decode_finished out;
  out.key = key;
  out.ran = true;
  out.total_tokens = max_tokens;
  send_to_entry(name, out, network_delay);
}

void request_simulation::serve_resume(const std::string& name,
                                      const resume_request& in) {
  fake_endpoint& one = endpoints_[name];
  decode_finished out;
  out.key = in.key;
  const auto stream = one.streams.find(in.key);
  if (stream == one.streams.end()) {
    out.reason = failure_reason::engine_lost;
    send_to_entry(name, out, network_delay);
    return;
  }
  tokens_message again{in.key, in.offset, {}};
  for (std::int32_t index = in.offset; index < stream->second; ++index) {
    again.tokens.push_back(fake::fake_token(prompt, index));
  }
  send_to_entry(name, again, network_delay);
  if (one.finished_streams.count(in.key) > 0) {
    out.ran = true;
    out.total_tokens = max_tokens;
    send_to_entry(name, out, network_delay);
  }
}

void request_simulation::serve_plain(const std::string& name,
                                     const plain_request& in,
                                     std::optional<fault_kind> injected) {
  plain_reply out;
  out.key = in.header.key;
  if (!endpoints_[name].accepted_work.insert(out.key).second) {
    out.reason = failure_reason::duplicate;
  } else if (injected == fault_kind::refuse) {
    out.reason = failure_reason::leaving;
  } else {
    ++report_.generations;
    out.ran = true;
    out.status = 200;
    out.body = "posted";
    if (injected == fault_kind::fail) {
      out.reason = failure_reason::engine_lost;
    }
  }
  send_to_entry(name, out, prefill_time);
}

}  // namespace citronwharf::test
