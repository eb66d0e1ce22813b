// Forwarding of generations. A prefill engine processes the prompt; a decode
// engine fetches the KV cache and streams the output. If no prefill engine is
// available the decode engine prefills the prompt itself.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/engine_search.h"
#include "gateway/event_splitter.h"
#include "gateway/forward.h"
#include "gateway/prefill_limit.h"
#include "gateway/serving_time.h"
#include "net/http_status.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// A KV cache that expires within this time is not worth a transfer.
constexpr duration min_export_time_left = milliseconds(120);
// After this long without an event another engine is looked for, if the stream
// may be resumed. Callers give up after two seconds at the earliest.
constexpr duration first_event_timeout = milliseconds(1200);
constexpr duration min_gap_timeout = milliseconds(900);
// For routes with larger gap objectives: the timeout as a multiple of the
// objective.
constexpr std::int64_t gap_timeout_objectives = 3;
// Callers wait at least two seconds for a started stream to continue. That time
// covers waiting for memory and prefilling the prompt and the output generated
// so far.
constexpr duration max_resume_wait = milliseconds(900);
constexpr duration resume_timeout = milliseconds(2000);
// Delay before the next search if no engine could replace a silent one; doubles
// with each search.
constexpr duration initial_replacement_delay = milliseconds(300);
// A stream must not go on at an engine while the previous one still works on it
// 400 ms later. The rest is left for the transit and for a busy event loop.
constexpr duration max_parallel_run = milliseconds(200);
// Divisor of the expected output that gives the remaining output assumed for an
// answer that has exceeded its estimate.
constexpr std::int64_t exceeded_output_divisor = 4;
constexpr duration hold_margin = milliseconds(50);
// How long a resumed stream waits until the version at which it began is known.
// Callers wait at least two seconds for the first event.
constexpr duration max_version_wait = milliseconds(1900);
// Callers give up a stream after this long without an event, or after these
// multiples of its objectives, whichever is longest.
constexpr duration min_patience = seconds(2);
constexpr std::int64_t patience_objectives = 4;
constexpr std::int64_t patience_gap_objectives = 8;
// Part of that time in which the engine prefills the prompt and the output.
constexpr duration resume_read_time = milliseconds(600);
// Covers the time from the sending of a request to its receipt, and clocks that
// run at different speeds.
constexpr duration resume_margin = seconds(10);
// Covers the transit of the first event from the engine to the caller, and the
// memory reservation before it.
constexpr duration first_event_margin = milliseconds(80);
// Events over which the speed of an engine is measured: enough to include a
// prompt that it prefills in between.
constexpr std::int64_t pace_sample_events = 5;
// Further prefill engines that are tried after one was full or failed. Each
// costs a round trip and part of the retry budget.
constexpr int max_failed_prefills = 2;
// An engine response that is not a stream explains the error in a few lines.
constexpr std::size_t max_error_bytes = 64U << 10U;
// Comments between two events. An engine that sends more sends no answer.
constexpr std::size_t max_comment_bytes = 64U << 10U;
// An answer that lasts this long and has so many events goes on: a part of the
// prompt that crashes engines does so within a quarter of this time, before the
// second event.
constexpr duration min_sound_time = milliseconds(500);
constexpr std::int64_t min_sound_events = 3;
constexpr int status_misdirected = 421;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

// A call that sends the request to an engine.
struct engine_call {
  std::unique_ptr<http_call> call;
  std::string server;  // id, "" if there is no call
  time_point sent_at{};
  bool memory_held = false;
};

// An event that is not relayed yet.
struct held_event {
  stream_event event;
  time_point received;
};

class stream_forwarder final : public request_forwarder {
 public:
  stream_forwarder(forward_context& context, admitted_request request)
      : request_forwarder(context, std::move(request)),
        silence_timer_(context.loop),
        search_(std::make_unique<engine_search>(context, search_hooks())),
        replacement_search_(
            std::make_unique<engine_search>(context, search_hooks())),
        memory_(context.response_budget) {
    const caller_request& caller = this->request().caller;
    prompt_tokens_ = caller.prompt_tokens.value_or(0);
    expected_output_tokens_ = expected_output_tokens(caller);
    last_event_id_ = caller.last_event;
    parts_ = shared_parts(caller.prompt);
  }
  ~stream_forwarder() override { stop(); }
  stream_forwarder(const stream_forwarder&) = delete;
  stream_forwarder& operator=(const stream_forwarder&) = delete;

 private:
  engine_search::hooks search_hooks() {
    engine_search::hooks out;
    out.found = [this](const found_engines& in) { on_found(in); };
    out.refused = [this](const char* reason,
                         std::optional<duration> retry_after) {
      if (replacing_) {
        wait_for_silent_engine();
        return;
      }
      refusal_reason_ = reason;
      retry_after_ = retry_after;
      respond_or_refuse(decide_without_retry(report_, progress()));
    };
    out.add_to_trail = [this](const std::string& decision) {
      add_to_trail(decision);
    };
    return out;
  }

  void begin() override {
    if (resumes()) {
      find_version();
      return;
    }
    const duration objective = milliseconds(route().objective_ms);
    search(placement_class::fresh,
           request().received + objective - first_event_margin);
  }

  // Returns whether the caller resumes a stream that an earlier attempt began.
  bool resumes() const {
    const caller_request& caller = request().caller;
    return may_be_resumed() &&
           (caller.last_event.has_value() || !caller.resumes.empty());
  }

