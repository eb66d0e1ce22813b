#include "gateway/engine_search.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "net/http_status.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// Limit on the output tokens in a hold: what an answer makes until the state of
// its engine is next known. The leader accounts for the whole output; a hold
// for all of it would keep memory from other requests for seconds.
constexpr std::int64_t max_hold_output = 512;
// Covers a prefill that is queued behind some others.
constexpr milliseconds hold_lifetime(1500);
constexpr duration hold_timeout = milliseconds(200);
// Minimum time for another grant if the engine of a returned request turns out
// to have no memory.
constexpr duration regrant_window = milliseconds(300);
// Engines that are asked for memory before a request waits.
constexpr std::size_t max_holds_per_round = 3;
// At a full engine a request ends every few dozen milliseconds.
constexpr duration poll_interval = milliseconds(50);
// Prompts at a prefill engine from which on prefill on the decode engine is as
// fast, at half the speed of an idle engine.
constexpr std::int64_t max_prefill_queue = 2;

std::string to_text(placement_class turn) {
  return nlohmann::json(turn).get<std::string>();
}

listed_server to_listed_server(const granted_engine& in,
                               const engine_need& need, engine_stage stage) {
  listed_server out;
  out.id = in.id;
  out.service = need.ask.service;
  out.address = in.address;
  out.failure_domain = in.failure_domain;
  out.stage = stage;
  out.software_version = in.software_version;
  return out;
}

}  // namespace

engine_search::engine_search(forward_context& context, hooks callbacks)
    : context_(context), hooks_(std::move(callbacks)), timer_(context.loop) {}

engine_search::~engine_search() {
  *alive_ = false;
  cancel();
}

void engine_search::start_timer(duration span, std::function<void()> expired) {
  timer_.expires_after(std::max(duration{}, span));
  when_expired(timer_, alive_, std::move(expired));
}

void engine_search::start(engine_need need) {
  cancel();
  need_ = std::move(need);
  hold_refusals_ = 0;
  polls_ = 0;
  full_engines_.clear();
  silent_engines_.clear();
  ask_leader();
}

void engine_search::cancel() {
  ++number_;
  timer_.cancel();
  hold_call_.reset();
  leave_queue(false);
  release_hold();
  release_lease();
}

void engine_search::end(std::int64_t output_tokens, duration span) {
  if (lease_) {
    context_.placement.release(*std::exchange(lease_, std::nullopt),
                               output_tokens, span);
  }
}

void engine_search::release_lease() {
  end(0, {});
}

void engine_search::release_hold() {
  if (found_.hold.empty()) {
    return;
  }
  // The hold expires by itself, so a lost call does no harm.
  request_forwarder::send_detached(context_, hold_server_,
                                   context_.codec.drop_hold(found_.hold));
  found_.hold.clear();
}

std::string engine_search::take_hold() {
  return std::exchange(found_.hold, "");
}

void engine_search::ask_leader() {
  placement_ask ask = need_.ask;
  // A request whose engine had no memory despite the grant keeps its priority.
  if (hold_refusals_ > 0) {
    ask.turn = placement_class::under_way;
  }
  const time_point now = runtime_clock::now();
  const auto spared_ids = context_.servers.servers_in_backoff(ask.service, now);
  ask.excluded.insert(spared_ids.begin(), spared_ids.end());
  ask.max_wait_us = to_microseconds(std::max(duration{}, need_.until - now));
  lease_ = context_.placement.ask(
      std::move(ask), [this, alive = alive_](const placement_grant& in) {
        if (*alive) {
          handle_grant(in);
        }
      });
}

void engine_search::handle_grant(const placement_grant& in) {
  const auto wait_ms = in.wait_us / 1000;
  switch (in.outcome) {
    case placement_outcome::refused:
      hooks_.add_to_trail(
          fmt::format("engines(refused,leader,{},waiting={},wait_ms={})",
                      to_text(in.turn), in.waiting, wait_ms));
      report_refused("no_memory", from_microseconds(in.wait_us));
      return;
    case placement_outcome::placed:
      granted_ = true;
      if (in.turn == placement_class::returned) {
        need_.until =
            std::max(need_.until, runtime_clock::now() + regrant_window);
      }
      found_ = {};
      found_.decode = to_listed_server(in.decode, need_, engine_stage::decode);
      if (!in.prefill.id.empty()) {
        found_.prefill =
            to_listed_server(in.prefill, need_, engine_stage::prefill);
      }
      found_.first_event = from_microseconds(in.wait_us);
      found_.late_first_event = from_microseconds(in.late_us);
      hooks_.add_to_trail(fmt::format(
          "engines({},{},leader,{},waiting={},wait_ms={})", in.decode.id,
          in.prefill.id.empty() ? "own" : in.prefill.id, to_text(in.turn),
          in.waiting, wait_ms));
      request_hold(found_.decode);
      return;
    case placement_outcome::queued:
    case placement_outcome::not_leading:
      release_lease();
      granted_ = false;
      hooks_.add_to_trail("leader_silent");
      if (queue().empty()) {
        choose_locally();
      } else {
        wait_for_memory();
      }
      return;
  }
}

