// Generations: the prompt is prefilled on one engine, a decode engine fetches
// the KV cache and streams. Where the prefill engines can't help, the decode
// engine reads the prompt itself.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/event_splitter.h"
#include "gateway/forward.h"

namespace citronwharf {
namespace {

// After this the decode engine reads the prompt itself: the first event would
// come too late for the usual objectives.
constexpr duration prefill_timeout = milliseconds(450);
// A KV cache this near to its end isn't worth a transfer.
constexpr duration export_margin = milliseconds(120);
// Silence after which a resumable stream goes on elsewhere. Callers leave
// after two seconds at the earliest.
constexpr duration first_event_timeout = milliseconds(1200);
constexpr duration gap_timeout = milliseconds(900);
// Callers whose stream has begun wait for two seconds at least for it to go on:
// for memory, and for an engine to read the prompt and what was generated.
constexpr duration max_resume_wait = milliseconds(900);
constexpr duration resume_timeout = milliseconds(2000);
// Memory that is made sure of for the output, as a share of its limit: what an
// answer holds over its life on average. Most answers end long before their
// limit, and memory kept for all of it would keep others waiting.
constexpr double expected_output_share = 0.25;
// Covers a prefill behind some others.
constexpr milliseconds hold_lifetime(1200);
constexpr duration hold_margin = milliseconds(50);
constexpr duration hold_timeout = milliseconds(200);
// Engines that are asked before a request waits.
constexpr std::size_t max_holds_a_round = 3;
// Requests end every few dozen milliseconds at a full engine.
constexpr duration hold_wait = milliseconds(50);
// From the hold to the first event, with a short queue at the prefill engine.
constexpr duration usual_first_event = milliseconds(300);
// Prompts at a prefill engine from which on a decode engine reads another one
// as fast, at half the speed of an engine that does nothing else.
constexpr std::int64_t max_prefill_queue = 2;
constexpr int status_ok = 200;
constexpr int status_bad_gateway = 502;

class stream_forward final : public forward {
 public:
  stream_forward(forward_environment& environment, admitted_request request)
      : forward(environment, std::move(request)), watch_(environment.loop) {
    const caller_request& caller = this->request().caller;
    prompt_tokens_ = caller.prompt_tokens.value_or(0);
    tokens_ = prompt_tokens_ +
              static_cast<std::int64_t>(
                  expected_output_share *
                  static_cast<double>(caller.max_output_tokens.value_or(0)));
    last_event_ = caller.last_event;
  }
  ~stream_forward() override { stop(); }
  stream_forward(const stream_forward&) = delete;
  stream_forward& operator=(const stream_forward&) = delete;

 private:
  void begin() override {
    waits_until_ = request().received + milliseconds(route().objective_ms) -
                   usual_first_event;
    environment().meter.asked(request().service->name, prompt_tokens_,
                              runtime_clock::now());
    if (queue().empty()) {
      plan();
    } else {
      wait_for_memory();
    }
  }

  void stop() override {
    leave_queue(false);
    hold_call_.reset();
    end_call(server_result::abandoned);
    drop_hold();
    drop_export();
    boost::system::error_code ignored;
    watch_.cancel(ignored);
  }

  std::int64_t engine_tokens() const {
    const auto& engine = request().service->engine;
    return engine ? engine->kv_tokens : 0;
  }

  server_need make_need(engine_stage stage) {
    server_need need;
    need.service = request().service->name;
    need.stage = stage;
    need.tokens = tokens_;
    need.kv_tokens = engine_tokens();
    need.near = environment().failure_domain;
    need.excluded = tried_;
    need.excluded.insert(full_.begin(), full_.end());
    return need;
  }

  // Chooses the decode engine and makes sure of its memory, before a prompt is
  // read that nobody could take.
  void plan() {
    const time_point now = runtime_clock::now();
    server_list& servers = environment().servers;
    decode_ = servers.choose(make_need(engine_stage::decode), now);
    if (!decode_) {
      // Servers of a service without stages.
      decode_ = servers.choose(make_need(engine_stage::none), now);
    }
    if (!decode_ || decode_->server.stage == engine_stage::prefill) {
      note("no_server");
      conclude(without_retry(report_, progress()));
      return;
    }
    const auto& engine = request().service->engine;
    if (engine && engine->max_hold_ms > 0 && tokens_ > 0) {
      take_hold(decode_->server, milliseconds(engine->max_hold_ms));
    } else {
      go_on();
    }
  }