  bool may_be_resumed() const {
    return route().repeat != repeatability::at_most_once;
  }

  std::uint64_t hash_of(const std::string& attempt) {
    return hash_stream(context().hash, request().resolved.organisation(),
                       attempt);
  }

  void find_version() {
    const std::string& began_as = request().caller.resumes;
    add_to_trail("resumes");
    start_timer(silence_timer_, max_version_wait, [this] {
      add_to_trail("version_not_found_in_time");
      refuse_not_run("version_not_found_in_time", std::nullopt);
    });
    version_request_ = context().versions.find(
        {hash_of(began_as), !began_as.empty(), service().name},
        [this](const std::string& version) { on_version(version); });
  }

  void on_version(const std::string& version) {
    version_request_.reset();
    stop_silence_timer();
    add_to_trail(fmt::format("began_at({})", version));
    if (version.empty()) {
      end_resumed("stream_version_unknown");
      return;
    }
    version_ = version;
    version_stored_ = true;
    search(placement_class::under_way,
           request().received + first_event_patience() - resume_read_time);
  }

  // How long the caller waits for the first event before it gives up.
  duration first_event_patience() const {
    return std::max<duration>(
        {min_patience, milliseconds(patience_objectives * route().objective_ms),
         milliseconds(patience_gap_objectives * route().gap_objective_ms)});
  }

  // Ends a resumed stream that can't go on, now or later, and has not run. A
  // refusal would let the caller come back.
  void end_resumed(const char* reason) {
    refund_allowance(context(), request());
    fail_unknown(status_bad_gateway, reason);
  }

  // Returns the software version that the stream must go on at, or "".
  std::string required_version() const {
    return stream_started_ || resumes() ? version_ : "";
  }

  // Checked before each call that begins the stream or goes on with it. The
  // lists of this gateway and of the leader may differ while a server starts
  // again under its id; then nobody knows its version.
  bool has_required_version(const listed_server& server) {
    const std::string required = required_version();
    const auto known = context().servers.software_version(server.id);
    if ((required.empty() || server.software_version == required) &&
        known.value_or(server.software_version) == server.software_version) {
      return true;
    }
    add_to_trail(fmt::format("other_version({},{})", server.id,
                             known.value_or(server.software_version)));
    log_event(events::other_version_prevented, request().caller.id, required,
              server.id);
    tried_servers_.insert(server.id);
    return false;
  }

  // Events are held until a majority of the replicas has stored the version at
  // which the stream begins, so that it is known when the caller resumes the
  // stream, at any process and after restarts of all.
  void store_version(const std::string& version) {
    if (!may_be_resumed() || required_version() == version) {
      version_stored_ = true;
      return;
    }
    drop_held_events();
    version_ = version;
    version_stored_ = false;
    stream_version record;
    record.stream = hash_of(request().caller.id);
    record.request = request_number_;
    record.number = ++stored_versions_;
    record.service = service().name;
    record.version = version;
    record.lifetime_ms =
        std::chrono::duration_cast<milliseconds>(resumable_time()).count();
    version_request_ = context().versions.store(std::move(record), [this] {
      version_request_.reset();
      version_stored_ = true;
      relay_held_events();
    });
  }

  // How long the caller may resume the stream.
  duration resumable_time() const {
    const auto& deadline = request().caller.deadline;
    return deadline ? std::min<duration>(*deadline + resume_margin,
                                         max_resumable_time)
                    : max_resumable_time;
  }

  void cancel_version_request() {
    if (version_request_) {
      context().versions.cancel(*std::exchange(version_request_, std::nullopt));
    }
  }

  // An attempt of which the caller got nothing leaves the request free to run
  // at any version.
  void drop_held_events() {
    cancel_version_request();
    held_events_.clear();
    held_bytes_ = 0;
    response_held_ = false;
    failure_held_ = false;
  }

  void relay_held_events() {
    if (!held_events_.empty()) {
      add_to_trail("version_stored");
    }
    held_bytes_ = 0;
    memory_.resize(splitter_.buffered_bytes());
    for (const held_event& held : std::exchange(held_events_, {})) {
      if (!relay_event(held.event, held.received)) {
        return;
      }
    }
    if (std::exchange(response_held_, false)) {
      on_response_end();
    } else if (std::exchange(failure_held_, false)) {
      finish_attempt(server_result::failed);
    }
  }

  void stop() override {
    cancel_version_request();
    end_call(call_, server_result::abandoned);
    cancel_replacement();
    search_->cancel();
    release_export();
    stop_silence_timer();
  }

  // The prompt is only prefilled once a decode engine has reserved memory for
  // it. Further attempts prefill at the decode engine: one request to the
  // service instead of two.
  void search(placement_class turn, time_point until) {
    search_->start(make_need(turn, until));
  }

