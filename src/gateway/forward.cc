#include "gateway/forward.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "gateway/call_without_id.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// Callers honour a Retry-After of up to this share of their remaining time.
constexpr double max_retry_after_share = 1.0 / 3;
// A refused caller is late in any case; the longer it waits, the more likely
// the burst is over and the retry succeeds.
constexpr double min_retry_after_share = 0.1;
// A response sent at the deadline itself would reach the caller too late.
constexpr duration response_margin = milliseconds(30);
// A lost SYN is only retransmitted after a second; trying another server is
// faster.
constexpr duration connect_timeout = milliseconds(150);
// The server may have closed an idle keep-alive connection without the gateway
// knowing. A request that can't be repeated only uses a connection that was
// active recently.
constexpr duration max_idle_not_repeatable = milliseconds(1500);
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_client_closed_request = 499;

std::int64_t to_ms(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

void log_request(forward_context& context, const admitted_request& request,
                 int status, const std::string& reason, std::int64_t attempts,
                 const std::string& server, bool good) {
  const duration elapsed = runtime_clock::now() - request.received;
  const resolution& resolved = request.resolved;
  log_event(good ? events::gateway_request : events::gateway_request_failed,
            request.caller.id, resolved.organisation(), resolved.route_name(),
            resolved.service_name(), status, reason, resolved.version(),
            to_ms(context.document_age()), attempts, server, to_ms(elapsed),
            request.trail);
  const std::string kind = resolved.kind();
  context.metrics.add("citronwharf_gateway_requests_total",
                      {{"kind", kind},
                       {"status", fmt::format("{}", status)},
                       {"reason", reason}});
  context.metrics.observe("citronwharf_gateway_request_seconds",
                          {{"kind", kind}}, to_seconds(elapsed));
}

// Returns what the request may be quarantined by: the shared parts of its
// prompt, and its identity if that is known. The body is only hashed if the
// rest of the identity is known.
std::vector<std::string> quarantine_keys(const forward_context& context,
                                         const admitted_request& request) {
  std::vector<std::string> out = shared_parts(request.caller.prompt);
  const std::string& organisation = request.resolved.organisation();
  if (context.quarantine.knows_requests() &&
      context.quarantine.knows_request(
          identity_prefix(context.hash, request.caller, organisation))) {
    out.push_back(identify_request(context.hash, request.caller, organisation));
  }
  return out;
}

}  // namespace

duration suggest_retry_after(duration wait, duration time_left,
                             std::mt19937_64& random) {
  std::uniform_real_distribution<double> share(min_retry_after_share,
                                               max_retry_after_share);
  const auto spread =
      std::chrono::duration_cast<duration>(time_left * share(random));
  const auto max_wait =
      std::chrono::duration_cast<duration>(time_left * max_retry_after_share);
  return std::max(duration{}, std::min(max_wait, std::max(wait, spread)));
}

void refund_allowance(const forward_context& context,
                      admitted_request& request) {
  if (request.granted.by_leader && request.granted.tokens > 0) {
    const duration elapsed = runtime_clock::now() - request.received;
    request.trail +=
        fmt::format("{}allowance_returned(tokens={})@{}",
                    request.trail.empty() ? "" : " ", request.granted.tokens,
                    std::chrono::duration_cast<milliseconds>(elapsed).count());
  }
  context.refund(request.resolved.organisation(), request.granted);
}

std::optional<quarantine_refusal> find_quarantine(forward_context& context,
                                                  admitted_request& request) {
  const time_point now = runtime_clock::now();
  const auto found = context.quarantine.find_quarantined(
      quarantine_keys(context, request), now);
  if (!found) {
    return std::nullopt;
  }
  request.trail += fmt::format(
      "{}quarantined({},left_ms={})@{}", request.trail.empty() ? "" : " ",
      found->part, to_ms(found->left), to_ms(now - request.received));
  context.metrics.add("citronwharf_gateway_requests_quarantined_total",
                      {{"service", request.resolved.service_name()}});
  return quarantine_refusal{is_request_identity(found->part)
                                ? "request_quarantined"
                                : "prompt_quarantined",
                            found->left};
}

void send_refusal(forward_context& context, admitted_request& request,
                  int status, const std::string& reason,
                  std::optional<duration> retry_after) {
  request.exchange->respond(
      context.codec.make_refusal(status, reason, retry_after));
  log_request(context, request, status, reason, 0, "", false);
  request.exchange.reset();
}

server_answer apply_server_headers(forward_context& context,
                                   const std::string& server,
                                   response_kind kind, time_point sent_at,
                                   const http_response& head) {
  server_answer answer = context.codec.read_answer(head);
  const time_point now = runtime_clock::now();
  if (answer.load) {
    context.servers.update_load(server, *answer.load, now);
  }
  if (answer.leaving) {
    context.health.leaving(server);
  }
  if (answer.retry_after) {
    context.servers.start_backoff(server, *answer.retry_after, now);
    log_event(events::server_spared, server, to_ms(*answer.retry_after));
  }
  // A limit that can't be read doesn't say that there is none.
  if (answer.limit.has_value() == answer.names_limit) {
    context.health.limit(server, kind, answer.limit, sent_at);
  }
  context.health.answered(server, answer.cold_left, sent_at);
  if (!answer.ignored_header.empty()) {
    log_event(events::server_header_ignored, server, answer.ignored_header);
  }
  return answer;
}

