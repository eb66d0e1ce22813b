// The stand-in engine's import and its decode batch.
#include <algorithm>
#include <utility>

#include "fake/engine_impl.h"

namespace citronwharf::fake {
namespace {

/// How long a finished stream can still be resumed.
constexpr duration done_retention = seconds(5);

std::string line_of(const std::string& id, const std::string& prompt,
                    std::int32_t index) {
  return "data: " +
         nlohmann::json{{"id", id},
                        {"offset", index},
                        {"token", fake_token(prompt, index)}}
             .dump() +
         "\n\n";
}

}  // namespace

void engine::impl::import(const nlohmann::json& body, exchange_ptr exchange) {
  const std::string id = body.value("id", "");
  if (id.empty() || jobs.count(id) > 0) {
    refuse(std::move(exchange), 409, "the id is empty or in use");
    return;
  }
  job& one = jobs[id];
  one.id = id;
  one.prompt_tokens = body.value("prompt_tokens", 0);
  one.max_tokens = body.value("max_tokens", 1);
  one.priority = body.value("priority", 0);
  one.generated = body.value("offset", 0);
  one.order = ++arrivals;
  one.state = job_state::importing;
  const std::int32_t tokens =
      one.prompt_tokens + one.max_tokens - one.generated;
  const std::int32_t wanted =
      (tokens + options.piece_tokens - 1) / options.piece_tokens;
  if (!pieces.take(one, wanted)) {
    jobs.erase(id);
    refuse(std::move(exchange), 507, "no memory");
    return;
  }
  one.stream = std::move(exchange);
  auto head = std::make_shared<std::string>();  // lives as long as the call
  const time_point started = runtime_clock::now();
  http_call_handlers handlers;
  auto status = std::make_shared<int>(0);
  handlers.on_head = [status](const http_response& got) {
    *status = got.status;
  };
  handlers.on_body = [head](const std::string& data) {
    if (head->find('\n') == std::string::npos) {
      *head += data;
    }
  };
  handlers.on_done = [this, id, head, status, started] {
    end_import(id, *head, *status, started);
  };
  handlers.on_failure = [this, id, head, started](const http_failure&) {
    end_import(id, *head, 0, started);
  };
  http_call_options call;
  call.address = body.value("from", "");
  one.pull = start_http_call(
      loop, call, {"GET", "/v1/kv/" + body.value("export_id", ""), {}, "", ""},
      std::move(handlers));
}

void engine::impl::end_import(const std::string& id, const std::string& head,
                              int status, time_point started) {
  job* one = find(id);
  if (one == nullptr) {
    return;
  }
  exchange_ptr exchange = std::move(one->stream);
  const auto meta = parse_json(head.substr(0, head.find('\n')));
  if (status != 200 || !meta.ok()) {
    refuse(std::move(exchange), status == 410 ? 410 : 502,
           "the transfer failed");
    forget(id);
    return;
  }
  one->prompt = base_prompt(meta->value("prompt", ""), one->generated);
  one->state = job_state::running;
  const duration took = runtime_clock::now() - started;
  exchange->respond(json_response(
      200, nlohmann::json{{"id", id}, {"transfer_us", to_microseconds(took)}}
               .dump()));
}

void engine::impl::decode(const nlohmann::json& body, exchange_ptr exchange) {
  const std::string id = body.value("id", "");
  job* one = find(id);
  if (one == nullptr ||
      (one->state != job_state::running && one->state != job_state::done)) {
    refuse(std::move(exchange), 404, "no such request");
    return;
  }
  const engine_fault fault = faults.hit("decode");
  if (fault.kind == "refuse") {
    refuse(std::move(exchange), 503, "refused by a fault");
    return;
  }
  one->cut_kind = fault.kind;
  one->cut_after = fault.kind.empty() ? -1 : fault.after_tokens;
  one->streamed = body.value("offset", 0);
  one->stream = std::move(exchange);
  one->stream->start_stream({200, {{"Content-Type", "text/event-stream"}}, ""});
  one->stream->on_closed([this, id] {
    job* left = find(id);
    if (left != nullptr) {
      left->stream.reset();
    }
  });
  stream_to(*one);
  start_step();
}

void engine::impl::start_step() {
  const auto running =
      std::count_if(jobs.begin(), jobs.end(), [](const auto& entry) {
        return entry.second.state == job_state::running &&
               !entry.second.prompt.empty();
      });
  if (stepping || running == 0) {
    return;
  }
  stepping = true;
  step_timer.expires_after(options.token_interval +
                           options.token_interval_per_request * (running - 1));
  step_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      stepping = false;
      step();
    }
  });
}

void engine::impl::step() {
  std::vector<job*> batch;
  for (auto& [id, one] : jobs) {
    if (one.state == job_state::running) {
      batch.push_back(&one);
    }
  }
  std::sort(batch.begin(), batch.end(), [](const job* lhs, const job* rhs) {
    return std::tie(lhs->priority, lhs->order) <
           std::tie(rhs->priority, rhs->order);
  });
  const auto most = static_cast<std::size_t>(options.max_batch);
  batch.resize(std::min(batch.size(), most));
  for (job* one : batch) {
    ++one->generated;
    if (one->generated < one->max_tokens) {
      continue;
    }
    one->state = job_state::done;
    pieces.give_back(*one);
    one->timer = std::make_unique<runtime_timer>(loop);
    one->timer->expires_after(done_retention);
    one->timer->async_wait(
        [this, id = one->id](boost::system::error_code error) {
          if (!error) {
            forget(id);
          }
        });
  }
  for (job* one : batch) {
    stream_to(*one);
    if (jobs.empty()) {
      return;  // a fault ended the engine
    }
  }
  start_step();
}

void engine::impl::stream_to(job& one) {
  if (!one.stream) {
    return;
  }
  std::string lines;
  while (one.streamed < one.generated) {
    const bool struck = one.cut_after >= 0 && one.streamed >= one.cut_after;
    if (struck && one.cut_kind == "hang") {
      break;
    }
    if (struck && one.cut_kind == "cut") {
      one.stream->write(lines + "data: {\"id\": \"");
      one.stream.reset();
      return;
    }
    if (struck && one.cut_kind == "die") {
      die();
      return;
    }
    const bool crossed = struck && one.cut_kind == "cross";
    lines += line_of(crossed ? "another/1/1/1" : one.id,
                     crossed ? "another prompt" : one.prompt, one.streamed);
    ++one.streamed;
  }
  if (!lines.empty()) {
    one.stream->write(std::move(lines));
  }
  if (one.state != job_state::done || one.streamed < one.generated) {
    return;
  }
  if (one.cut_kind == "die") {
    die();
    return;
  }
  one.stream->write(
      "data: " +
      nlohmann::json{{"id", one.id}, {"done", true}, {"total", one.generated}}
          .dump() +
      "\n\n");
  one.stream->finish();
  one.stream.reset();
}

}  // namespace citronwharf::fake