  engine_need make_need(placement_class turn, time_point until) {
    engine_need need;
    need.ask.service = service().name;
    need.profile = service().engine.value_or(engine_profile{});
    need.ask.organisation = request().resolved.organisation();
    const std::vector<prompt_part>& prompt = request().caller.prompt;
    need.ask.prompt = prompt.empty() ? "" : bounded_id(prompt.back().id);
    need.ask.turn = turn;
    need.ask.prompt_tokens = prompt_tokens_ + generated_tokens();
    need.ask.output_tokens =
        std::max(expected_output_tokens_ - generated_tokens(),
                 expected_output_tokens_ / exceeded_output_divisor);
    // If the prefill engine refuses the prompt, the next request counts as a
    // retry, so the budget must have one.
    need.ask.split =
        attempts_ == 0 && !last_event_id_ && export_.handle.empty() &&
        context().budget.can_take(service().name, context().processes(),
                                  runtime_clock::now());
    need.ask.gap_us = to_microseconds(milliseconds(route().gap_objective_ms));
    need.ask.excluded = tried_servers_;
    need.ask.software_version = required_version();
    need.ask.urgency = request().resolved.fleet_urgency();
    need.until = std::min(until, request().deadline);
    return need;
  }

  // Tokens in the events already sent to the caller.
  std::int64_t generated_tokens() const {
    const auto& engine = service().engine;
    return engine ? events_ * engine->tokens_per_event : 0;
  }

  bool may_send(const listed_server& server) {
    return context().servers.may_send(server.id, runtime_clock::now());
  }

  // The engine asked for a back-off, or its failure domain was evacuated, after
  // it had been chosen.
  void search_again(const listed_server& refused_by) {
    if (context().servers.is_evacuated(refused_by.id)) {
      log_event(events::evacuated_server_passed_over, refused_by.id,
                "generation");
      // A leader that does not know the set yet would choose it again.
      tried_servers_.insert(refused_by.id);
    }
    add_to_trail(fmt::format("spared({})", refused_by.id));
    search(placement_class::under_way, runtime_clock::now() + max_resume_wait);
  }

  // Ends the request if a part of its prompt has been quarantined. Called
  // before each call that carries the prompt.
  bool end_if_quarantined() {
    const auto refusal = find_quarantine(context(), request());
    if (!refusal) {
      return false;
    }
    const request_progress at = progress();
    const bool not_run = at.possible_executions == 0 && !at.may_be_running;
    stop();
    if (stream_started_) {
      finish(status_bad_gateway, refusal->reason, false);
    } else if (not_run) {
      refuse_not_run(refusal->reason, refusal->left);
    } else {
      fail_unknown(status_bad_gateway, refusal->reason);
    }
    return true;
  }

  // An answer was lost with its engine. Only one that had just begun says
  // something about its prompt.
  void record_end(const listed_server& server, std::int64_t events) {
    constexpr std::int64_t max_begun_events = 1;
    if (events <= max_begun_events) {
      context().metrics.add("citronwharf_gateway_begun_answers_lost_total",
                            {{"service", service().name}});
      context().quarantine.record_end(server.id, parts_, runtime_clock::now());
      record_answer_lost(server.id, server.address);
    }
  }

  // Precondition: the engine in use has sent an event.
  void record_sound_answer() {
    if (!std::exchange(sound_answer_recorded_, true)) {
      context().quarantine.record_progress(parts_, pace_started_at_,
                                           runtime_clock::now());
      record_answered(call_.sent_at);
    }
  }

  void on_found(const found_engines& found) {
    if (replacing_) {
      send_replacement(found);
      return;
    }
    if (!has_required_version(found.decode)) {
      search(placement_class::under_way,
             runtime_clock::now() + max_resume_wait);
      return;
    }
    if (!check_attempt(found.decode.id)) {
      end_prevented_attempt();
      return;
    }
    engines_ = found;
    if (found.prefill && export_.handle.empty()) {
      start_prefill(*found.prefill);
    } else {
      start_decode();
    }
  }

  // An attempt that is under way may still answer the caller.
  void end_prevented_attempt() {
    if (call_.call == nullptr) {
      respond_or_refuse(attempt_decision::fail_unknown);
    }
  }

  void start_prefill(const listed_server& server) {
    if (end_if_quarantined()) {
      return;
    }
    if (!may_send(server)) {
      search_again(server);
      return;
    }
    retry_taken_at_ = take_retry();
    if (!retry_taken_at_) {
      start_decode();
      return;
    }
    prefill_server_ = server;
    prefill_started_ = runtime_clock::now();
    add_to_trail(fmt::format("prefill({})", server.id));
    server_call call;
    call.stage = generation_stage::prefill;
    http_call_handlers handlers = collect_response(
        [this](absl::StatusOr<http_response> response, bool sent) {
          on_prefill_response(std::move(response), sent);
        });
    end_call(call_, server_result::abandoned);
    call_ = start_call(server, call, std::move(handlers));
    const prefill_limit limit =
        limit_prefill(engines_.first_event, engines_.late_first_event,
                      request().received + first_event_patience() -
                          resume_read_time - prefill_started_);
    start_timer(silence_timer_, limit.span,
                [this, limit] { give_up_prefill(limit); });
  }

  // The decode engine prefills the prompt itself. If the engine may just be
  // slow, it isn't reported as silent.
  void give_up_prefill(const prefill_limit& limit) {
    add_to_trail(limit.is_fault ? "prefill_silent" : "prefill_late");
    if (limit.is_fault) {
      search_->observe(prefill_server_.id, engine_signal::silent);
    }
    end_call(call_, limit.is_fault ? server_result::timed_out
                                   : server_result::abandoned);
    start_decode();
  }

