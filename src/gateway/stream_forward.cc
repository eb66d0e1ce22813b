// Generations: the prompt is prefilled on one engine, a decode engine fetches
// the KV cache and streams. Where the prefill engines can't help, the decode
// engine reads the prompt itself.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/engine_search.h"
#include "gateway/event_splitter.h"
#include "gateway/forward.h"

namespace citronwharf {
namespace {

// After this beyond the predicted time the decode engine reads the prompt
// itself, and the engine that was to read it is taken for ill.
constexpr duration prefill_grace = milliseconds(400);
constexpr duration min_prefill_timeout = milliseconds(450);
// A KV cache this near to its end isn't worth a transfer.
constexpr duration export_margin = milliseconds(120);
// Silence after which a resumable stream goes on elsewhere. Callers leave
// after two seconds at the earliest.
constexpr duration first_event_timeout = milliseconds(1200);
constexpr duration min_gap_timeout = milliseconds(900);
// Where the route bears longer gaps: that many times its objective.
constexpr std::int64_t gap_timeout_objectives = 3;
// Callers whose stream has begun wait for two seconds at least for it to go on:
// for memory, and for an engine to read the prompt and what was generated.
constexpr duration max_resume_wait = milliseconds(900);
constexpr duration resume_timeout = milliseconds(2000);
// Output that is expected where the caller doesn't say, as a share of its
// limit. Most answers end long before it.
constexpr double expected_output_share = 0.4;
// What an answer that has outgrown its expected output is taken to have left.
constexpr std::int64_t outgrown_divisor = 4;
constexpr duration hold_margin = milliseconds(50);
// From the first event at the engine to the caller, and for a hold before.
constexpr duration first_event_margin = milliseconds(80);
// Events that tell an engine's pace: enough to cover a prompt that it reads
// between them.
constexpr std::int64_t paced_events = 5;
// Prefill engines that are tried after one that had no room or broke off. Each
// costs a round trip and a part of the retry budget.
constexpr int max_failed_prefills = 2;
// An engine's answer that is no stream says why in a few lines.
constexpr std::size_t max_error_bytes = 64U << 10U;
constexpr int status_ok = 200;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

std::int64_t expected_output(const caller_request& caller) {
  const std::int64_t limit = caller.max_output_tokens.value_or(0);
  const auto usual = static_cast<std::int64_t>(expected_output_share *
                                               static_cast<double>(limit));
  const std::int64_t expected =
      std::max<std::int64_t>(1, caller.expected_output_tokens.value_or(usual));
  return limit > 0 ? std::min(limit, expected) : expected;
}

class stream_forward final : public forward {
 public:
  stream_forward(forward_environment& environment, admitted_request request)
      : forward(environment, std::move(request)),
        watch_(environment.loop),
        search_(environment, search_hooks()) {
    const caller_request& caller = this->request().caller;
    prompt_tokens_ = caller.prompt_tokens.value_or(0);
    output_tokens_ = expected_output(caller);
    last_event_ = caller.last_event;
  }
  ~stream_forward() override { stop(); }
  stream_forward(const stream_forward&) = delete;
  stream_forward& operator=(const stream_forward&) = delete;

 private:
  engine_search::hooks search_hooks() {
    engine_search::hooks out;
    out.found = [this](const found_engines& in) { on_found(in); };
    out.refused = [this](const char* reason,
                         std::optional<duration> retry_after) {
      refusal_ = reason;
      retry_after_ = retry_after;
      conclude(without_retry(report_, progress()));
    };
    out.note = [this](const std::string& decision) { note(decision); };
    return out;
  }

  void begin() override {
    const duration objective = milliseconds(route().objective_ms);
    search(placement_class::fresh,
           request().received + objective - first_event_margin);
  }

  void stop() override {
    end_call(server_result::abandoned);
    search_.cancel();
    drop_export();
    disarm();
  }