  void take_hold(const listed_server& server, milliseconds max_lifetime) {
    const milliseconds lifetime = std::min(max_lifetime, hold_lifetime);
    hold_until_ = runtime_clock::now() + lifetime;
    at_hold_ = server;
    hold_call_ = environment().pool.fetch(
        call_to(server.address),
        environment().codec.take_hold(tokens_, lifetime),
        [this](absl::StatusOr<http_response> response, bool /*sent*/) {
          on_hold(std::move(response));
        });
    arm(watch_, hold_timeout, [this] {
      hold_call_.reset();
      on_hold(absl::DeadlineExceededError("no answer in time"));
    });
  }

  void on_hold(absl::StatusOr<http_response> response) {
    disarm();
    const std::string& id = at_hold_.id;
    const time_point now = runtime_clock::now();
    if (!response.ok()) {
      note(fmt::format("hold_lost({},{})", id,
                       std::string(response.status().message())));
      environment().servers.distrust(id, now);
      hold_refused();
      return;
    }
    auto hold = response->status == status_ok
                    ? environment().codec.read_hold(response->body)
                    : absl::StatusOr<std::string>(
                          absl::ResourceExhaustedError("no memory"));
    if (!hold.ok()) {
      environment().servers.refused(id, now);
      hold_refused();
      return;
    }
    hold_ = *std::move(hold);
    environment().servers.answers(id);
    note(fmt::format("hold({},tokens={},refused={},polls={})", id, tokens_,
                     holds_refused_, polls_));
    go_on();
  }

  // Looks at the other engines first, then waits for memory to come free as
  // long as the first event can still be in time.
  void hold_refused() {
    ++holds_refused_;
    full_.insert(at_hold_.id);
    if (full_.size() < max_holds_a_round &&
        environment().servers.choose(make_need(engine_stage::decode),
                                     runtime_clock::now())) {
      plan();
      return;
    }
    full_.clear();
    wait_for_memory();
  }

  memory_queue& queue() {
    return environment().memory_queues[request().service->name];
  }

  // A stream that is under way goes before those that have not begun.
  void wait_for_memory() {
    const time_point now = runtime_clock::now();
    const bool in_turn = streaming_ || ticket_;
    const duration wait = in_turn ? hold_wait : queue().predicted_wait(now);
    if (now + wait > waits_until_) {
      note(fmt::format("no_memory(refused={},polls={},predicted_ms={})",
                       holds_refused_, polls_, wait.count() / 1000));
      conclude(without_retry(report_, progress()));
      return;
    }
    if (!in_turn) {
      ticket_ = queue().join(now, [this] { poll_after(duration{}); });
    }
    if (streaming_ || queue().is_first(*ticket_)) {
      ++polls_;
      std::uniform_real_distribution<double> spread(0.5, 1.5);
      poll_after(std::chrono::duration_cast<duration>(
          hold_wait * spread(environment().random)));
    } else {
      arm(watch_, waits_until_ - now, [this] { wait_for_memory(); });
    }
  }

  void poll_after(duration span) {
    arm(watch_, span, [this] { plan(); });
  }

  void leave_queue(bool with_memory) {
    if (ticket_) {
      queue().leave(*std::exchange(ticket_, std::nullopt), with_memory,
                    runtime_clock::now());
    }
  }