  void on_prefill_response(absl::StatusOr<http_response> response, bool sent) {
    stop_silence_timer();
    if (!response.ok()) {
      add_to_trail(fmt::format("prefill_lost({})",
                               std::string(response.status().message())));
      if (sent) {
        record_answer_lost(prefill_server_.id, prefill_server_.address);
      } else {
        record_unsent(context(), prefill_server_.id, response.status());
      }
      search_->observe(prefill_server_.id, sent ? engine_signal::failed
                                                : engine_signal::unreachable);
      end_call(call_,
               sent ? server_result::failed : server_result::unreachable);
      tried_servers_.insert(prefill_server_.id);
      if (!sent) {
        put_back_retry();
      }
      if (!sent || take_prefill_retry()) {
        // Let another engine prefill the prompt.
        search(placement_class::under_way,
               request().received + milliseconds(route().objective_ms));
      } else {
        start_decode();
      }
      return;
    }
    apply_server_headers(context(), prefill_server_.id, response_kind::prompt,
                         prefill_started_, *response);
    if (!is_success(response->status)) {
      add_to_trail(fmt::format("prefill_refused({})", response->status));
      // The engine has no room for another export, which is not a failure.
      context().servers.answers(prefill_server_.id);
      end_call(call_, server_result::abandoned);
      retry_refused_prefill(response->status);
      return;
    }
    end_call(call_, server_result::served);
    // The first prefill that an engine accepts is the first request to the
    // service, not a retry.
    if (!prefill_accepted_) {
      put_back_retry();
    }
    prefill_accepted_ = true;
    auto exported = context().codec.read_prefill(response->body);
    if (!exported.ok()) {
      add_to_trail(fmt::format("prefill_unreadable({})",
                               std::string(exported.status().message())));
      start_decode();
      return;
    }
    export_ = *std::move(exported);
    exported_at_ = runtime_clock::now();
    search_->observe_speed(prefill_server_.id, engine_signal::prefilled,
                           export_.tokens, exported_at_ - prefill_started_);
    cache_server_ = prefill_server_;
    add_to_trail(fmt::format("prefilled({} tokens)", export_.tokens));
    start_decode();
  }

  // Handles a refused prefill, which ran nothing. Tries another prefill engine,
  // because prefilling on a decode engine delays the streams that it serves.
  void retry_refused_prefill(int status) {
    // The engine may repeat the refusal before its response to the decode, with
    // the same request id.
    tried_servers_.insert(prefill_server_.id);
    search_->observe(prefill_server_.id, status == status_unavailable
                                             ? engine_signal::exports_full
                                             : engine_signal::unreachable);
    if (!take_prefill_retry()) {
      start_decode();
      return;
    }
    search(placement_class::under_way,
           request().received + milliseconds(route().objective_ms));
  }

  bool take_prefill_retry() {
    return ++failed_prefills_ <= max_failed_prefills;
  }

  void put_back_retry() {
    if (retry_taken_at_) {
      request_forwarder::put_back_retry(
          *std::exchange(retry_taken_at_, std::nullopt));
    }
  }

  void start_decode() {
    if (end_if_quarantined()) {
      return;
    }
    const listed_server& server = engines_.decode;
    if (!may_send(server)) {
      search_again(server);
      return;
    }
    if (!has_required_version(server)) {
      search(placement_class::under_way,
             runtime_clock::now() + max_resume_wait);
      return;
    }
    if (!begin_attempt(server.id)) {
      end_prevented_attempt();
      return;
    }
    reset_response();
    store_version(server.software_version);
    server_call call;
    if (!export_.handle.empty()) {
      call.kv_source =
          fmt::format("{}/{}", prefill_server_.address, export_.handle);
    } else if (cache_server_.id != server.id) {
      call.cache_source = cache_server_.address;
    }
    add_to_trail(fmt::format("decode({},kv={})", server.id,
                             !export_.handle.empty()      ? prefill_server_.id
                             : !call.cache_source.empty() ? cache_server_.id
                                                          : "own"));
    end_call(call_, server_result::abandoned);
    call_ = start_decode_call(*search_, engines_, call);
    memory_held_ = call_.memory_held;
    start_silence_timer(stream_started_ ? resume_timeout : first_event_timeout);
  }

  // Clears what is known of the response of the previous engine.
  void reset_response() {
    report_ = {};
    head_ = {};
    error_body_.clear();
    splitter_.reset();
    comment_bytes_ = 0;
    memory_.resize(0);
    response_started_ = false;
    events_from_engine_ = 0;
    sound_answer_recorded_ = false;
  }

  // Sends the request to the decode engine that the search has found. `call`
  // says where the KV cache is.
  engine_call start_decode_call(engine_search& by, const found_engines& found,
                                server_call call) {
    if (runtime_clock::now() + hold_margin < found.hold_until) {
      call.hold = by.take_hold();
    }
    call.last_event = last_event_id_;
    engine_call out =
        start_call(found.decode, call, decode_handlers(found.decode.id));
    out.memory_held = !call.hold.empty();
    return out;
  }

  engine_call start_call(const listed_server& server, server_call call,
                         http_call_handlers handlers) {
    pooled_call pooled = call_for_request(server.address);
    if (call.stage == generation_stage::whole) {
      pooled.max_body_bytes = std::nullopt;
    }
    call.organisation = request().resolved.organisation();
    call.instance = server.id;
    call.deadline = server_deadline();
    context().servers.started(server.id, prompt_tokens_, runtime_clock::now());
    return {
        context().pool.start(std::move(pooled),
                             context().codec.make_call(request().caller, call),
                             std::move(handlers)),
        server.id, runtime_clock::now()};
  }

