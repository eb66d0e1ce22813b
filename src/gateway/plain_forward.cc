// Forwarding of plain requests. The response is buffered whole before any of it
// is sent to the caller, so that an incomplete one can be replaced by another
// attempt if the request may be repeated. While a server is silent, such a
// request is sent to another one, too; the first good response is delivered.
#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "gateway/forward.h"
#include "net/http_status.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// If a server has not answered after this many times the latency objective it
// may be failing, and an idempotent request is sent to another server, too.
constexpr int silence_timeout_objectives = 2;
// For routes with an objective of next to nothing.
constexpr duration min_silence_timeout = milliseconds(100);
// Share of its latency objective for which a request may wait until a server
// that is at its limit takes it.
constexpr double max_limit_wait_share = 0.25;
// Limit per response, since responses are buffered whole.
constexpr std::uint64_t max_response_bytes = 4U << 20U;

// A response that is buffered whole. Its body counts against the budget until
// it is destroyed.
class buffered_response {
 public:
  explicit buffered_response(response_memory_budget& budget)
      : memory_(budget) {}

  void set_head(const http_response& head) { response_ = head; }
  // Returns false if the budget is exhausted.
  bool append(const std::string& part) {
    if (!memory_.resize(response_.body.size() + part.size())) {
      return false;
    }
    response_.body += part;
    return true;
  }
  const http_response& get() const { return response_; }
  http_response take() { return std::move(response_); }

 private:
  memory_reservation memory_;
  http_response response_;
};

// The request as sent to one server.
struct server_attempt {
  server_attempt(const listed_server& to, time_point now,
                 response_memory_budget& budget)
      : server(to.id), address(to.address), sent_at(now), response(budget) {}

  std::string server;  // id
  std::string address;
  time_point sent_at;
  bool silent = false;
  bool silence_reported = false;  // as a loss
  attempt_report report;
  buffered_response response;
  std::unique_ptr<http_call> call;
};

class plain_forwarder final : public request_forwarder {
 public:
  plain_forwarder(forward_context& context, admitted_request request)
      : request_forwarder(context, std::move(request)),
        silence_timer_(context.loop) {}
  ~plain_forwarder() override { stop(); }
  plain_forwarder(const plain_forwarder&) = delete;
  plain_forwarder& operator=(const plain_forwarder&) = delete;

 private:
  void begin() override { search(false); }

  void stop() override {
    while (!running_.empty()) {
      end_call(*running_.back(), server_result::abandoned);
    }
    silence_timer_.cancel();
    put_back_retry();
  }

  void put_back_retry() {
    if (retry_taken_at_) {
      request_forwarder::put_back_retry(
          *std::exchange(retry_taken_at_, std::nullopt));
    }
  }

  server_criteria make_criteria() {
    server_criteria out;
    out.service = service().name;
    out.preferred_domain = context().failure_domain;
    out.excluded = tried_servers_;
    out.excluded.insert(limited_servers_.begin(), limited_servers_.end());
    return out;
  }

  // Looks for a server and sends the request to it; calls on_no_server() if
  // there is none. An attempt that reached no server adds no load, so the next
  // one takes nothing from the retry budget.
  void search(bool takes_retry) {
    searching_ = true;
    takes_retry_ = takes_retry;
    limited_servers_.clear();
    choose_server();
  }

  void choose_server() {
    const time_point now = runtime_clock::now();
    const auto chosen = context().servers.choose(make_criteria(), now);
    if (!chosen) {
      add_to_trail("no_server");
      retry_after_ = context().servers.min_wait(service().name, now);
      end_search();
      return;
    }
    if (takes_retry_ && !retry_taken_at_) {
      retry_taken_at_ = take_retry();
      if (!retry_taken_at_) {
        end_search();
        return;
      }
    }
    if (context().limits.rate(chosen->server.id, now)) {
      take_server_request(*chosen);
    } else {
      send_found(*chosen);
    }
  }

  // The server takes few requests, which all gateways share. The request waits
  // for its turn only if there is no other server.
  void take_server_request(const chosen_server& chosen) {
    const std::string& server = chosen.server.id;
    limited_servers_.insert(server);
    const bool has_other =
        context()
            .servers.choose(make_criteria(), runtime_clock::now())
            .has_value();
    const duration max_wait = has_other ? duration{} : max_limit_wait();
    if (chosen.limit_wait > max_wait) {
      on_server_limited(server, chosen.limit_wait);
      return;
    }
    context().take_server_requests(
        server, 1, max_wait,
        [this, alive = alive_, chosen](bool granted, duration wait) {
          if (!*alive || finished()) {
            return;
          }
          if (granted && !context().servers.is_evacuated(chosen.server.id)) {
            send_found(chosen);
            return;
          }
          if (granted) {
            log_event(events::evacuated_server_passed_over, chosen.server.id,
                      "request");
            choose_server();
            return;
          }
          context().servers.limit_reached(chosen.server.id, wait,
                                          runtime_clock::now());
          on_server_limited(chosen.server.id, wait);
        });
  }