void record_unsent(forward_context& context, const std::string& server,
                   const absl::Status& status) {
  // A connection that was not set up in time has another code.
  if (absl::IsUnavailable(status)) {
    context.health.refused_connection(server);
  }
}

request_forwarder::request_forwarder(forward_context& context,
                                     admitted_request request)
    : context_(context),
      request_(std::move(request)),
      deadline_timer_(context.loop) {}

request_forwarder::~request_forwarder() {
  *alive_ = false;
}

void request_forwarder::start(std::function<void()> ended) {
  on_ended_ = std::move(ended);
  if (!request_.exchange->open()) {
    // The caller disconnected while the request waited for its allowance or for
    // a configuration.
    refund_allowance(context_, request_);
    on_caller_disconnected();
    return;
  }
  request_.exchange->on_closed([this, alive = alive_] {
    if (*alive) {
      on_caller_disconnected();
    }
  });
  start_timer(deadline_timer_, time_left(), [this] { on_deadline(); });
  begin();
}

void request_forwarder::end_by(time_point end) {
  if (finished_ || request_.deadline <= end) {
    return;
  }
  request_.deadline = end;
  ends_with_process_ = true;
  start_timer(deadline_timer_, time_left(), [this] { on_deadline(); });
}

void request_forwarder::start_timer(runtime_timer& timer, duration span,
                                    std::function<void()> expired) {
  timer.expires_after(std::max(duration{}, span));
  when_expired(timer, alive_, std::move(expired));
}

void request_forwarder::add_to_trail(const std::string& decision) {
  request_.trail +=
      fmt::format("{}{}@{}", request_.trail.empty() ? "" : " ", decision,
                  to_ms(runtime_clock::now() - request_.received));
}

duration request_forwarder::time_left() const {
  return request_.deadline - response_margin - runtime_clock::now();
}

milliseconds request_forwarder::server_deadline() const {
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(
                      request_.deadline - runtime_clock::now()));
}

pooled_call request_forwarder::make_pooled_call(const forward_context& context,
                                                const std::string& address) {
  pooled_call out = make_call_without_id(context.codec, address);
  out.connect_timeout = connect_timeout;
  return out;
}

void request_forwarder::send_detached(forward_context& context,
                                      const listed_server& server,
                                      const http_request& request) {
  if (context.servers.may_send(server.id, runtime_clock::now())) {
    context.pool.run_detached(make_pooled_call(context, server.address),
                              request);
  }
}

pooled_call request_forwarder::call_for_request(
    const std::string& address) const {
  pooled_call out = make_pooled_call(context_, address);
  out.id = request_.caller.id;
  if (route().repeat == repeatability::at_most_once) {
    out.max_idle = max_idle_not_repeatable;
  }
  // A late response to an earlier request may arrive on the connection before
  // the response to this request.
  out.match = [id = request_.caller.id, service = service().name,
               &context = context_](const http_response& head) {
    const std::string echoed_id = context.codec.read_answer(head).request_id;
    if (!echoed_id.empty()) {
      return echoed_id == id ? response_match::this_call
                             : response_match::other_call;
    }
    context.metrics.add("citronwharf_gateway_unidentified_answers_total",
                        {{"service", service}});
    return response_match::unidentified;
  };
  out.needs_identified_connection = true;
  return out;
}

bool request_forwarder::check_attempt(const std::string& server) {
  if (may_start_attempt(progress())) {
    return true;
  }
  add_to_trail(fmt::format("second_attempt_prevented({})", server));
  log_event(events::second_attempt_prevented, request_.caller.id, last_server_,
            server);
  context_.metrics.add("citronwharf_gateway_second_attempts_prevented_total",
                       {{"service", service().name}});
  return false;
}

bool request_forwarder::begin_attempt(const std::string& server) {
  if (!check_attempt(server)) {
    return false;
  }
  ++attempts_;
  may_be_running_ = true;
  last_server_ = server;
  tried_servers_.insert(server);
  return true;
}

void request_forwarder::adopt_attempt(const std::string& server) {
  may_be_running_ = true;
  last_server_ = server;
}

void request_forwarder::end_attempt(const attempt_report& report) {
  may_be_running_ = false;
  if (report.sent && !report.not_run) {
    ++possible_executions_;
  }
}

