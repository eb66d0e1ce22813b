#include "gateway/forward.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "observe/event.h"

namespace citronwharf {
namespace {

// Callers honour a Retry-After of up to this share of the time they have left.
constexpr double max_retry_after_share = 1.0 / 3;
// Whoever was refused is late anyway, and is served the more likely the longer
// the burst is over.
constexpr double min_retry_after_share = 0.1;
// A response at the very deadline would reach the caller after it.
constexpr duration answer_margin = milliseconds(30);
// A lost SYN is sent again after a second; another server is nearer than that.
constexpr duration connect_timeout = milliseconds(150);
// A kept connection may have been closed by the server without our knowing. A
// request that can't be repeated takes only one that was used just now.
constexpr duration max_idle_at_most_once = milliseconds(1500);
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_caller_left = 499;

std::int64_t to_ms(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

void log_request(forward_environment& environment,
                 const admitted_request& request, int status,
                 const std::string& reason, std::int64_t sends,
                 const std::string& server, bool good) {
  const duration elapsed = runtime_clock::now() - request.received;
  const resolution& resolved = request.resolved;
  log_event(good ? events::gateway_request : events::gateway_request_failed,
            request.caller.id, resolved.organisation(), resolved.route_name(),
            resolved.service_name(), status, reason, resolved.version(),
            to_ms(environment.document_age()), sends, server, to_ms(elapsed),
            request.trail);
  const std::string kind = resolved.kind();
  environment.metrics.add("citronwharf_gateway_requests_total",
                          {{"kind", kind},
                           {"status", fmt::format("{}", status)},
                           {"reason", reason}});
  environment.metrics.observe("citronwharf_gateway_request_seconds",
                              {{"kind", kind}}, to_seconds(elapsed));
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

void give_back_allowance(const forward_environment& environment,
                         const admitted_request& request) {
  environment.give_back(request.resolved.organisation(), request.granted);
}

void answer_refused(forward_environment& environment, admitted_request& request,
                    int status, const std::string& reason,
                    std::optional<duration> retry_after) {
  request.exchange->respond(
      environment.codec.make_refusal(status, reason, retry_after));
  log_request(environment, request, status, reason, 0, "", false);
  request.exchange.reset();
}

server_answer take_signs(forward_environment& environment,
                         const std::string& server, const http_response& head) {
  server_answer answer = environment.codec.read_answer(head);
  const time_point now = runtime_clock::now();
  if (answer.load) {
    environment.servers.reported(server, *answer.load, now);
  }
  if (answer.leaving) {
    environment.health.leaving(server);
  }
  if (answer.retry_after) {
    environment.servers.spare(server, *answer.retry_after, now);
    log_event(events::server_spared, server, to_ms(*answer.retry_after));
  }
  if (!answer.unreadable.empty()) {
    log_event(events::server_header_ignored, server, answer.unreadable);
  }
  return answer;
}

forward::forward(forward_environment& environment, admitted_request request)
    : environment_(environment),
      request_(std::move(request)),
      deadline_timer_(environment.loop) {}

forward::~forward() {
  *alive_ = false;
}

void forward::start(std::function<void()> ended) {
  ended_ = std::move(ended);
  if (!request_.exchange->open()) {
    // While the request waited for its allowance or a configuration.
    give_back_allowance(environment_, request_);
    on_caller_left();
    return;
  }
  request_.exchange->on_closed([this, alive = alive_] {
    if (*alive) {
      on_caller_left();
    }
  });
  arm(deadline_timer_, time_left(), [this] { on_deadline(); });
  begin();
}

void forward::arm(runtime_timer& timer, duration span,
                  std::function<void()> expired) {
  timer.expires_after(std::max(duration{}, span));
  when_expired(timer, alive_, std::move(expired));
}

void forward::note(const std::string& decision) {
  request_.trail +=
      fmt::format("{}{}@{}", request_.trail.empty() ? "" : " ", decision,
                  to_ms(runtime_clock::now() - request_.received));
}

duration forward::time_left() const {
  return request_.deadline - answer_margin - runtime_clock::now();
}

milliseconds forward::server_deadline() const {
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(
                      request_.deadline - runtime_clock::now()));
}

pooled_call forward::call_to(const forward_environment& environment,
                             const std::string& address) {
  pooled_call out;
  out.address = address;
  out.connect_timeout = connect_timeout;
  // A late second response to a request may stand before the own one.
  out.accepts = [&codec = environment.codec](const http_response& head) {
    return codec.read_answer(head).request_id.empty();
  };
  return out;
}

void forward::tell(forward_environment& environment,
                   const listed_server& server, const http_request& request) {
  if (environment.servers.may_send(server.id, runtime_clock::now())) {
    environment.pool.run_detached(call_to(environment, server.address),
                                  request);
  }
}

pooled_call forward::call_for_request(const std::string& address) const {
  pooled_call out = call_to(environment_, address);
  if (route().repeat == repeatability::at_most_once) {
    out.max_idle = max_idle_at_most_once;
  }
  // A late response to an earlier request may stand before the own one.
  out.accepts = [id = request_.caller.id,
                 &codec = environment_.codec](const http_response& head) {
    const std::string echoed = codec.read_answer(head).request_id;
    return echoed.empty() || id.empty() || echoed == id;
  };
  return out;
}

server_result forward::take_answer(const server_answer& answer,
                                   attempt_report& report) {
  note(fmt::format("answer({},not_run={})", answer.status, answer.not_run));
  report.sent = true;
  report.answered = true;
  report.not_run = answer.not_run;
  report.status = answer.status;
  if (answer.status == status_misdirected) {
    environment_.servers.distrust(last_server_, runtime_clock::now());
  }
  if (answer.not_run) {
    return server_result::refused;
  }
  constexpr int first_server_error = 500;
  return answer.status >= first_server_error ? server_result::error
                                             : server_result::served;
}

void forward::report_end(const std::string& server, std::int64_t tokens,
                         server_result result) {
  switch (result) {
    case server_result::served:
      environment_.health.good(server);
      break;
    case server_result::refused:
      environment_.health.refused(server);
      break;
    case server_result::failed:
    case server_result::unreachable:
    case server_result::timed_out:
      environment_.health.lost(server);
      break;
    case server_result::error:
    case server_result::abandoned:
      break;
  }
  const auto ejected =
      environment_.servers.ended(server, tokens, result, runtime_clock::now());
  if (ejected) {
    log_event(events::server_ejected, server, to_ms(*ejected),
              request_.caller.id);
  }
}

std::optional<time_point> forward::take_repeat() {
  const std::string& to = service().name;
  const std::size_t processes = environment_.processes();
  const time_point now = runtime_clock::now();
  const bool taken = environment_.budget.take(to, processes, now);
  count_repeat(taken ? "taken" : "refused");
  if (!taken) {
    note(fmt::format("no_budget(processes={})", processes));
    return std::nullopt;
  }
  return now;
}

void forward::give_back_repeat(time_point taken) {
  environment_.budget.put_back(service().name, taken);
  count_repeat("given_back");
}

void forward::count_repeat(const char* outcome) {
  environment_.metrics.add("citronwharf_gateway_repeats_total",
                           {{"service", service().name}, {"outcome", outcome}});
}

request_progress forward::progress() const {
  request_progress out;
  out.repeat = route().repeat;
  out.max_servers = route().max_servers;
  out.servers_run = servers_run_;
  out.sends = sends_;
  out.time_left = time_left();
  return out;
}

void forward::on_deadline() {
  note("deadline");
  const bool may_have_run = servers_run_ > 0 || may_be_running_;
  stop();
  if (!may_have_run) {
    refuse_not_run("deadline");
  } else {
    fail_unknown(status_gateway_timeout, "deadline");
  }
}

void forward::on_caller_left() {
  if (finished_) {
    return;
  }
  note("caller_left");
  stop();
  finish(status_caller_left, "caller_left", false);
}

void forward::refuse_not_run(const std::string& reason,
                             std::optional<duration> wait) {
  if (finished_) {
    return;
  }
  give_back_allowance(environment_, request_);
  const duration retry_after = suggest_retry_after(
      wait.value_or(duration{}), time_left(), environment_.random);
  request_.exchange->respond(
      environment_.codec.make_refusal(status_unavailable, reason, retry_after));
  finish(status_unavailable, reason, false);
}

void forward::fail_unknown(int status, const std::string& reason) {
  if (finished_) {
    return;
  }
  request_.exchange->respond(
      environment_.codec.make_refusal(status, reason, std::nullopt));
  finish(status, reason, false);
}

void forward::deliver(http_response response, const std::string& reason) {
  if (finished_) {
    return;
  }
  const int status = response.status;
  request_.exchange->respond(
      environment_.codec.make_answer(std::move(response)));
  constexpr int first_error = 400;
  finish(status, reason, status < first_error);
}

void forward::finish(int status, const std::string& reason, bool good) {
  if (finished_) {
    return;
  }
  finished_ = true;
  boost::system::error_code ignored;
  deadline_timer_.cancel(ignored);
  log_request(environment_, request_, status, reason, sends_, last_server_,
              good);
  request_.exchange.reset();
  boost::asio::post(environment_.loop, [alive = alive_, this] {
    if (*alive && ended_) {
      const auto ended = std::move(ended_);
      ended();
    }
  });
}

}  // namespace citronwharf