  void on_server_limited(const std::string& server, duration wait) {
    add_to_trail(fmt::format("limited({},wait_ms={})", server,
                             to_microseconds(wait) / 1000));
    choose_server();
  }

  duration max_limit_wait() const {
    const auto max_wait = std::chrono::duration_cast<duration>(
        milliseconds(route().objective_ms) * max_limit_wait_share);
    const duration elapsed = runtime_clock::now() - request().received;
    return std::max(duration{}, max_wait - elapsed);
  }

  void send_found(const chosen_server& chosen) {
    searching_ = false;
    retry_taken_at_.reset();
    if (!send_to(chosen)) {
      on_no_server();
    }
  }

  void end_search() {
    searching_ = false;
    put_back_retry();
    on_no_server();
  }

  void on_no_server() {
    if (!running_.empty()) {
      search_later();
      return;
    }
    std::unique_ptr<server_attempt> ended = std::move(last_attempt_);
    const attempt_report report = ended ? ended->report : attempt_report{};
    end_without_retry(decide_without_retry(report, progress()),
                      std::move(ended));
  }

  // Returns false if the request must not be sent again, or at all.
  bool send_to(const chosen_server& chosen) {
    const listed_server& server = chosen.server;
    const auto refusal = find_quarantine(context(), request());
    if (refusal) {
      quarantine_reason_ = refusal->reason;
      retry_after_ = refusal->left;
      return false;
    }
    if (!begin_attempt(server.id)) {
      return false;
    }
    add_to_trail(fmt::format("send({},{},in_flight={},load={})", server.id,
                             server.address, chosen.in_flight,
                             chosen.reported_load));
    const time_point now = runtime_clock::now();
    context().servers.started(server.id, 0, now);
    server_call call;
    call.organisation = request().resolved.organisation();
    call.instance = server.id;
    call.deadline = server_deadline();
    pooled_call pooled = call_for_request(server.address);
    pooled.max_body_bytes = max_response_bytes;
    running_.push_back(std::make_unique<server_attempt>(
        server, now, context().response_budget));
    server_attempt& attempt = *running_.back();
    attempt.call = context().pool.start(
        std::move(pooled), context().codec.make_call(request().caller, call),
        response_handlers(attempt));
    start_silence_timer();
    return true;
  }

  // The attempt owns the call, so it outlives the handlers.
  http_call_handlers response_handlers(server_attempt& attempt) {
    http_call_handlers out;
    out.on_head = [&attempt](const http_response& head) {
      attempt.response.set_head(head);
    };
    out.on_body = [this, &attempt](const std::string& part) {
      if (!attempt.response.append(part)) {
        add_to_trail("no_memory_for_response");
        attempt.report.sent = true;
        finish_attempt(attempt, server_result::failed);
      }
    };
    out.on_done = [this, &attempt] { on_response(attempt); };
    out.on_failure = [this, &attempt](const http_failure& failure) {
      add_to_trail(fmt::format("lost({},sent={})",
                               std::string(failure.status.message()),
                               failure.sent));
      attempt.report.sent = failure.sent;
      if (failure.sent) {
        record_answer_lost(attempt.server, attempt.address);
      } else {
        record_unsent(context(), attempt.server, failure.status);
      }
      finish_attempt(attempt, failure.sent ? server_result::failed
                                           : server_result::unreachable);
    };
    return out;
  }

  void start_silence_timer() {
    search_delay_ = std::max<duration>(
        min_silence_timeout,
        milliseconds(route().objective_ms * silence_timeout_objectives));
    start_timer(silence_timer_, search_delay_, [this] { on_silence(); });
  }

  // Each further search for another server waits for twice as long.
  void search_later() {
    search_delay_ *= 2;
    start_timer(silence_timer_, search_delay_, [this] { on_silence(); });
  }

  // A silent server may still answer, so its call is kept while the request is
  // sent to another one.
  void on_silence() {
    const bool may_send = may_send_beside_silent();
    for (const auto& each : running_) {
      if (!std::exchange(each->silent, true)) {
        add_to_trail("silent");
        if (may_send) {
          each->silence_reported = true;
          report_silence(each->server);
        } else {
          context().health.lost(each->server);
        }
      }
    }
    if (may_send && !searching_ && !in_doubt()) {
      search(true);
    }
  }

  bool may_send_beside_silent() const {
    attempt_report silent;
    silent.sent = true;
    request_progress after = progress();
    after.possible_executions += static_cast<std::int64_t>(running_.size());
    return decide_after_attempt(silent, after) == attempt_decision::retry;
  }

  void on_response(server_attempt& attempt) {
    const http_response& response = attempt.response.get();
    const server_answer answer =
        apply_server_headers(context(), attempt.server, response_kind::request,
                             attempt.sent_at, response);
    if (is_success(answer.status) && !answer.is_signed) {
      // The response does not carry the signature of the server.
      add_to_trail("unsigned");
      attempt.report.sent = true;
      finish_attempt(attempt, server_result::failed);
      return;
    }
    adopt_attempt(attempt.server);
    const server_result result = record_response(answer, attempt.report);
    if (result != server_result::refused) {
      record_answered(attempt.sent_at);
    }
    if (result == server_result::error) {
      error_servers_.push_back(attempt.server);
    } else if (result == server_result::served) {
      report_server_errors();
    }
    finish_attempt(attempt, result);
  }