std::int64_t engine_search::reserved_tokens() const {
  return need_.ask.prompt_tokens +
         std::min(need_.ask.output_tokens, max_hold_output);
}

server_criteria engine_search::make_need(engine_stage stage) const {
  server_criteria need;
  need.service = need_.ask.service;
  need.stage = stage;
  need.tokens = reserved_tokens();
  need.kv_tokens = need_.profile.kv_tokens;
  need.preferred_domain = context_.failure_domain;
  need.excluded = need_.ask.excluded;
  need.excluded.insert(full_engines_.begin(), full_engines_.end());
  if (stage != engine_stage::prefill) {
    need.software_version = need_.ask.software_version;
  }
  return need;
}

// Chooses engines without the leader. Memory is reserved first, so that no
// prompt is prefilled that no decode engine can take.
void engine_search::choose_locally() {
  const time_point now = runtime_clock::now();
  server_list& servers = context_.servers;
  auto decode = servers.choose(make_need(engine_stage::decode), now);
  if (!decode) {
    // Services without stages.
    decode = servers.choose(make_need(engine_stage::none), now);
  }
  if (!decode || decode->server.stage == engine_stage::prefill) {
    if (readmit_silent_engines()) {
      wait_for_memory();
      return;
    }
    hooks_.add_to_trail("no_server");
    report_refused("no_server", std::nullopt);
    return;
  }
  found_ = {};
  found_.decode = decode->server;
  server_criteria need = make_need(engine_stage::prefill);
  need.preferred_domain = decode->server.failure_domain;
  const auto prefill = servers.choose(need, now);
  if (need_.ask.split && decode->server.stage == engine_stage::decode &&
      prefill && !context_.limits.rate(prefill->server.id, now) &&
      std::max(prefill->in_flight, prefill->reported_load) <
          max_prefill_queue) {
    found_.prefill = prefill->server;
  }
  take_requests_locally();
}

// The leader takes them for the engines that it grants.
void engine_search::take_requests_locally() {
  const std::string engine = found_.decode.id;
  if (!context_.limits.rate(engine, runtime_clock::now())) {
    request_hold(found_.decode);
    return;
  }
  context_.take_server_requests(
      engine, requests_per_generation, {},
      [this, alive = alive_, engine, number = number_](bool granted,
                                                       duration wait) {
        if (!*alive || number != number_) {
          return;
        }
        if (granted) {
          request_hold(found_.decode);
          return;
        }
        hooks_.add_to_trail(fmt::format("limited({},wait_ms={})", engine,
                                        to_microseconds(wait) / 1000));
        context_.servers.limit_reached(engine, wait, runtime_clock::now());
        full_engines_.insert(engine);
        try_other_engine();
      });
}

void engine_search::request_hold(const listed_server& server) {
  if (context_.servers.is_evacuated(server.id)) {
    // Chosen by a leader that does not know the set yet.
    log_event(events::evacuated_server_passed_over, server.id, "hold");
    hooks_.add_to_trail(fmt::format("evacuated({})", server.id));
    need_.ask.excluded.insert(server.id);
    handle_hold_refusal();
    return;
  }
  const std::int64_t tokens = reserved_tokens();
  if (need_.profile.max_hold_ms <= 0 || tokens <= 0) {
    report_found();
    return;
  }
  const milliseconds lifetime =
      std::min(milliseconds(need_.profile.max_hold_ms), hold_lifetime);
  hold_sent_at_ = runtime_clock::now();
  found_.hold_until = hold_sent_at_ + lifetime;
  hold_server_ = server;
  hold_call_ = context_.pool.fetch(
      request_forwarder::make_pooled_call(context_, server.address),
      context_.codec.take_hold(tokens, lifetime),
      [this](absl::StatusOr<http_response> response, bool sent) {
        if (!response.ok() && !sent) {
          record_unsent(context_, hold_server_.id, response.status());
        }
        handle_hold_response(std::move(response));
      });
  start_timer(hold_timeout, [this] {
    handle_hold_loss(absl::DeadlineExceededError("no answer in time"),
                     engine_signal::silent);
  });
}

void engine_search::handle_hold_response(
    absl::StatusOr<http_response> response) {
  timer_.cancel();
  hold_call_.reset();
  const std::string& id = hold_server_.id;
  if (!response.ok()) {
    handle_hold_loss(response.status(), engine_signal::unreachable);
    return;
  }
  apply_server_headers(context_, id, response_kind::memory, hold_sent_at_,
                       *response);
  auto hold = is_success(response->status)
                  ? context_.codec.read_hold(response->body)
                  : absl::StatusOr<std::string>(
                        absl::ResourceExhaustedError("no memory"));
  if (!hold.ok()) {
    hooks_.add_to_trail(
        fmt::format("hold_refused({},{})", id, response->status));
    observe(id, engine_signal::full);
    handle_hold_refusal();
    return;
  }
  found_.hold = *std::move(hold);
  context_.servers.answers(id);
  hooks_.add_to_trail(fmt::format("hold({},tokens={},refused={},polls={})", id,
                                  reserved_tokens(), hold_refusals_, polls_));
  report_found();
}