  // With the memory sure, chooses who reads the prompt.
  void go_on() {
    const time_point now = runtime_clock::now();
    server_list& servers = environment().servers;
    full_.clear();
    leave_queue(true);
    server_need need = make_need(engine_stage::prefill);
    need.near = decode_->server.failure_domain;
    need.excluded = prefills_tried_;
    const auto prefill = servers.choose(need, now);
    // A further attempt reads the prompt at the decode engine: one send to the
    // service instead of two.
    const bool short_queue =
        prefill &&
        std::max(prefill->in_flight, prefill->reported) < max_prefill_queue &&
        std::uniform_real_distribution<double>(0, 1)(environment().random) >=
            environment().meter.overflow_share(now);
    if (decode_->server.stage == engine_stage::decode && short_queue &&
        sends_ == 0 && !last_event_ && prefills_tried_.size() < max_prefills) {
      start_prefill(*prefill);
    } else {
      start_decode();
    }
  }

  void start_prefill(const chosen_server& chosen) {
    const listed_server& server = chosen.server;
    prefills_tried_.insert(server.id);
    prefill_ = server;
    prefill_started_ = runtime_clock::now();
    note(fmt::format("prefill({},in_flight={})", server.id, chosen.in_flight));
    server_call call;
    call.stage = generation_stage::prefill;
    http_call_handlers handlers = collect_response(
        [this](absl::StatusOr<http_response> response, bool sent) {
          on_prefill(std::move(response), sent);
        });
    start_call(server, call, std::move(handlers));
    arm(watch_, prefill_timeout, [this] {
      note("prefill_silent");
      environment().meter.gave_up(prefill_timeout, runtime_clock::now());
      end_call(server_result::abandoned);
      environment().budget.charge(request().service->name,
                                  runtime_clock::now());
      start_decode();
    });
  }

  void on_prefill(absl::StatusOr<http_response> response, bool sent) {
    disarm();
    if (!response.ok()) {
      note(fmt::format("prefill_lost({})",
                       std::string(response.status().message())));
      end_call(sent ? server_result::failed : server_result::unreachable);
      prefill_failed();
      return;
    }
    if (response->status != status_ok) {
      note(fmt::format("prefill_refused({})", response->status));
      end_call(server_result::refused);
      prefill_failed();
      return;
    }
    end_call(server_result::served);
    auto exported = environment().codec.read_prefill(response->body);
    if (!exported.ok()) {
      note(fmt::format("prefill_unreadable({})",
                       std::string(exported.status().message())));
      prefill_failed();
      return;
    }
    export_ = *std::move(exported);
    exported_at_ = runtime_clock::now();
    environment().meter.took(export_.tokens, exported_at_ - prefill_started_,
                             exported_at_);
    note(fmt::format("prefilled({} tokens)", export_.tokens));
    start_decode();
  }

  // Nothing has run. The first prefill that an engine accepts is no extra send,
  // but those that fail are.
  void prefill_failed() {
    environment().budget.charge(request().service->name, runtime_clock::now());
    if (prefills_tried_.size() < max_prefills && take_budget()) {
      go_on();
    } else {
      start_decode();
    }
  }

  bool take_budget() {
    return environment().budget.take(request().service->name,
                                     environment().processes(),
                                     runtime_clock::now());
  }

  void start_decode() {
    const listed_server& server = decode_->server;
    ++sends_;
    may_be_running_ = true;
    last_server_ = server.id;
    tried_.insert(server.id);
    report_ = {};
    head_ = {};
    error_body_.clear();
    splitter_.reset();
    response_begun_ = false;
    server_call call;
    if (!export_.handle.empty()) {
      call.kv_source = fmt::format("{}/{}", prefill_.address, export_.handle);
    }
    if (!hold_.empty() && at_hold_.id == server.id &&
        runtime_clock::now() + hold_margin < hold_until_) {
      call.hold = std::exchange(hold_, "");
    }
    call.last_event = last_event_;
    note(fmt::format("decode({},in_flight={},load={},kv={})", server.id,
                     decode_->in_flight, decode_->reported,
                     export_.handle.empty() ? "own" : prefill_.id));
    start_call(server, call, decode_handlers());
    watch(streaming_ ? resume_timeout : first_event_timeout);
  }