  http_call_handlers decode_handlers(const std::string& server) {
    http_call_handlers out;
    out.on_head = [this, server](const http_response& head) {
      is_replacement(server) ? on_replacement_head(head) : on_head(head);
    };
    out.on_body = [this, server](const std::string& part) {
      is_replacement(server) ? on_replacement_body(part) : on_body(part);
    };
    out.on_done = [this, server] {
      is_replacement(server) ? on_replacement_response() : on_response_end();
    };
    out.on_failure = [this, server](const http_failure& failure) {
      is_replacement(server) ? on_replacement_failure(failure)
                             : on_failure(failure);
    };
    return out;
  }

  void on_failure(const http_failure& failure) {
    add_to_trail(fmt::format("lost({},sent={})",
                             std::string(failure.status.message()),
                             failure.sent));
    report_.sent = report_.sent || failure.sent;
    if (failure.sent) {
      record_end(
          engines_.decode,
          events_from_engine_ + static_cast<std::int64_t>(held_events_.size()));
    } else {
      record_unsent(context(), last_server_, failure.status);
    }
    search_->observe(last_server_, failure.sent ? engine_signal::failed
                                                : engine_signal::unreachable);
    if (!held_events_.empty()) {
      stop_silence_timer();
      failure_held_ = true;
      return;
    }
    finish_attempt(failure.sent ? server_result::failed
                                : server_result::unreachable);
  }

  // Silence only leads to another attempt if the stream may be resumed.
  void start_silence_timer(duration limit) {
    stop_silence_timer();
    if (route().repeat == repeatability::at_most_once) {
      return;
    }
    start_timer(silence_timer_, limit, [this] {
      add_to_trail("silent");
      search_->observe(last_server_, engine_signal::silent);
      replacement_delay_ = initial_replacement_delay;
      seek_replacement();
    });
  }

  void stop_silence_timer() { silence_timer_.cancel(); }

  // A silent engine may go on, so its call is kept until another engine takes
  // the stream over.
  void seek_replacement() {
    attempt_report silent;
    silent.sent = true;
    request_progress after = progress();
    ++after.possible_executions;
    if (decide_after_attempt(silent, after) != attempt_decision::retry ||
        in_doubt()) {
      return;
    }
    if (!context().budget.can_take(service().name, context().processes(),
                                   runtime_clock::now())) {
      add_to_trail("no_budget");
      wait_for_silent_engine();
      return;
    }
    replacing_ = true;
    replacement_search_->start(make_need(
        placement_class::under_way, runtime_clock::now() + max_resume_wait));
  }

  void wait_for_silent_engine() {
    replacing_ = false;
    start_timer(silence_timer_, replacement_delay_,
                [this] { seek_replacement(); });
    replacement_delay_ *= 2;
  }

  void send_replacement(const found_engines& found) {
    const listed_server& server = found.decode;
    const bool quarantined = find_quarantine(context(), request()).has_value();
    const auto retry =
        quarantined || !may_send(server) || !has_required_version(server)
            ? std::optional<time_point>()
            : take_retry();
    if (!retry) {
      replacement_search_->cancel();
      wait_for_silent_engine();
      return;
    }
    replacement_retry_taken_at_ = *retry;
    ++attempts_;
    tried_servers_.insert(server.id);
    replacement_ = found;
    server_call call;
    if (cache_server_.id != server.id && cache_server_.id != last_server_) {
      call.cache_source = cache_server_.address;
    }
    add_to_trail(fmt::format("replacement({})", server.id));
    replacement_call_ = start_decode_call(*replacement_search_, found, call);
    start_timer(silence_timer_, max_parallel_run,
                [this] { replace_silent_engine(); });
  }

  bool is_replacement(const std::string& server) const {
    return replacement_call_.server == server;
  }

  void on_replacement_head(const http_response& head) {
    const server_answer answer = context().codec.read_answer(head);
    if (is_success(answer.status)) {
      if (answer.is_signed) {
        replace_silent_engine();
        on_head(head);
      } else {
        drop_unsigned_replacement(head);
      }
      return;
    }
    // The silent engine's call stays, whatever else comes of this response.
    stop_silence_timer();
    replacement_head_ = head;
  }

  void on_replacement_body(const std::string& part) {
    replacement_head_->body += part;
    if (replacement_head_->body.size() > max_error_bytes) {
      add_to_trail("error without end");
      ++possible_executions_;
      drop_replacement(server_result::failed, engine_signal::failed);
    }
  }

  // The response does not carry the signature of the server.
  void drop_unsigned_replacement(const http_response& head) {
    apply_server_headers(context(), replacement_call_.server,
                         response_kind::request, replacement_call_.sent_at,
                         head);
    add_to_trail("replacement_unsigned");
    ++possible_executions_;
    drop_replacement(server_result::failed, engine_signal::failed);
  }

  // The response is complete, and an error.
  void on_replacement_response() {
    const server_answer answer = apply_server_headers(
        context(), replacement_call_.server, response_kind::request,
        replacement_call_.sent_at, *replacement_head_);
    add_to_trail(fmt::format("replacement_answer({},not_run={})", answer.status,
                             answer.not_run));
    if (answer.status == status_misdirected) {
      context().servers.eject_server(replacement_call_.server,
                                     runtime_clock::now());
    }
    if (answer.not_run) {
      drop_replacement(server_result::refused, engine_signal::full);
      return;
    }
    error_answer_ = replacement_head_;
    ++possible_executions_;
    drop_replacement(server_result::error, engine_signal::failed);
  }

