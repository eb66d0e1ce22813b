// What the stand-in endpoints of a request_simulation answer.
#include "fake/tokens.h"
#include "request_simulation.h"

namespace citronwharf::test {
namespace {

constexpr duration hop = milliseconds(1);
constexpr duration prefill_time = milliseconds(40);
constexpr duration export_life = milliseconds(900);

}  // namespace

void request_simulation::serve(const std::string& name,
                               const endpoint_message& in,
                               std::optional<fault_kind> struck) {
  if (const auto* one = std::get_if<reserve_request>(&in)) {
    serve_reserve(name, *one, struck);
  } else if (const auto* run = std::get_if<prefill_request>(&in)) {
    serve_prefill(name, *run, struck);
  } else if (const auto* decode = std::get_if<decode_request>(&in)) {
    serve_decode(name, *decode, struck);
  } else if (const auto* again = std::get_if<resume_request>(&in)) {
    serve_resume(name, *again);
  } else if (const auto* plain = std::get_if<plain_request>(&in)) {
    serve_plain(name, *plain, struck);
  } else {
    const attempt_key& key = key_of(in);
    nodes_[name].held.erase(key);
    nodes_[name].streams.erase(key);
    exports_.erase(name + to_string(key));
  }
}

void request_simulation::serve_reserve(const std::string& name,
                                       const reserve_request& in,
                                       std::optional<fault_kind> struck) {
  reserve_reply out;
  out.key = in.header.key;
  if (struck == fault_kind::refuse || struck == fault_kind::fail) {
    out.reason = failure_reason::no_memory;
  } else {
    nodes_[name].held[out.key] = now_;
  }
  to_entry(name, out, hop);
}

void request_simulation::serve_prefill(const std::string& name,
                                       const prefill_request& in,
                                       std::optional<fault_kind> struck) {
  prefill_reply out;
  out.key = in.header.key;
  if (struck == fault_kind::refuse) {
    out.reason = failure_reason::leaving;
    to_entry(name, out, hop);
    return;
  }
  if (!nodes_[name].seen.insert(out.key).second) {
    out.reason = failure_reason::duplicate;
    to_entry(name, out, hop);
    return;
  }
  ++report_.prefills_run;
  out.ran = true;
  if (struck == fault_kind::fail) {
    out.reason = failure_reason::engine_lost;
    to_entry(name, out, prefill_time);
    return;
  }
  nodes_[name].held[out.key] = now_;
  out.export_id = name + to_string(out.key);
  out.expires_in_us = to_microseconds(export_life);
  exports_[out.export_id] = now_ + prefill_time + export_life;
  to_entry(name, out, prefill_time);
}

void request_simulation::serve_decode(const std::string& name,
                                      const decode_request& in,
                                      std::optional<fault_kind> struck) {
  node& one = nodes_[name];
  decode_finished out;
  out.key = in.header.key;
  const auto found = exports_.find(in.export_id);
  if (!one.seen.insert(out.key).second) {
    out.reason = failure_reason::duplicate;
  } else if (struck == fault_kind::refuse) {
    out.reason = failure_reason::transfer_failed;
  } else if (found == exports_.end() || found->second <= now_) {
    out.reason = failure_reason::export_expired;
  }
  if (out.reason != failure_reason::none) {
    to_entry(name, out, hop);
    return;
  }
  ++report_.generations;
  one.held[out.key] = now_;
  one.streams[out.key] = in.offset;
  one.first[out.key] = in.offset;
  if (struck == fault_kind::fail) {
    at(3 * token_time_ + hop, [this, name, out]() mutable {
      nodes_[name].streams.erase(out.key);
      nodes_[name].held.erase(out.key);
      out.reason = failure_reason::engine_lost;
      out.ran = true;
      to_entry(name, out, hop);
    });
  }
  at(token_time_, [this, name, key = out.key] { generate(name, key); });
}

void request_simulation::generate(const std::string& name,
                                  const attempt_key& key) {
  node& one = nodes_[name];
  const auto stream = one.streams.find(key);
  if (stream == one.streams.end()) {
    return;
  }
  if (stream->second < max_tokens) {
    const std::int32_t index = stream->second++;
    to_entry(name,
             tokens_message{key, index, {fake::fake_token(prompt, index)}},
             hop);
    at(token_time_, [this, name, key] { generate(name, key); });
    return;
  }
  one.held.erase(key);
  one.over.insert(key);
  decode_finished out;
  out.key = key;
  out.ran = true;
  out.total_tokens = max_tokens;
  to_entry(name, out, hop);
}

void request_simulation::serve_resume(const std::string& name,
                                      const resume_request& in) {
  node& one = nodes_[name];
  decode_finished out;
  out.key = in.key;
  const auto stream = one.streams.find(in.key);
  if (stream == one.streams.end()) {
    out.reason = failure_reason::engine_lost;
    to_entry(name, out, hop);
    return;
  }
  tokens_message again{in.key, in.offset, {}};
  for (std::int32_t index = in.offset; index < stream->second; ++index) {
    again.tokens.push_back(fake::fake_token(prompt, index));
  }
  to_entry(name, again, hop);
  if (one.over.count(in.key) > 0) {
    out.ran = true;
    out.total_tokens = max_tokens;
    to_entry(name, out, hop);
  }
}

void request_simulation::serve_plain(const std::string& name,
                                     const plain_request& in,
                                     std::optional<fault_kind> struck) {
  plain_reply out;
  out.key = in.header.key;
  if (!nodes_[name].seen.insert(out.key).second) {
    out.reason = failure_reason::duplicate;
  } else if (struck == fault_kind::refuse) {
    out.reason = failure_reason::leaving;
  } else {
    ++report_.generations;
    out.ran = true;
    out.status = 200;
    out.body = "posted";
    if (struck == fault_kind::fail) {
      out.reason = failure_reason::engine_lost;
    }
  }
  to_entry(name, out, prefill_time);
}

}  // namespace citronwharf::test
