// Plain requests: the response is read whole before the caller gets any of it,
// so that a broken one can be replaced where the request may be repeated.
#include <fmt/format.h>

#include <utility>

#include "gateway/forward.h"

namespace citronwharf {
namespace {

// A server that is silent for this many times the latency objective may be ill:
// an idempotent request goes to another one.
constexpr int silent_objectives = 2;
// A response is kept whole until its end.
constexpr std::uint64_t max_response_bytes = 4U << 20U;

bool is_success(int status) {
  constexpr int first_success = 200;
  constexpr int first_redirect = 300;
  return status >= first_success && status < first_redirect;
}

class plain_forward final : public forward {
 public:
  plain_forward(forward_environment& environment, admitted_request request)
      : forward(environment, std::move(request)), silence_(environment.loop) {}
  ~plain_forward() override {
    stop();
    drop_response();
  }
  plain_forward(const plain_forward&) = delete;
  plain_forward& operator=(const plain_forward&) = delete;

 private:
  void begin() override { attempt(); }

  void stop() override {
    end_call(server_result::abandoned);
    boost::system::error_code ignored;
    silence_.cancel(ignored);
  }

  void attempt() {
    server_need need;
    need.service = service().name;
    need.near = environment().failure_domain;
    need.excluded = tried_;
    const time_point now = runtime_clock::now();
    auto chosen = environment().servers.choose(need, now);
    if (!chosen) {
      note("no_server");
      wait_ = environment().servers.spared_for(service().name, now);
      give_up();
      return;
    }
    send_to(*chosen);
  }

  void send_to(const chosen_server& chosen) {
    const listed_server& server = chosen.server;
    ++sends_;
    may_be_running_ = true;
    last_server_ = server.id;
    tried_.insert(server.id);
    report_ = {};
    drop_response();
    note(fmt::format("send({},{},in_flight={},load={})", server.id,
                     server.address, chosen.in_flight, chosen.reported));
    environment().servers.started(server.id, 0, runtime_clock::now());
    at_server_ = true;
    server_call call;
    call.organisation = request().resolved.organisation();
    call.instance = server.id;
    call.deadline = server_deadline();
    pooled_call pooled = call_for_request(server.address);
    pooled.max_body_bytes = max_response_bytes;
    call_ = environment().pool.start(
        std::move(pooled),
        environment().codec.make_call(request().caller, call), handlers());
    watch_silence();
  }

  http_call_handlers handlers() {
    http_call_handlers out;
    out.on_head = [this](const http_response& head) { response_ = head; };
    out.on_body = [this](const std::string& part) { keep(part); };
    out.on_done = [this] { on_answer(); };
    out.on_failure = [this](const http_failure& failure) {
      note(fmt::format("lost({},sent={})",
                       std::string(failure.status.message()), failure.sent));
      report_.sent = failure.sent;
      settle(failure.sent ? server_result::failed : server_result::unreachable);
    };
    return out;
  }

  void keep(const std::string& part) {
    if (!environment().responses.take(part.size())) {
      note("no_memory_for_response");
      report_.sent = true;
      settle(server_result::failed);
      return;
    }
    kept_bytes_ += part.size();
    response_.body += part;
  }

  void drop_response() {
    environment().responses.give_back(std::exchange(kept_bytes_, 0));
    response_ = {};
  }

  void watch_silence() {
    const bool may_go_elsewhere = route().repeat == repeatability::idempotent &&
                                  servers_run_ + 1 < route().max_servers;
    arm(silence_, milliseconds(route().objective_ms * silent_objectives),
        [this, may_go_elsewhere] {
          note("silent");
          if (!may_go_elsewhere) {
            environment().health.lost(last_server_);
            return;
          }
          report_.sent = true;
          call_.reset();
          settle(server_result::timed_out);
        });
  }

  void on_answer() {
    const server_answer answer =
        take_signs(environment(), last_server_, response_);
    if (is_success(answer.status) && !answer.signed_by) {
      // Not the server's own response.
      note("unsigned");
      report_.sent = true;
      settle(server_result::failed);
      return;
    }
    const server_result result = take_answer(answer, report_);
    if (result == server_result::error) {
      failed_at_.push_back(last_server_);
    } else if (result == server_result::served) {
      blame_servers();
    }
    settle(result);
  }

  void end_call(server_result result) {
    call_.reset();
    if (!at_server_) {
      return;
    }
    at_server_ = false;
    report_end(last_server_, 0, result);
  }

  // What failed at one server and not at another was not the request's fault.
  void blame_servers() {
    for (const std::string& server : failed_at_) {
      environment().health.error(server);
    }
    failed_at_.clear();
  }

  void settle(server_result result) {
    boost::system::error_code ignored;
    silence_.cancel(ignored);
    end_call(result);
    may_be_running_ = false;
    if (report_.sent && !report_.not_run) {
      ++servers_run_;
    }
    verdict next = after_attempt(report_, progress());
    if (next == verdict::retry) {
      // A send that reached no server is no load on one.
      if (!report_.sent || take_repeat()) {
        attempt();
        return;
      }
      next = without_retry(report_, progress());
    }
    conclude(next);
  }

  void give_up() { conclude(without_retry(report_, progress())); }

  void conclude(verdict next) {
    constexpr int bad_gateway = 502;
    switch (next) {
      case verdict::deliver:
        if (failed_at_.size() == 1) {
          blame_servers();
        }
        deliver(std::move(response_), "answered");
        break;
      case verdict::refuse_not_run:
        refuse_not_run(sends_ == 0 ? "no_server" : "servers_refused", wait_);
        break;
      case verdict::retry:
      case verdict::fail_unknown:
        fail_unknown(bad_gateway, "outcome_unknown");
        break;
    }
  }

  runtime_timer silence_;
  std::unique_ptr<http_call> call_;
  bool at_server_ = false;
  std::vector<std::string> failed_at_;  // servers that answered with errors
  std::optional<duration> wait_;        // until a server may be used again
  attempt_report report_;
  http_response response_;
  std::size_t kept_bytes_ = 0;  // of the response's body
};

}  // namespace

std::unique_ptr<forward> make_plain_forward(forward_environment& environment,
                                            admitted_request request) {
  return std::make_unique<plain_forward>(environment, std::move(request));
}

}  // namespace citronwharf