  void replace_silent_engine() {
    add_to_trail("replaced");
    report_.sent = true;
    // Its silence was reported before.
    end_call(call_, server_result::abandoned);
    end_attempt(report_);
    adopt_replacement();
  }

  void on_replacement_failure(const http_failure& failure) {
    add_to_trail(fmt::format("replacement_lost({},sent={})",
                             std::string(failure.status.message()),
                             failure.sent));
    if (!failure.sent) {
      record_unsent(context(), replacement_call_.server, failure.status);
      request_forwarder::put_back_retry(replacement_retry_taken_at_);
      drop_replacement(server_result::unreachable, engine_signal::unreachable);
      return;
    }
    record_end(replacement_.decode, 0);
    ++possible_executions_;
    drop_replacement(server_result::failed, engine_signal::failed);
  }

  void drop_replacement(server_result result, engine_signal signal) {
    replacement_search_->observe(replacement_call_.server, signal);
    end_call(replacement_call_, result);
    replacement_head_.reset();
    replacement_search_->cancel();
    wait_for_silent_engine();
  }

  void cancel_replacement() {
    if (!std::exchange(replacing_, false)) {
      return;
    }
    if (!replacement_call_.server.empty()) {
      // The engine may have begun to run the request.
      ++possible_executions_;
      end_call(replacement_call_, server_result::abandoned);
      replacement_head_.reset();
    }
    replacement_search_->cancel();
  }

  // A replacement that was sought before the first event may be of any version.
  void cancel_replacement_of_other_version() {
    if (replacing_ && (replacement_call_.server.empty() ||
                       replacement_.decode.software_version != version_)) {
      cancel_replacement();
      wait_for_silent_engine();
    }
  }

  // Makes the search for a replacement the one that serves the stream.
  void adopt_replacement_search() {
    replacing_ = false;
    std::swap(search_, replacement_search_);
    replacement_search_->cancel();
  }

  // Precondition: the call to the previous engine has ended.
  void adopt_replacement() {
    release_export();
    adopt_replacement_search();
    engines_ = std::move(replacement_);
    call_ = std::exchange(replacement_call_, {});
    memory_held_ = call_.memory_held;
    adopt_attempt(call_.server);
    reset_response();
    store_version(engines_.decode.software_version);
    start_silence_timer(stream_started_ ? resume_timeout : first_event_timeout);
    if (replacement_head_) {
      // The start of an error response.
      http_response begun = *std::exchange(replacement_head_, std::nullopt);
      error_body_ = std::exchange(begun.body, "");
      on_head(begun);
    }
  }

  void on_head(const http_response& head) {
    head_ = head;
    report_.sent = true;
    const server_answer answer = apply_server_headers(
        context(), last_server_, response_kind::request, call_.sent_at, head);
    if (is_success(answer.status) && !answer.is_signed) {
      add_to_trail("unsigned");
      finish_attempt(server_result::failed);
      return;
    }
    // A success without a body, such as 204, is delivered as it is. It can't
    // complete a stream that has begun.
    if (is_success(answer.status) &&
        (stream_started_ || !has_no_body(answer.status))) {
      context().servers.answers(last_server_);
      search_->observe(last_server_, engine_signal::answers);
      response_started_ = true;
      if (cache_server_.id.empty()) {
        cache_server_ = engines_.decode;
      }
      // The engine has completed any KV cache fetch.
      export_ = {};
    }
  }

  void on_body(const std::string& part) {
    if (!response_started_) {
      error_body_ += part;
      if (error_body_.size() > max_error_bytes) {
        abort_stream("error without end");
      } else if (!memory_.resize(error_body_.size())) {
        abort_stream("no_memory_for_response");
      }
      return;
    }
    const auto events = splitter_.feed(part);
    bool goes_on = false;
    for (const stream_event& event : events) {
      if (!version_stored_) {
        held_bytes_ += sizeof(held_event) + event.bytes.size();
        held_events_.push_back({event, runtime_clock::now()});
      } else if (!relay_event(event, runtime_clock::now())) {
        return;
      }
      goes_on = goes_on || !event.is_comment;
      comment_bytes_ =
          event.is_comment ? comment_bytes_ + event.bytes.size() : 0;
    }
    if (splitter_.partial_event_too_large()) {
      abort_stream("event without end");
      return;
    }
    if (comment_bytes_ > max_comment_bytes) {
      abort_stream("comments without end");
      return;
    }
    if (!memory_.resize(splitter_.buffered_bytes() + held_bytes_)) {
      abort_stream("no_memory_for_response");
      return;
    }
    // Only whole events show that an engine goes on, because a stalled one may
    // still send single bytes or comments.
    if (goes_on) {
      search_->end_silence(last_server_);
      if (replacing_) {
        add_to_trail("goes_on");
      }
      cancel_replacement();
      start_silence_timer(gap_timeout());
    }
  }

  void abort_stream(const char* reason) {
    add_to_trail(reason);
    report_.sent = true;
    search_->observe(last_server_, engine_signal::failed);
    finish_attempt(server_result::failed);
  }