  // Nothing of the prompt is read before a decode engine has memory for it.
  // A further attempt reads the prompt at the decode engine: one send to the
  // service instead of two.
  void search(placement_class turn, time_point until) {
    engine_need need;
    need.ask.service = service().name;
    need.profile = service().engine.value_or(engine_profile{});
    need.ask.organisation = request().resolved.organisation();
    const std::vector<prompt_part>& prompt = request().caller.prompt;
    need.ask.prompt = prompt.empty() ? "" : prompt.back().id;
    need.ask.turn = turn;
    need.ask.prompt_tokens = prompt_tokens_ + made_tokens();
    need.ask.output_tokens = std::max(output_tokens_ - made_tokens(),
                                      output_tokens_ / outgrown_divisor);
    // An engine that refuses the prompt makes what follows a repeat.
    need.ask.split =
        sends_ == 0 && !last_event_ && export_.handle.empty() &&
        environment().budget.has(service().name, environment().processes(),
                                 runtime_clock::now());
    need.ask.gap_us = to_microseconds(milliseconds(route().gap_objective_ms));
    need.ask.excluded = tried_;
    need.until = std::min(until, request().deadline);
    search_.start(std::move(need));
  }

  // Tokens of the events that the caller has.
  std::int64_t made_tokens() const {
    const auto& engine = service().engine;
    return engine ? events_ * engine->tokens_per_event : 0;
  }

  bool may_send(const listed_server& server) {
    return environment().servers.may_send(server.id, runtime_clock::now());
  }

  // An engine asked to be spared since it was chosen.
  void search_again(const listed_server& spared) {
    note(fmt::format("spared({})", spared.id));
    search(placement_class::under_way, runtime_clock::now() + max_resume_wait);
  }

  void on_found(const found_engines& found) {
    engines_ = found;
    if (found.prefill && export_.handle.empty()) {
      start_prefill(*found.prefill);
    } else {
      start_decode();
    }
  }

  void start_prefill(const listed_server& server) {
    if (!may_send(server)) {
      search_again(server);
      return;
    }
    repeat_taken_ = take_repeat();
    if (!repeat_taken_) {
      start_decode();
      return;
    }
    prefill_ = server;
    prefill_started_ = runtime_clock::now();
    note(fmt::format("prefill({})", server.id));
    server_call call;
    call.stage = generation_stage::prefill;
    http_call_handlers handlers = collect_response(
        [this](absl::StatusOr<http_response> response, bool sent) {
          on_prefill(std::move(response), sent);
        });
    start_call(server, call, std::move(handlers));
    arm(watch_,
        std::max(min_prefill_timeout, engines_.first_event + prefill_grace),
        [this] {
          note("prefill_silent");
          search_.observe(prefill_.id, engine_signal::silent);
          end_call(server_result::timed_out);
          start_decode();
        });
  }

  void on_prefill(absl::StatusOr<http_response> response, bool sent) {
    disarm();
    if (!response.ok()) {
      note(fmt::format("prefill_lost({})",
                       std::string(response.status().message())));
      search_.observe(prefill_.id, sent ? engine_signal::failed
                                        : engine_signal::unreachable);
      end_call(sent ? server_result::failed : server_result::unreachable);
      tried_.insert(prefill_.id);
      if (!sent) {
        give_back_repeat();
      }
      if (!sent || may_prefill_again()) {
        // Another engine may read the prompt.
        search(placement_class::under_way,
               request().received + milliseconds(route().objective_ms));
      } else {
        start_decode();
      }
      return;
    }
    take_signs(environment(), prefill_.id, *response);
    if (response->status != status_ok) {
      note(fmt::format("prefill_refused({})", response->status));
      // Full of exports, which is no fault.
      environment().servers.answers(prefill_.id);
      end_call(server_result::abandoned);
      prefill_refused(response->status);
      return;
    }
    end_call(server_result::served);
    // The first prompt that an engine accepts is no send beyond the first.
    if (!prefilled_) {
      give_back_repeat();
    }
    prefilled_ = true;
    auto exported = environment().codec.read_prefill(response->body);
    if (!exported.ok()) {
      note(fmt::format("prefill_unreadable({})",
                       std::string(exported.status().message())));
      start_decode();
      return;
    }
    export_ = *std::move(exported);
    exported_at_ = runtime_clock::now();
    search_.observe_speed(prefill_.id, engine_signal::prefilled, export_.tokens,
                          exported_at_ - prefill_started_);
    cached_at_ = prefill_;
    note(fmt::format("prefilled({} tokens)", export_.tokens));
    start_decode();
  }

  // Nothing has run. Another prefill engine may have room: a decode engine that
  // reads the prompt holds up its streams.
  void prefill_refused(int status) {
    search_.observe(prefill_.id, status == status_unavailable
                                     ? engine_signal::exports_full
                                     : engine_signal::unreachable);
    if (!may_prefill_again()) {
      start_decode();
      return;
    }
    search(placement_class::under_way,
           request().received + milliseconds(route().objective_ms));
  }

