#include "gateway/engine_search.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

// Memory that is held for the output, at most: what an answer makes until the
// next look at its engine. The leader counts with all of it; a hold for all
// would keep memory from others for seconds.
constexpr std::int64_t max_held_output = 512;
// Covers a prefill behind some others.
constexpr milliseconds hold_lifetime(1500);
constexpr duration hold_timeout = milliseconds(200);
// What has waited for its grant gets another one if the engine has no memory.
constexpr duration regrant_time = milliseconds(300);
// Engines that are asked before a request waits.
constexpr std::size_t max_holds_a_round = 3;
// Requests end every few dozen milliseconds at a full engine.
constexpr duration hold_wait = milliseconds(50);
// Own prompts at a prefill engine from which on a decode engine reads another
// one as fast, at half the speed of an engine that does nothing else.
constexpr std::int64_t max_prefill_queue = 2;
constexpr int status_ok = 200;

std::string to_text(placement_class turn) {
  return nlohmann::json(turn).get<std::string>();
}

listed_server to_listed(const granted_engine& in, const engine_need& need,
                        engine_stage stage) {
  listed_server out;
  out.id = in.id;
  out.service = need.ask.service;
  out.address = in.address;
  out.failure_domain = in.failure_domain;
  out.stage = stage;
  return out;
}

}  // namespace

engine_search::engine_search(forward_context& context, hooks with)
    : context_(context), hooks_(std::move(with)), timer_(context.loop) {}

engine_search::~engine_search() {
  *alive_ = false;
  cancel();
}

void engine_search::arm(duration span, std::function<void()> expired) {
  timer_.expires_after(std::max(duration{}, span));
  when_expired(timer_, alive_, std::move(expired));
}

void engine_search::start(engine_need need) {
  cancel();
  need_ = std::move(need);
  refusals_ = 0;
  polls_ = 0;
  full_.clear();
  ask_leader();
}

void engine_search::cancel() {
  boost::system::error_code ignored;
  timer_.cancel(ignored);
  hold_call_.reset();
  leave_queue(false);
  drop_hold();
  drop_lease();
}

void engine_search::end(std::int64_t output_tokens, duration span) {
  if (lease_) {
    context_.placement.release(*std::exchange(lease_, std::nullopt),
                               output_tokens, span);
  }
}

void engine_search::drop_lease() {
  end(0, {});
}

void engine_search::drop_hold() {
  if (found_.hold.empty()) {
    return;
  }
  // It lapses by itself, so that a lost call is no matter.
  request_forwarder::send_detached(context_, at_hold_,
                                   context_.codec.drop_hold(found_.hold));
  found_.hold.clear();
}

std::string engine_search::take_hold() {
  return std::exchange(found_.hold, "");
}

void engine_search::ask_leader() {
  placement_ask ask = need_.ask;
  // Who was granted an engine that had no memory after all keeps its turn.
  if (refusals_ > 0) {
    ask.turn = placement_class::under_way;
  }
  const time_point now = runtime_clock::now();
  const auto servers_in_backoff =
      context_.servers.servers_in_backoff(ask.service, now);
  ask.excluded.insert(servers_in_backoff.begin(), servers_in_backoff.end());
  ask.max_wait_us = to_microseconds(std::max(duration{}, need_.until - now));
  lease_ = context_.placement.ask(
      std::move(ask), [this, alive = alive_](const placement_grant& in) {
        if (*alive) {
          take_grant(in);
        }
      });
}

void engine_search::take_grant(const placement_grant& in) {
  const auto wait_ms = in.wait_us / 1000;
  switch (in.outcome) {
    case placement_outcome::refused:
      hooks_.add_to_trail(
          fmt::format("engines(refused,leader,{},waiting={},wait_ms={})",
                      to_text(in.turn), in.waiting, wait_ms));
      refuse("no_memory", from_microseconds(in.wait_us));
      return;
    case placement_outcome::placed:
      granted_ = true;
      if (in.turn == placement_class::returned) {
        need_.until =
            std::max(need_.until, runtime_clock::now() + regrant_time);
      }
      found_ = {};
      found_.decode = to_listed(in.decode, need_, engine_stage::decode);
      if (!in.prefill.id.empty()) {
        found_.prefill = to_listed(in.prefill, need_, engine_stage::prefill);
      }
      found_.first_event = from_microseconds(in.wait_us);
      hooks_.add_to_trail(fmt::format(
          "engines({},{},leader,{},waiting={},wait_ms={})", in.decode.id,
          in.prefill.id.empty() ? "own" : in.prefill.id, to_text(in.turn),
          in.waiting, wait_ms));
      reserve(found_.decode);
      return;
    case placement_outcome::queued:
    case placement_outcome::not_leading:
      drop_lease();
      granted_ = false;
      hooks_.add_to_trail("leader_silent");
      if (queue().empty()) {
        choose_alone();
      } else {
        wait_alone();
      }
      return;
  }
}

std::int64_t engine_search::reserved_tokens() const {
  return need_.ask.prompt_tokens +
         std::min(need_.ask.output_tokens, max_held_output);
}

server_criteria engine_search::make_need(engine_stage stage) const {
  server_criteria need;
  need.service = need_.ask.service;
  need.stage = stage;
  need.tokens = reserved_tokens();
  need.kv_tokens = need_.profile.kv_tokens;
  need.preferred_domain = context_.failure_domain;
  need.excluded = need_.ask.excluded;
  need.excluded.insert(full_.begin(), full_.end());
  return need;
}