  void start_call(const listed_server& server, server_call call,
                  http_call_handlers handlers) {
    call.organisation = request().organisation;
    call.instance = server.id;
    call.deadline = server_deadline();
    environment().servers.started(server.id, tokens_, runtime_clock::now());
    at_server_ = server.id;
    if (call.stage == generation_stage::whole && engine_tokens() > 0) {
      decoding_ =
          static_cast<double>(tokens_) / static_cast<double>(engine_tokens());
      environment().meter.decodes(request().service->name, decoding_);
    }
    call_ = environment().pool.start(
        call_for_request(server.address),
        environment().codec.make_call(request().caller, call),
        std::move(handlers));
  }

  http_call_handlers decode_handlers() {
    http_call_handlers out;
    out.on_head = [this](const http_response& head) { on_head(head); };
    out.on_body = [this](const std::string& part) { on_body(part); };
    out.on_done = [this] { on_end(); };
    out.on_failure = [this](const http_failure& failure) {
      note(fmt::format("lost({},sent={})",
                       std::string(failure.status.message()), failure.sent));
      report_.sent = report_.sent || failure.sent;
      settle(failure.sent ? server_result::failed : server_result::unreachable);
    };
    return out;
  }

  // Silence is only a reason to go elsewhere where the stream may be resumed.
  void watch(duration limit) {
    if (route().repeat == repeatability::at_most_once) {
      return;
    }
    arm(watch_, limit, [this] {
      note("silent");
      report_.sent = true;
      settle(server_result::timed_out);
    });
  }

  void disarm() {
    boost::system::error_code ignored;
    watch_.cancel(ignored);
  }

  void on_head(const http_response& head) {
    head_ = head;
    report_.sent = true;
    const server_answer answer = environment().codec.read_answer(head);
    if (answer.load) {
      environment().servers.reported(last_server_, *answer.load,
                                     runtime_clock::now());
    }
    if (answer.status == status_ok) {
      environment().servers.answers(last_server_);
      response_begun_ = true;
      // Whatever the engine fetched, it has now.
      export_ = {};
    }
  }

  void on_body(const std::string& part) {
    if (!response_begun_) {
      error_body_ += part;
      return;
    }
    for (const stream_event& event : splitter_.feed(part)) {
      if (!relay(event)) {
        return;
      }
    }
    watch(gap_timeout);
  }

  // Returns whether the stream goes on.
  bool relay(const stream_event& event) {
    if (event.id && last_event_ && *event.id <= *last_event_) {
      note(fmt::format("event_out_of_order({} after {})", *event.id,
                       *last_event_));
      settle(server_result::failed);
      return false;
    }
    if (!streaming_) {
      streaming_ = true;
      note("first_event");
      request().exchange->start_stream(environment().codec.make_answer(head_));
    }
    request().exchange->write(event.bytes);
    ++events_;
    if (event.id) {
      last_event_ = event.id;
    }
    return true;
  }

  void on_end() {
    disarm();
    if (response_begun_) {
      if (splitter_.in_event() || events_ == 0) {
        note("ended_in_event");
        settle(server_result::failed);
        return;
      }
      end_call(server_result::served);
      request().exchange->finish();
      note(fmt::format("events({})", events_));
      finish(status_ok, "answered", true);
      return;
    }
    const server_answer answer = environment().codec.read_answer(head_);
    settle(take_answer(answer, report_));
  }

  void end_call(server_result result) {
    call_.reset();
    if (at_server_.empty()) {
      return;
    }
    environment().meter.decodes(request().service->name,
                                -std::exchange(decoding_, 0));
    const std::string server = std::exchange(at_server_, "");
    report_end(server, tokens_, result);
  }

  // The attempt at the decode engine is over without a whole stream.
  void settle(server_result result) {
    disarm();
    end_call(result);
    may_be_running_ = false;
    if (report_.sent && !report_.not_run) {
      ++servers_run_;
    }
    if (report_.sent && !report_.not_run) {
      // The engine that may have run the request may have fetched it, too.
      export_ = {};
    } else if (!export_usable()) {
      drop_export();
    }
    drop_hold();
    if (report_.not_run) {
      environment().servers.refused(last_server_, runtime_clock::now());
    }
    verdict next = after_attempt(report_, progress());
    if (next == verdict::retry) {
      if (!report_.sent || take_budget()) {
        waits_until_ = runtime_clock::now() + max_resume_wait;
        retry();
        return;
      }
      note("no_budget");
      next = without_retry(report_, progress());
    }
    conclude(next);
  }

