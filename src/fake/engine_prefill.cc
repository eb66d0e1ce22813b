// The stand-in engine's prefill and its transfers out.
#include <algorithm>
#include <utility>

#include "fake/engine_impl.h"

namespace citronwharf::fake {
namespace {

constexpr std::int64_t part_bytes = 16384;
constexpr double microseconds_per_second = 1e6;

std::int32_t count_tokens(const nlohmann::json& body) {
  const auto stated = body.value("prompt_tokens", 0);
  const auto bytes = static_cast<std::int32_t>(body.value("prompt", "").size());
  return stated > 0 ? stated : bytes / 4 + 1;
}

}  // namespace

void engine::impl::prefill(const nlohmann::json& body, exchange_ptr exchange) {
  const std::string id = body.value("id", "");
  if (id.empty() || jobs.count(id) > 0) {
    refuse(std::move(exchange), 409, "the id is empty or in use");
    return;
  }
  if (body.value("model", model) != model) {
    refuse(std::move(exchange), 404, "another model is loaded");
    return;
  }
  job& one = jobs[id];
  one.id = id;
  one.prompt = body.value("prompt", "");
  one.prompt_tokens = count_tokens(body);
  one.priority = body.value("priority", 0);
  one.order = ++arrivals;
  one.stream = std::move(exchange);
  start_prefill();
}

void engine::impl::start_prefill() {
  if (!prefilling.empty()) {
    return;
  }
  job* next = nullptr;
  for (auto& [id, one] : jobs) {
    const bool before =
        next == nullptr || std::tie(one.priority, one.order) <
                               std::tie(next->priority, next->order);
    if (one.state == job_state::queued && before) {
      next = &one;
    }
  }
  if (next == nullptr) {
    return;
  }
  const std::int32_t wanted =
      (next->prompt_tokens + options.piece_tokens - 1) / options.piece_tokens;
  if (!pieces.take(*next, wanted)) {
    return;  // an export that expires or is pulled starts it
  }
  next->state = job_state::prefilling;
  prefilling = next->id;
  const std::int32_t cached =
      cache.use(next->prompt, next->prompt_tokens, runtime_clock::now());
  prefilled += next->prompt_tokens - cached;
  prefill_timer.expires_after(options.prefill_base +
                              options.prefill_per_token *
                                  (next->prompt_tokens - cached));
  prefill_timer.async_wait(
      [this, id = next->id](boost::system::error_code error) {
        if (!error) {
          end_prefill(id);
        }
      });
}

void engine::impl::end_prefill(const std::string& id) {
  prefilling.clear();
  job& one = jobs.at(id);
  one.state = job_state::exported;
  one.export_id = std::to_string(incarnation) + "-" + std::to_string(one.order);
  const bool early = faults.hit("export").kind == "expire";
  const duration life = early ? duration(0) : options.export_life;
  one.timer = std::make_unique<runtime_timer>(loop);
  one.timer->expires_after(life);
  one.timer->async_wait([this, id](boost::system::error_code error) {
    job* expired = error ? nullptr : find(id);
    if (expired != nullptr && expired->state == job_state::exported) {
      wasted += expired->prompt_tokens;
      forget(id);
    }
  });
  const bool crossed = faults.hit("prefill_answer").kind == "cross";
  const nlohmann::json answer{
      {"id", crossed ? "another/1/1/1" : id},
      {"export_id", one.export_id},
      {"address", address},
      {"kv_bytes", options.kv_bytes_per_token * one.prompt_tokens},
      {"expires_in_us", to_microseconds(options.export_life)}};
  const exchange_ptr exchange = std::move(one.stream);
  exchange->respond(json_response(200, answer.dump()));
  start_prefill();
}

void engine::impl::send_export(const std::string& export_id,
                               exchange_ptr exchange) {
  const auto found = std::find_if(
      jobs.begin(), jobs.end(),
      [&](const auto& entry) { return entry.second.export_id == export_id; });
  if (found == jobs.end()) {
    refuse(std::move(exchange), 410, "the export is gone");
    return;
  }
  job& one = found->second;
  const std::int64_t bytes = options.kv_bytes_per_token * one.prompt_tokens;
  const nlohmann::json head{{"id", one.id},
                            {"prompt", one.prompt},
                            {"prompt_tokens", one.prompt_tokens},
                            {"kv_bytes", bytes}};
  one.stream = std::move(exchange);
  one.stream->start_stream({200, {}, ""});
  one.stream->on_closed([this, id = one.id] {
    // The pull broke off: the export stays until it expires.
    job* broken = find(id);
    if (broken != nullptr) {
      broken->sender.reset();
    }
  });
  one.stream->write(head.dump() + '\n');
  send_part(one.id, bytes);
}

void engine::impl::send_part(const std::string& id, std::int64_t left) {
  job* one = find(id);
  if (one == nullptr) {
    return;
  }
  if (left <= 0) {
    one->stream->finish();
    forget(id);
    return;
  }
  const std::int64_t part = std::min(left, part_bytes);
  const duration span(static_cast<std::int64_t>(static_cast<double>(part) *
                                                microseconds_per_second /
                                                options.link_bytes_per_second));
  link_free_at = std::max(link_free_at, runtime_clock::now()) + span;
  one->sender = std::make_unique<runtime_timer>(loop);
  one->sender->expires_at(link_free_at);
  one->sender->async_wait(
      [this, id, left, part](boost::system::error_code error) {
        job* sending = error ? nullptr : find(id);
        if (sending != nullptr) {
          sending->stream->write(std::string(part, 'k'));
          send_part(id, left - part);
        }
      });
}

}  // namespace citronwharf::fake