  bool may_prefill_again() { return ++failed_prefills_ <= max_failed_prefills; }

  void give_back_repeat() {
    if (repeat_taken_) {
      forward::give_back_repeat(*std::exchange(repeat_taken_, std::nullopt));
    }
  }

  void start_decode() {
    const listed_server& server = engines_.decode;
    if (!may_send(server)) {
      search_again(server);
      return;
    }
    ++sends_;
    may_be_running_ = true;
    last_server_ = server.id;
    tried_.insert(server.id);
    report_ = {};
    head_ = {};
    error_body_.clear();
    splitter_.reset();
    response_begun_ = false;
    paced_events_ = 0;
    server_call call;
    if (!export_.handle.empty()) {
      call.kv_source = fmt::format("{}/{}", prefill_.address, export_.handle);
    } else if (cached_at_.id != server.id) {
      call.cache_source = cached_at_.address;
    }
    if (runtime_clock::now() + hold_margin < engines_.hold_until) {
      call.hold = search_.take_hold();
    }
    call.last_event = last_event_;
    held_ = !call.hold.empty();
    note(fmt::format("decode({},kv={})", server.id,
                     !export_.handle.empty()      ? prefill_.id
                     : !call.cache_source.empty() ? cached_at_.id
                                                  : "own"));
    start_call(server, call, decode_handlers());
    watch(streaming_ ? resume_timeout : first_event_timeout);
  }

  void start_call(const listed_server& server, server_call call,
                  http_call_handlers handlers) {
    pooled_call pooled = call_for_request(server.address);
    if (call.stage == generation_stage::whole) {
      pooled.max_body_bytes = std::nullopt;
    }
    call.organisation = request().resolved.organisation();
    call.instance = server.id;
    call.deadline = server_deadline();
    environment().servers.started(server.id, prompt_tokens_,
                                  runtime_clock::now());
    at_server_ = server.id;
    call_ = environment().pool.start(
        std::move(pooled),
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
      search_.observe(last_server_, failure.sent ? engine_signal::failed
                                                 : engine_signal::unreachable);
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
      search_.observe(last_server_, engine_signal::silent);
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
    const server_answer answer = take_signs(environment(), last_server_, head);
    if (answer.status == status_ok && !answer.signed_by) {
      note("unsigned");
      settle(server_result::failed);
      return;
    }
    if (answer.status == status_ok) {
      environment().servers.answers(last_server_);
      search_.observe(last_server_, engine_signal::answers);
      response_begun_ = true;
      if (cached_at_.id.empty()) {
        cached_at_ = engines_.decode;
      }
      // Whatever the engine fetched, it has now.
      export_ = {};
    }
  }

  void on_body(const std::string& part) {
    if (!response_begun_) {
      error_body_ += part;
      if (error_body_.size() > max_error_bytes) {
        break_off("error without end");
      }
      return;
    }
    const auto events = splitter_.feed(part);
    for (const stream_event& event : events) {
      if (!relay(event)) {
        return;
      }
    }
    if (splitter_.overflows()) {
      break_off("event without end");
      return;
    }
    // A stalled engine may still send a byte now and then.
    if (!events.empty()) {
      watch(gap_timeout());
    }
  }

  void break_off(const char* reason) {
    note(reason);
    report_.sent = true;
    search_.observe(last_server_, engine_signal::failed);
    settle(server_result::failed);
  }

  duration gap_timeout() const {
    return std::max<duration>(
        min_gap_timeout,
        milliseconds(gap_timeout_objectives * route().gap_objective_ms));
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
    const time_point now = runtime_clock::now();
    if (events_++ == 0) {
      first_event_at_ = now;
    } else {
      max_gap_ = std::max(max_gap_, now - last_event_at_);
    }
    last_event_at_ = now;
    watch_pace(now);
    if (event.id) {
      last_event_ = event.id;
    }
    return true;
  }

  // The pace of the first events at an engine tells how fast it is.
  void watch_pace(time_point now) {
    if (paced_events_ == 0) {
      pace_from_ = now;
    }
    if (++paced_events_ == paced_events + 1) {
      const std::int64_t per_event =
          service().engine ? service().engine->tokens_per_event : 1;
      search_.observe_speed(last_server_, engine_signal::paced,
                            paced_events * per_event, now - pace_from_);
    }
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
      search_.end(made_tokens(), last_event_at_ - first_event_at_);
      request().exchange->finish();
      note(fmt::format("events({},max_gap_ms={})", events_,
                       max_gap_.count() / 1000));
      finish(status_ok, "answered", true);
      return;
    }
    const server_answer answer = environment().codec.read_answer(head_);
    const server_result result = take_answer(answer, report_);
    if (result == server_result::error) {
      environment().health.error(last_server_);
      search_.observe(last_server_, engine_signal::failed);
    }
    settle(result);
  }