  // Ends the call of an attempt and removes it from those under way.
  std::unique_ptr<server_attempt> end_call(server_attempt& attempt,
                                           server_result result) {
    const auto at =
        std::find_if(running_.begin(), running_.end(),
                     [&](const auto& each) { return each.get() == &attempt; });
    std::unique_ptr<server_attempt> ended = std::move(*at);
    running_.erase(at);
    ended->call.reset();
    const bool lost =
        result == server_result::failed || result == server_result::unreachable;
    report_result(
        ended->server, 0,
        ended->silence_reported && lost ? server_result::abandoned : result);
    return ended;
  }

  // A request that failed at one server and succeeded at another was not itself
  // at fault, so the failures are counted against those servers.
  void report_server_errors() {
    for (const std::string& server : error_servers_) {
      context().health.error(server);
    }
    error_servers_.clear();
  }

  void finish_attempt(server_attempt& attempt, server_result result) {
    std::unique_ptr<server_attempt> ended = end_call(attempt, result);
    end_attempt(ended->report);
    if (!running_.empty() && result != server_result::served) {
      wait_for_others(std::move(ended));
      return;
    }
    attempt_decision next = decide_after_attempt(ended->report, progress());
    if (next == attempt_decision::retry && in_doubt()) {
      add_to_trail("request_in_doubt");
      next = decide_without_retry(ended->report, progress());
    }
    if (next != attempt_decision::retry) {
      end_without_retry(next, std::move(ended));
      return;
    }
    last_attempt_ = std::move(ended);
    if (!searching_) {
      search(last_attempt_->report.sent);
    }
  }

  void end_without_retry(attempt_decision next,
                         std::unique_ptr<server_attempt> ended) {
    if (next != attempt_decision::deliver && error_answer_) {
      ended = std::move(error_answer_);
      next = decide_without_retry(ended->report, progress());
    }
    respond_or_refuse(next, std::move(ended));
  }

  // Precondition: other attempts are under way.
  void wait_for_others(std::unique_ptr<server_attempt> ended) {
    const attempt_report report = ended->report;
    if (report.answered && !report.not_run) {
      error_answer_ = std::move(ended);
    }
    const server_attempt& newest = *running_.back();
    adopt_attempt(newest.server);
    if (newest.silent && may_send_beside_silent() && !searching_) {
      search(report.sent);
    }
  }

  void on_deadline() override {
    if (!error_answer_ && last_attempt_ && last_attempt_->report.answered &&
        !last_attempt_->report.not_run) {
      error_answer_ = std::move(last_attempt_);
    }
    if (error_answer_) {
      add_to_trail("deadline");
      respond_or_refuse(attempt_decision::deliver, std::move(error_answer_));
      return;
    }
    request_forwarder::on_deadline();
  }

  const char* refusal_reason() const {
    return quarantine_reason_ != nullptr ? quarantine_reason_
           : attempts_ > 0               ? "servers_refused"
           : limited_servers_.empty()    ? "no_server"
                                         : "servers_limited";
  }

  void respond_or_refuse(attempt_decision next,
                         std::unique_ptr<server_attempt> last) {
    constexpr int bad_gateway = 502;
    stop();
    switch (next) {
      case attempt_decision::deliver:
        if (error_servers_.size() == 1) {
          report_server_errors();
        }
        deliver(last->response.take(), "answered");
        break;
      case attempt_decision::refuse_not_run:
        refuse_not_run(refusal_reason(), retry_after_);
        break;
      case attempt_decision::retry:
      case attempt_decision::fail_unknown:
        fail_unknown(bad_gateway, "outcome_unknown");
        break;
    }
  }

  runtime_timer silence_timer_;
  duration search_delay_{};
  bool searching_ = false;    // for a server
  bool takes_retry_ = false;  // the search does
  std::optional<time_point> retry_taken_at_;
  const char* quarantine_reason_ = nullptr;  // if it is quarantined
  std::set<std::string> limited_servers_;    // ids; asked in this search
  // Ended while no other was under way; the search replaces it.
  std::unique_ptr<server_attempt> last_attempt_;
  // Oldest first. All but the last one are silent.
  std::vector<std::unique_ptr<server_attempt>> running_;
  // Ended with an error answer while others were under way.
  std::unique_ptr<server_attempt> error_answer_;
  std::vector<std::string> error_servers_;  // ids; answered with an error
  std::optional<duration> retry_after_;     // until the end of a back-off
};

}  // namespace

std::unique_ptr<request_forwarder> make_plain_forwarder(
    forward_context& context, admitted_request request) {
  return std::make_unique<plain_forwarder>(context, std::move(request));
}

}  // namespace citronwharf