  duration gap_timeout() const {
    return std::max<duration>(
        min_gap_timeout,
        milliseconds(gap_timeout_objectives * route().gap_objective_ms));
  }

  // Returns why an event does not continue the caller's stream, or "".
  std::string find_fault(const stream_event& event) const {
    if (!event.well_formed) {
      return "malformed_event";
    }
    if (event.is_comment || !last_event_id_) {
      return "";
    }
    // Only an event with an id shows that the engine resumes the stream.
    if (!event.id && events_from_engine_ == 0) {
      return fmt::format("event_without_id(after {})", *last_event_id_);
    }
    if (event.id && *event.id <= *last_event_id_) {
      return fmt::format("event_out_of_order({} after {})", *event.id,
                         *last_event_id_);
    }
    return "";
  }

  // Returns whether the stream continues. The speed of the engine follows from
  // when its events were received, however long they were held.
  bool relay_event(const stream_event& event, time_point now) {
    const std::string fault = find_fault(event);
    if (!fault.empty()) {
      add_to_trail(fault);
      finish_attempt(server_result::failed);
      return false;
    }
    if (!stream_started_) {
      stream_started_ = true;
      stream_status_ = head_.status;
      add_to_trail("first_event");
      cancel_replacement_of_other_version();
      request().exchange->start_stream(context().codec.make_answer(head_));
    }
    request().exchange->write(event.bytes);
    if (event.is_comment) {
      return true;
    }
    if (events_++ == 0) {
      first_event_at_ = now;
    } else {
      max_gap_ = std::max(max_gap_, now - last_event_at_);
    }
    last_event_at_ = now;
    measure_pace(now);
    if (events_from_engine_ >= min_sound_events &&
        now - pace_started_at_ >= min_sound_time) {
      record_sound_answer();
    }
    if (event.id) {
      last_event_id_ = event.id;
    }
    return true;
  }

  // Measures the speed of an engine over its first events.
  void measure_pace(time_point now) {
    if (events_from_engine_ == 0) {
      pace_started_at_ = now;
    }
    if (++events_from_engine_ == pace_sample_events + 1) {
      const std::int64_t per_event =
          service().engine ? service().engine->tokens_per_event : 1;
      search_->observe_speed(last_server_, engine_signal::paced,
                             pace_sample_events * per_event,
                             now - pace_started_at_);
    }
  }

  // Precondition: the response of the current engine is complete. An engine
  // that resumes a stream must send an event before it may end the stream: one
  // that closes the connection at once looks the same as one with nothing left
  // to send.
  bool is_stream_complete() const {
    return events_from_engine_ > 0 && !splitter_.has_partial_event();
  }

  void on_response_end() {
    stop_silence_timer();
    if (response_started_) {
      if (!held_events_.empty()) {
        response_held_ = true;
        return;
      }
      if (!is_stream_complete()) {
        add_to_trail(events_from_engine_ == 0 ? "ended_without_event"
                                              : "ended_in_event");
        record_end(engines_.decode, events_from_engine_);
        finish_attempt(server_result::failed);
        return;
      }
      record_sound_answer();
      end_call(call_, server_result::served);
      cancel_replacement();
      search_->end(generated_tokens(), last_event_at_ - first_event_at_);
      request().exchange->finish();
      add_to_trail(fmt::format("events({},max_gap_ms={})", events_,
                               max_gap_.count() / 1000));
      finish(stream_status_, "answered", true);
      return;
    }
    const server_answer answer = context().codec.read_answer(head_);
    const server_result result = record_response(answer, report_);
    if (result != server_result::refused) {
      record_answered(call_.sent_at);
    }
    if (result == server_result::error) {
      context().health.error(last_server_);
      search_->observe(last_server_, engine_signal::failed);
    }
    finish_attempt(result);
  }

  void end_call(engine_call& which, server_result result) {
    const engine_call ended = std::exchange(which, {});
    if (!ended.server.empty()) {
      report_result(ended.server, prompt_tokens_, result);
    }
  }

  // Ends an attempt at a decode engine that did not complete the stream.
  void finish_attempt(server_result result) {
    stop_silence_timer();
    drop_held_events();
    end_call(call_, result);
    end_attempt(report_);
    if (report_.sent && !report_.not_run) {
      abandon_export();
    } else if (!is_export_usable()) {
      release_export();
    }
    if (report_.not_run) {
      report_refusal();
    }
    if (!replacement_call_.server.empty()) {
      if (report_.answered && !report_.not_run) {
        error_answer_ = head_;
        error_answer_->body = std::move(error_body_);
      }
      adopt_replacement();
      return;
    }
    attempt_decision next = decide_after_attempt(report_, progress());
    if (next == attempt_decision::retry && in_doubt()) {
      add_to_trail("prompt_in_doubt");
      next = decide_without_retry(report_, progress());
    }
    if (next == attempt_decision::retry) {
      if (!report_.sent || take_retry()) {
        if (replacing_) {
          adopt_replacement_search();
        } else {
          search(placement_class::under_way,
                 runtime_clock::now() + max_resume_wait);
        }
        return;
      }
      next = decide_without_retry(report_, progress());
    }
    respond_or_refuse(next);
  }

  // An engine that may have run the request may also have fetched the KV cache.
  void abandon_export() {
    if (!export_.handle.empty()) {
      cache_server_ = engines_.decode;
    }
    export_ = {};
  }

