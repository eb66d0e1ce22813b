// Forwarding of plain requests. The response is buffered whole before any of it
// is sent to the caller, so that an incomplete one can be replaced by another
// attempt if the request may be repeated.
#include <fmt/format.h>

#include <utility>

#include "gateway/forward.h"

namespace citronwharf {
namespace {

// If a server has not answered after this many times the latency objective it
// may be failing, and an idempotent request is sent to another server.
constexpr int silence_timeout_objectives = 2;
// Limit per response, since responses are buffered whole.
constexpr std::uint64_t max_response_bytes = 4U << 20U;

bool is_success(int status) {
  constexpr int first_success = 200;
  constexpr int first_redirect = 300;
  return status >= first_success && status < first_redirect;
}

class plain_forwarder final : public request_forwarder {
 public:
  plain_forwarder(forward_context& context, admitted_request request)
      : request_forwarder(context, std::move(request)),
        silence_timer_(context.loop) {}
  ~plain_forwarder() override {
    stop();
    discard_response();
  }
  plain_forwarder(const plain_forwarder&) = delete;
  plain_forwarder& operator=(const plain_forwarder&) = delete;

 private:
  void begin() override { start_attempt(); }

  void stop() override {
    end_call(server_result::abandoned);
    silence_timer_.cancel();
  }

  void start_attempt() {
    server_criteria criteria;
    criteria.service = service().name;
    criteria.preferred_domain = context().failure_domain;
    criteria.excluded = tried_servers_;
    const time_point now = runtime_clock::now();
    auto chosen = context().servers.choose(criteria, now);
    if (!chosen) {
      add_to_trail("no_server");
      retry_after_ =
          context().servers.min_backoff_remaining(service().name, now);
      respond_without_retry();
      return;
    }
    send_to(*chosen);
  }

  void send_to(const chosen_server& chosen) {
    const listed_server& server = chosen.server;
    if (!begin_attempt(server.id)) {
      respond_without_retry();
      return;
    }
    report_ = {};
    discard_response();
    add_to_trail(fmt::format("send({},{},in_flight={},load={})", server.id,
                             server.address, chosen.in_flight,
                             chosen.reported_load));
    context().servers.started(server.id, 0, runtime_clock::now());
    request_in_flight_ = true;
    server_call call;
    call.organisation = request().resolved.organisation();
    call.instance = server.id;
    call.deadline = server_deadline();
    pooled_call pooled = call_for_request(server.address);
    pooled.max_body_bytes = max_response_bytes;
    call_ = context().pool.start(
        std::move(pooled), context().codec.make_call(request().caller, call),
        response_handlers());
    start_silence_timer();
  }

  http_call_handlers response_handlers() {
    http_call_handlers out;
    out.on_head = [this](const http_response& head) { response_ = head; };
    out.on_body = [this](const std::string& part) { buffer_body(part); };
    out.on_done = [this] { on_response(); };
    out.on_failure = [this](const http_failure& failure) {
      add_to_trail(fmt::format("lost({},sent={})",
                               std::string(failure.status.message()),
                               failure.sent));
      report_.sent = failure.sent;
      finish_attempt(failure.sent ? server_result::failed
                                  : server_result::unreachable);
    };
    return out;
  }

  void buffer_body(const std::string& part) {
    if (!context().response_budget.reserve(part.size())) {
      add_to_trail("no_memory_for_response");
      report_.sent = true;
      finish_attempt(server_result::failed);
      return;
    }
    buffered_bytes_ += part.size();
    response_.body += part;
  }

  void discard_response() {
    context().response_budget.release(std::exchange(buffered_bytes_, 0));
    response_ = {};
  }

  void start_silence_timer() {
    const bool may_try_another_server =
        route().repeat == repeatability::idempotent &&
        possible_executions_ + 1 < route().max_servers;
    start_timer(silence_timer_,
                milliseconds(route().objective_ms * silence_timeout_objectives),
                [this, may_try_another_server] {
                  add_to_trail("silent");
                  if (!may_try_another_server) {
                    context().health.lost(last_server_);
                    return;
                  }
                  report_.sent = true;
                  call_.reset();
                  finish_attempt(server_result::timed_out);
                });
  }

  void on_response() {
    const server_answer answer =
        apply_server_headers(context(), last_server_, response_);
    if (is_success(answer.status) && !answer.is_signed) {
      // The response does not carry the signature of the server.
      add_to_trail("unsigned");
      report_.sent = true;
      finish_attempt(server_result::failed);
      return;
    }
    const server_result result = record_response(answer, report_);
    if (result == server_result::error) {
      error_servers_.push_back(last_server_);
    } else if (result == server_result::served) {
      report_server_errors();
    }
    finish_attempt(result);
  }

  void end_call(server_result result) {
    call_.reset();
    if (!request_in_flight_) {
      return;
    }
    request_in_flight_ = false;
    report_result(last_server_, 0, result);
  }

  // A request that failed at one server and succeeded at another was not itself
  // at fault, so the failures are counted against those servers.
  void report_server_errors() {
    for (const std::string& server : error_servers_) {
      context().health.error(server);
    }
    error_servers_.clear();
  }

  void finish_attempt(server_result result) {
    silence_timer_.cancel();
    end_call(result);
    end_attempt(report_);
    attempt_decision next = decide_after_attempt(report_, progress());
    if (next == attempt_decision::retry) {
      // An attempt that reached no server adds no load, so it needs no retry
      // budget.
      if (!report_.sent || take_retry()) {
        start_attempt();
        return;
      }
      next = decide_without_retry(report_, progress());
    }
    respond_or_refuse(next);
  }

  void respond_without_retry() {
    respond_or_refuse(decide_without_retry(report_, progress()));
  }

  void respond_or_refuse(attempt_decision next) {
    constexpr int bad_gateway = 502;
    switch (next) {
      case attempt_decision::deliver:
        if (error_servers_.size() == 1) {
          report_server_errors();
        }
        deliver(std::move(response_), "answered");
        break;
      case attempt_decision::refuse_not_run:
        refuse_not_run(attempts_ == 0 ? "no_server" : "servers_refused",
                       retry_after_);
        break;
      case attempt_decision::retry:
      case attempt_decision::fail_unknown:
        fail_unknown(bad_gateway, "outcome_unknown");
        break;
    }
  }

  runtime_timer silence_timer_;
  std::unique_ptr<http_call> call_;
  bool request_in_flight_ = false;
  std::vector<std::string> error_servers_;  // ids; answered with an error
  std::optional<duration> retry_after_;     // until the end of a back-off
  attempt_report report_;
  http_response response_;
  std::size_t buffered_bytes_ = 0;  // of the response body
};

}  // namespace

std::unique_ptr<request_forwarder> make_plain_forwarder(
    forward_context& context, admitted_request request) {
  return std::make_unique<plain_forwarder>(context, std::move(request));
}

}  // namespace citronwharf