void engine_search::handle_hold_loss(const absl::Status& status,
                                     engine_signal signal) {
  hold_call_.reset();
  const std::string& id = hold_server_.id;
  hooks_.add_to_trail(
      fmt::format("hold_lost({},{})", id, std::string(status.message())));
  observe(id, signal);
  if (need_.ask.excluded.insert(id).second &&
      absl::IsDeadlineExceeded(status)) {
    silent_engines_.insert(id);
  }
  handle_hold_refusal();
}

void engine_search::handle_hold_refusal() {
  ++hold_refusals_;
  if (granted_) {
    if (lease_) {
      context_.placement.release_unused(*std::exchange(lease_, std::nullopt));
    }
    if (runtime_clock::now() < need_.until) {
      ask_leader();
    } else {
      report_refused("no_memory", std::nullopt);
    }
    return;
  }
  full_engines_.insert(found_.decode.id);
  try_other_engine();
}

void engine_search::try_other_engine() {
  if (full_engines_.size() < max_holds_per_round &&
      context_.servers.choose(make_need(engine_stage::decode),
                              runtime_clock::now())) {
    choose_locally();
    return;
  }
  full_engines_.clear();
  wait_for_memory();
}

// An engine that was slow to answer may answer the next hold. The caller of a
// stream under way waits for longer than one hold. Returns whether an engine
// may be asked again.
bool engine_search::readmit_silent_engines() {
  if (need_.ask.turn != placement_class::under_way || silent_engines_.empty()) {
    return false;
  }
  for (const std::string& id : silent_engines_) {
    need_.ask.excluded.erase(id);
  }
  silent_engines_.clear();
  return true;
}

memory_queue& engine_search::queue() {
  return context_.memory_queues[need_.ask.service];
}

// Waits until memory is freed, as long as that is useful. Streams that are
// under way are served before requests that have not started.
void engine_search::wait_for_memory() {
  const time_point now = runtime_clock::now();
  const bool under_way = need_.ask.turn == placement_class::under_way;
  const duration wait = under_way || ticket_
                            ? poll_interval
                            : queue().predicted_wait(need_.ask.urgency, now);
  if (now + wait > need_.until) {
    hooks_.add_to_trail(
        fmt::format("no_memory(refused={},polls={},predicted_ms={})",
                    hold_refusals_, polls_, wait.count() / 1000));
    report_refused("no_memory", wait);
    return;
  }
  if (!under_way && !ticket_) {
    ticket_ = queue().join(need_.ask.urgency, now,
                           [this] { poll_after(duration{}); });
  }
  if (under_way || queue().is_first(*ticket_)) {
    ++polls_;
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    poll_after(std::chrono::duration_cast<duration>(poll_interval *
                                                    jitter(context_.random)));
  } else {
    start_timer(need_.until - now, [this] { wait_for_memory(); });
  }
}

void engine_search::poll_after(duration span) {
  start_timer(span, [this] { choose_locally(); });
}

void engine_search::leave_queue(bool with_memory) {
  if (ticket_) {
    queue().leave(*std::exchange(ticket_, std::nullopt), with_memory,
                  runtime_clock::now());
  }
}

void engine_search::report_found() {
  leave_queue(true);
  if (!granted_) {
    placement_claim claim;
    claim.service = need_.ask.service;
    claim.server = found_.decode.id;
    claim.prompt_tokens = need_.ask.prompt_tokens;
    claim.output_tokens = need_.ask.output_tokens;
    lease_ = context_.placement.claim(std::move(claim));
  }
  hooks_.found(found_);
}

void engine_search::report_refused(const char* reason,
                                   std::optional<duration> retry_after) {
  leave_queue(false);
  release_lease();
  hooks_.refused(reason, retry_after);
}

void engine_search::observe(const std::string& engine, engine_signal signal) {
  const time_point now = runtime_clock::now();
  engine_observation out;
  out.server = engine;
  out.sign = signal;
  context_.placement.observe(out);
  if (signal == engine_signal::full) {
    context_.servers.refused(engine, now);
  } else if (signal == engine_signal::unreachable) {
    context_.servers.eject_server(engine, now);
  } else if (signal == engine_signal::silent) {
    context_.servers.silent(engine, now);
    reported_silent_ = engine;
  }
}

void engine_search::end_silence(const std::string& engine) {
  if (reported_silent_ == engine) {
    reported_silent_.clear();
    context_.servers.answers(engine);
    observe(engine, engine_signal::answers);
  }
}

void engine_search::observe_speed(const std::string& engine,
                                  engine_signal signal, std::int64_t tokens,
                                  duration span) {
  engine_observation out;
  out.server = engine;
  out.sign = signal;
  out.tokens = tokens;
  out.span_us = to_microseconds(span);
  out.predicted_us = to_microseconds(found_.first_event);
  context_.placement.observe(out);
  if (signal == engine_signal::prefilled && tokens > 0 && span > duration{}) {
    context_.placement.add_prefill(need_.ask.service, tokens, span);
  }
}

}  // namespace citronwharf