  bool export_usable() const {
    const auto& engine = request().service->engine;
    return !export_.handle.empty() && engine &&
           runtime_clock::now() - exported_at_ + export_margin <
               milliseconds(engine->export_lifetime_ms);
  }

  void retry() {
    if (!export_usable()) {
      plan();
      return;
    }
    server_need need = make_need(engine_stage::decode);
    need.near = prefill_.failure_domain;
    decode_ = environment().servers.choose(need, runtime_clock::now());
    if (decode_) {
      start_decode();
    } else {
      drop_export();
      conclude(without_retry(report_, progress()));
    }
  }

  void drop_hold() {
    if (hold_.empty()) {
      return;
    }
    // It lapses by itself, so that a lost call is no matter.
    environment().pool.run_detached(call_to(at_hold_.address),
                                    environment().codec.drop_hold(hold_));
    hold_.clear();
  }

  void drop_export() {
    if (export_.handle.empty()) {
      return;
    }
    // The engine frees it by itself before long, so that a lost call is no
    // matter; the pool keeps the call until it ends.
    environment().pool.run_detached(
        call_to(prefill_.address),
        environment().codec.drop_prefill(export_.handle));
    export_ = {};
  }

  void conclude(verdict next) {
    leave_queue(false);
    drop_hold();
    drop_export();
    if (streaming_) {
      // The caller must see that the stream broke off.
      finish(status_bad_gateway, "stream_broke_off", false);
      return;
    }
    switch (next) {
      case verdict::deliver: {
        http_response response = head_;
        response.body = std::move(error_body_);
        deliver(std::move(response), "answered");
        break;
      }
      case verdict::refuse_not_run:
        refuse_not_run(sends_ > 0           ? "servers_refused"
                       : holds_refused_ > 0 ? "no_memory"
                                            : "no_server");
        break;
      case verdict::retry:
      case verdict::fail_unknown:
        fail_unknown(status_bad_gateway, "outcome_unknown");
        break;
    }
  }

  void on_deadline() override {
    if (streaming_) {
      note("deadline");
      stop();
      finish(status_bad_gateway, "deadline", false);
      return;
    }
    forward::on_deadline();
  }

  // Prefills of one request at most: each costs as much as many tokens.
  static constexpr std::size_t max_prefills = 2;

  runtime_timer watch_;
  std::unique_ptr<http_call> hold_call_;
  listed_server at_hold_;  // the engine that was asked for memory last
  std::string hold_;       // id, "" without one
  time_point hold_until_{};
  time_point waits_until_{};                    // for memory
  std::optional<memory_queue::ticket> ticket_;  // in the queue for it
  std::set<std::string> full_;  // ids of engines without memory, this round
  int holds_refused_ = 0;
  int polls_ = 0;
  std::unique_ptr<http_call> call_;
  std::string at_server_;  // id, "" without a call
  double decoding_ = 0;    // engines' worth of memory, for the meter
  std::int64_t prompt_tokens_ = 0;
  std::int64_t tokens_ = 0;
  std::set<std::string> prefills_tried_;  // ids
  listed_server prefill_;
  time_point prefill_started_{};
  exported_prefill export_;  // handle "" without one
  time_point exported_at_{};
  std::optional<chosen_server> decode_;
  attempt_report report_;
  http_response head_;
  std::string error_body_;
  event_splitter splitter_;
  bool response_begun_ = false;  // with success, at the present server
  bool streaming_ = false;       // towards the caller
  std::int64_t events_ = 0;
  std::optional<std::int64_t> last_event_;  // that the caller has
};

}  // namespace

std::unique_ptr<forward> make_stream_forward(forward_environment& environment,
                                             admitted_request request) {
  return std::make_unique<stream_forward>(environment, std::move(request));
}

}  // namespace citronwharf