// Without a leader: makes sure of memory, before a prompt is read that nobody
// could take.
void engine_search::choose_alone() {
  const time_point now = runtime_clock::now();
  server_list& servers = context_.servers;
  auto decode = servers.choose(make_need(engine_stage::decode), now);
  if (!decode) {
    // Servers of a service without stages.
    decode = servers.choose(make_need(engine_stage::none), now);
  }
  if (!decode || decode->server.stage == engine_stage::prefill) {
    hooks_.add_to_trail("no_server");
    refuse("no_server", std::nullopt);
    return;
  }
  found_ = {};
  found_.decode = decode->server;
  server_criteria need = make_need(engine_stage::prefill);
  need.preferred_domain = decode->server.failure_domain;
  const auto prefill = servers.choose(need, now);
  if (need_.ask.split && decode->server.stage == engine_stage::decode &&
      prefill &&
      std::max(prefill->in_flight, prefill->reported_load) <
          max_prefill_queue) {
    found_.prefill = prefill->server;
  }
  reserve(found_.decode);
}

void engine_search::reserve(const listed_server& server) {
  const std::int64_t tokens = reserved_tokens();
  if (need_.profile.max_hold_ms <= 0 || tokens <= 0) {
    succeed();
    return;
  }
  const milliseconds lifetime =
      std::min(milliseconds(need_.profile.max_hold_ms), hold_lifetime);
  found_.hold_until = runtime_clock::now() + lifetime;
  at_hold_ = server;
  hold_call_ = context_.pool.fetch(
      request_forwarder::make_pooled_call(context_, server.address),
      context_.codec.take_hold(tokens, lifetime),
      [this](absl::StatusOr<http_response> response, bool /*sent*/) {
        on_hold(std::move(response));
      });
  arm(hold_timeout, [this] {
    hold_call_.reset();
    on_hold(absl::DeadlineExceededError("no answer in time"));
  });
}

void engine_search::on_hold(absl::StatusOr<http_response> response) {
  boost::system::error_code ignored;
  timer_.cancel(ignored);
  const std::string& id = at_hold_.id;
  if (!response.ok()) {
    hooks_.add_to_trail(fmt::format("hold_lost({},{})", id,
                                    std::string(response.status().message())));
    observe(id, engine_signal::unreachable);
    need_.ask.excluded.insert(id);
    hold_refused();
    return;
  }
  apply_server_headers(context_, id, *response);
  auto hold = response->status == status_ok
                  ? context_.codec.read_hold(response->body)
                  : absl::StatusOr<std::string>(
                        absl::ResourceExhaustedError("no memory"));
  if (!hold.ok()) {
    hooks_.add_to_trail(
        fmt::format("hold_refused({},{})", id, response->status));
    observe(id, engine_signal::full);
    hold_refused();
    return;
  }
  found_.hold = *std::move(hold);
  context_.servers.answers(id);
  hooks_.add_to_trail(fmt::format("hold({},tokens={},refused={},polls={})", id,
                                  reserved_tokens(), refusals_, polls_));
  succeed();
}

void engine_search::hold_refused() {
  ++refusals_;
  if (granted_) {
    if (lease_) {
      context_.placement.give_back(*std::exchange(lease_, std::nullopt));
    }
    if (runtime_clock::now() < need_.until) {
      ask_leader();
    } else {
      refuse("no_memory", std::nullopt);
    }
    return;
  }
  full_.insert(at_hold_.id);
  if (full_.size() < max_holds_a_round &&
      context_.servers.choose(make_need(engine_stage::decode),
                              runtime_clock::now())) {
    choose_alone();
    return;
  }
  full_.clear();
  wait_alone();
}

memory_queue& engine_search::queue() {
  return context_.memory_queues[need_.ask.service];
}

// Waits for memory to come free as long as that is of use. A stream that is
// under way goes before those that have not begun.
void engine_search::wait_alone() {
  const time_point now = runtime_clock::now();
  const bool under_way = need_.ask.turn == placement_class::under_way;
  const duration wait =
      under_way || ticket_ ? hold_wait : queue().predicted_wait(now);
  if (now + wait > need_.until) {
    hooks_.add_to_trail(
        fmt::format("no_memory(refused={},polls={},predicted_ms={})", refusals_,
                    polls_, wait.count() / 1000));
    refuse("no_memory", wait);
    return;
  }
  if (!under_way && !ticket_) {
    ticket_ = queue().join(now, [this] { poll_after(duration{}); });
  }
  if (under_way || queue().is_first(*ticket_)) {
    ++polls_;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    poll_after(std::chrono::duration_cast<duration>(hold_wait *
                                                    spread(context_.random)));
  } else {
    arm(need_.until - now, [this] { wait_alone(); });
  }
}

void engine_search::poll_after(duration span) {
  arm(span, [this] { choose_alone(); });
}

void engine_search::leave_queue(bool with_memory) {
  if (ticket_) {
    queue().leave(*std::exchange(ticket_, std::nullopt), with_memory,
                  runtime_clock::now());
  }
}

void engine_search::succeed() {
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

void engine_search::refuse(const char* reason,
                           std::optional<duration> retry_after) {
  leave_queue(false);
  drop_lease();
  hooks_.refused(reason, retry_after);
}

void engine_search::observe(const std::string& engine, engine_signal sign) {
  const time_point now = runtime_clock::now();
  engine_observation out;
  out.server = engine;
  out.sign = sign;
  context_.placement.observe(out);
  if (sign == engine_signal::full) {
    context_.servers.refused(engine, now);
  } else if (sign == engine_signal::unreachable) {
    context_.servers.eject_server(engine, now);
  }
}

void engine_search::observe_speed(const std::string& engine, engine_signal sign,
                                  std::int64_t tokens, duration span) {
  engine_observation out;
  out.server = engine;
  out.sign = sign;
  out.tokens = tokens;
  out.span_us = to_microseconds(span);
  out.predicted_us = to_microseconds(found_.first_event);
  context_.placement.observe(out);
}

}  // namespace citronwharf