  void end_call(server_result result) {
    call_.reset();
    if (!at_server_.empty()) {
      report_end(std::exchange(at_server_, ""), prompt_tokens_, result);
    }
  }

  // The attempt at the decode engine is over without a whole stream.
  void settle(server_result result) {
    disarm();
    end_call(result);
    may_be_running_ = false;
    if (report_.sent && !report_.not_run) {
      ++servers_run_;
      // The engine that may have run the request may have fetched it, too.
      if (!export_.handle.empty()) {
        cached_at_ = engines_.decode;
      }
      export_ = {};
    } else if (!export_usable()) {
      drop_export();
    }
    if (report_.not_run) {
      note_refusal();
    }
    verdict next = after_attempt(report_, progress());
    if (next == verdict::retry) {
      if (!report_.sent || take_repeat()) {
        search(placement_class::under_way,
               runtime_clock::now() + max_resume_wait);
        return;
      }
      next = without_retry(report_, progress());
    }
    conclude(next);
  }

  // An engine that holds memory for the request can only miss its KV cache,
  // unless it was ordered to another stage meanwhile.
  void note_refusal() {
    const bool switches =
        environment().servers.is_switching(last_server_, runtime_clock::now());
    if (held_ && !switches && !prefill_.id.empty() &&
        head_.status == status_unavailable) {
      search_.observe(prefill_.id, engine_signal::export_gone);
    } else {
      search_.observe(last_server_, engine_signal::full);
    }
  }

  bool export_usable() const {
    const auto& engine = service().engine;
    return !export_.handle.empty() && engine &&
           runtime_clock::now() - exported_at_ + export_margin <
               milliseconds(engine->export_lifetime_ms);
  }

  void drop_export() {
    if (export_.handle.empty()) {
      return;
    }
    // The engine frees it by itself before long, so that a lost call is no
    // matter; the pool keeps the call until it ends.
    tell(environment(), prefill_,
         environment().codec.drop_prefill(export_.handle));
    export_ = {};
  }

  void conclude(verdict next) {
    search_.cancel();
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
        refuse_not_run(sends_ > 0 ? "servers_refused" : refusal_, retry_after_);
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

  runtime_timer watch_;
  engine_search search_;
  found_engines engines_;
  std::string refusal_ = "no_server";  // why the last search failed
  std::optional<duration> retry_after_;
  std::unique_ptr<http_call> call_;
  std::string at_server_;  // id, "" without a call
  std::int64_t prompt_tokens_ = 0;
  std::int64_t output_tokens_ = 0;  // expected
  listed_server prefill_;
  time_point prefill_started_{};
  int failed_prefills_ = 0;
  bool prefilled_ = false;                  // an engine accepted the prompt
  std::optional<time_point> repeat_taken_;  // for the prompt under way
  exported_prefill export_;                 // handle "" without one
  time_point exported_at_{};
  listed_server cached_at_;  // an engine that has read the prompt, or none
  bool held_ = false;        // memory, for the present attempt
  attempt_report report_;
  http_response head_;
  std::string error_body_;
  event_splitter splitter_;
  bool response_begun_ = false;  // with success, at the present server
  bool streaming_ = false;       // towards the caller
  std::int64_t events_ = 0;
  time_point first_event_at_{};
  time_point last_event_at_{};
  duration max_gap_{};             // between events
  std::int64_t paced_events_ = 0;  // at the present engine
  time_point pace_from_{};
  std::optional<std::int64_t> last_event_;  // that the caller has
};

}  // namespace

std::unique_ptr<forward> make_stream_forward(forward_environment& environment,
                                             admitted_request request) {
  return std::make_unique<stream_forward>(environment, std::move(request));
}

}  // namespace citronwharf