server_result request_forwarder::record_response(const server_answer& answer,
                                                 attempt_report& report) {
  add_to_trail(
      fmt::format("answer({},not_run={})", answer.status, answer.not_run));
  report.sent = true;
  report.answered = true;
  report.not_run = answer.not_run;
  report.status = answer.status;
  if (answer.status == status_misdirected) {
    context_.servers.eject_server(last_server_, runtime_clock::now());
  }
  if (answer.not_run) {
    return server_result::refused;
  }
  constexpr int first_server_error = 500;
  return answer.status >= first_server_error ? server_result::error
                                             : server_result::served;
}

void request_forwarder::report_result(const std::string& server,
                                      std::int64_t tokens,
                                      server_result result) {
  switch (result) {
    case server_result::served:
      context_.health.good(server);
      break;
    case server_result::refused:
      context_.health.refused(server);
      break;
    case server_result::failed:
    case server_result::unreachable:
    case server_result::timed_out:
      context_.health.lost(server);
      break;
    case server_result::error:
    case server_result::abandoned:
      break;
  }
  log_ejection(server, context_.servers.ended(server, tokens, result,
                                              runtime_clock::now()));
}

void request_forwarder::report_silence(const std::string& server) {
  context_.health.lost(server);
  log_ejection(server, context_.servers.silent(server, runtime_clock::now()));
}

void request_forwarder::log_ejection(const std::string& server,
                                     std::optional<duration> span) {
  if (span) {
    log_event(events::server_ejected, server, to_ms(*span), request_.caller.id);
  }
}

void request_forwarder::record_answer_lost(const std::string& server,
                                           const std::string& address) {
  context_.end_check.answer_lost(
      server, address,
      identify_request(context_.hash, request_.caller,
                       request_.resolved.organisation()));
}

void request_forwarder::record_answered(time_point sent_at) {
  for (const std::string& key : quarantine_keys(context_, request_)) {
    if (is_request_identity(key)) {
      context_.quarantine.record_answer(key, sent_at, runtime_clock::now());
    }
  }
}

bool request_forwarder::in_doubt() {
  return possible_executions_ > 0 &&
         context_.quarantine.in_doubt(quarantine_keys(context_, request_));
}

std::optional<time_point> request_forwarder::take_retry() {
  const std::string& to = service().name;
  const std::size_t processes = context_.processes();
  const time_point now = runtime_clock::now();
  const bool taken = context_.budget.take(to, processes, now);
  count_retry(taken ? "taken" : "refused");
  if (!taken) {
    add_to_trail(fmt::format("no_budget(processes={})", processes));
    return std::nullopt;
  }
  return now;
}

void request_forwarder::put_back_retry(time_point taken) {
  context_.budget.put_back(service().name, taken);
  count_retry("given_back");
}

void request_forwarder::count_retry(const char* outcome) {
  context_.metrics.add("citronwharf_gateway_repeats_total",
                       {{"service", service().name}, {"outcome", outcome}});
}

request_progress request_forwarder::progress() const {
  request_progress out;
  out.repeat = route().repeat;
  out.max_servers = route().max_servers;
  out.possible_executions = possible_executions_;
  out.attempts = attempts_;
  out.may_be_running = may_be_running_;
  out.time_left = time_left();
  return out;
}

void request_forwarder::on_deadline() {
  add_to_trail(deadline_reason());
  const bool may_have_run = possible_executions_ > 0 || may_be_running_;
  stop();
  if (!may_have_run) {
    refuse_not_run(deadline_reason());
  } else {
    fail_unknown(status_gateway_timeout, deadline_reason());
  }
}

void request_forwarder::on_caller_disconnected() {
  if (finished_) {
    return;
  }
  add_to_trail("caller_left");
  stop();
  finish(status_client_closed_request, "caller_left", false);
}

void request_forwarder::refuse_not_run(const std::string& reason,
                                       std::optional<duration> wait) {
  if (finished_) {
    return;
  }
  refund_allowance(context_, request_);
  const duration retry_after = suggest_retry_after(
      wait.value_or(duration{}), time_left(), context_.random);
  request_.exchange->respond(
      context_.codec.make_refusal(status_unavailable, reason, retry_after));
  finish(status_unavailable, reason, false);
}

void request_forwarder::fail_unknown(int status, const std::string& reason) {
  if (finished_) {
    return;
  }
  request_.exchange->respond(
      context_.codec.make_refusal(status, reason, std::nullopt));
  finish(status, reason, false);
}

void request_forwarder::deliver(http_response response,
                                const std::string& reason) {
  if (finished_) {
    return;
  }
  const int status = response.status;
  request_.exchange->respond(context_.codec.make_answer(std::move(response)));
  constexpr int first_error = 400;
  finish(status, reason, status < first_error);
}

void request_forwarder::finish(int status, const std::string& reason,
                               bool good) {
  if (finished_) {
    return;
  }
  finished_ = true;
  deadline_timer_.cancel();
  log_request(context_, request_, status, reason, attempts_, last_server_,
              good);
  request_.exchange.reset();
  boost::asio::post(context_.loop, [alive = alive_, this] {
    if (*alive && on_ended_) {
      const auto ended = std::move(on_ended_);
      ended();
    }
  });
}

}  // namespace citronwharf