  // An engine that holds memory for the request only refuses it if the KV cache
  // is gone, unless it was ordered to switch its stage in the meantime.
  void report_refusal() {
    const bool switches =
        context().servers.is_switching(last_server_, runtime_clock::now());
    if (memory_held_ && !switches && !prefill_server_.id.empty() &&
        head_.status == status_unavailable) {
      search_->observe(prefill_server_.id, engine_signal::export_gone);
    } else {
      search_->observe(last_server_, engine_signal::full);
    }
  }

  bool is_export_usable() const {
    const auto& engine = service().engine;
    return !export_.handle.empty() && engine &&
           runtime_clock::now() - exported_at_ + min_export_time_left <
               milliseconds(engine->export_lifetime_ms);
  }

  void release_export() {
    if (export_.handle.empty()) {
      return;
    }
    // The engine frees an unused export when it expires, so a lost call is
    // harmless, and one that would use up the engine's limit is not made. The
    // pool keeps the call alive until it ends.
    if (!context().limits.rate(prefill_server_.id, runtime_clock::now())) {
      send_detached(context(), prefill_server_,
                    context().codec.drop_prefill(export_.handle));
    }
    export_ = {};
  }

  void respond_or_refuse(attempt_decision next) {
    cancel_replacement();
    search_->cancel();
    release_export();
    if (stream_started_) {
      // The caller must be able to detect that the stream is incomplete.
      finish(status_bad_gateway, "stream_broke_off", false);
      return;
    }
    switch (next) {
      case attempt_decision::deliver: {
        http_response response = head_;
        response.body = std::move(error_body_);
        deliver(std::move(response), "answered");
        break;
      }
      case attempt_decision::refuse_not_run:
        if (resumes() &&
            !context().servers.has_version(service().name, version_)) {
          // The stream can't go on later either.
          end_resumed("software_version_left");
          break;
        }
        refuse_not_run(attempts_ > 0 ? "servers_refused" : refusal_reason_,
                       retry_after_);
        break;
      case attempt_decision::retry:
      case attempt_decision::fail_unknown:
        if (error_answer_) {
          deliver(*std::move(error_answer_), "answered");
        } else {
          fail_unknown(status_bad_gateway, "outcome_unknown");
        }
        break;
    }
  }

  void on_deadline() override {
    if (stream_started_) {
      add_to_trail(deadline_reason());
      stop();
      finish(status_bad_gateway, deadline_reason(), false);
      return;
    }
    request_forwarder::on_deadline();
  }

  runtime_timer silence_timer_;
  // Of the engine that began the stream; "" before an engine was chosen.
  std::string version_;
  bool version_stored_ = false;  // or known to all without that
  std::int64_t stored_versions_ = 0;
  std::uint64_t request_number_ = context().random();
  std::optional<std::uint64_t> version_request_;
  std::vector<held_event> held_events_;  // until the version is stored
  std::size_t held_bytes_ = 0;
  bool response_held_ = false;  // it ends with the held events
  bool failure_held_ = false;   // it breaks off after them
  // Its lease is that of the engine in use.
  std::unique_ptr<engine_search> search_;
  std::unique_ptr<engine_search> replacement_search_;
  bool replacing_ = false;  // replacement_search_ is running
  duration replacement_delay_ = initial_replacement_delay;
  found_engines engines_;
  std::string refusal_reason_ = "no_server";  // why the last search failed
  std::optional<duration> retry_after_;
  engine_call call_;
  // To an engine that has not answered yet, while the one in use is silent.
  engine_call replacement_call_;
  found_engines replacement_;
  time_point replacement_retry_taken_at_{};
  // Of a response that is no stream, with the body so far.
  std::optional<http_response> replacement_head_;
  // A complete error response, while another engine was asked.
  std::optional<http_response> error_answer_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t expected_output_tokens_ = 0;
  listed_server prefill_server_;
  time_point prefill_started_{};
  int failed_prefills_ = 0;
  bool prefill_accepted_ = false;
  std::optional<time_point> retry_taken_at_;  // for the current prefill
  exported_prefill export_;                   // empty handle: none
  time_point exported_at_{};
  listed_server cache_server_;  // has the prompt cached; empty id: none
  bool memory_held_ = false;    // for the current attempt
  attempt_report report_;
  http_response head_;
  std::string error_body_;
  event_splitter splitter_;
  std::size_t comment_bytes_ = 0;  // since the last event
  memory_reservation memory_;      // for incomplete events and error bodies
  bool response_started_ = false;  // the current server sends a stream
  bool stream_started_ = false;    // to the caller
  int stream_status_ = 0;          // that the caller got
  std::int64_t events_ = 0;
  time_point first_event_at_{};
  time_point last_event_at_{};
  duration max_gap_{};                   // between events
  std::int64_t events_from_engine_ = 0;  // from the current engine
  time_point pace_started_at_{};
  bool sound_answer_recorded_ = false;  // of the current engine
  std::vector<std::string> parts_;      // of the prompt, that others may share
  std::optional<std::int64_t> last_event_id_;  // last one sent to the caller
};

}  // namespace

std::unique_ptr<request_forwarder> make_stream_forwarder(
    forward_context& context, admitted_request request) {
  return std::make_unique<stream_forwarder>(context, std::move(request));
}

}  // namespace citronwharf
