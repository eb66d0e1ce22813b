#include "entry/plain_state_machine.h"

#include <utility>

namespace citronwharf {
namespace {

constexpr int caller_closed = 499;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

}  // namespace

plain_state_machine::plain_state_machine(plain_work work,
                                         plain_state_machine_options options,
                                         request_hooks hooks)
    : work_(std::move(work)), options_(options), hooks_(std::move(hooks)) {}

request_actions plain_state_machine::start(time_point now) {
  try_next(now);
  return take_actions();
}

void plain_state_machine::try_next(time_point now) {
  if (auto failure = hooks_.permitted(now)) {
    finish(std::move(failure));
    return;
  }
  placement_query query;
  query.pool = work_.pool;
  query.organisation = work_.organisation;
  query.excluded = excluded_;
  const auto choices = hooks_.choose(query, 1, now);
  const std::uint64_t incarnation =
      choices.empty() ? 0 : hooks_.incarnation(choices[0].endpoint);
  if (choices.empty() || attempt_count_ >= options_.max_attempts) {
    finish_with_problem(unavailable, reasons::no_endpoint,
                        "no endpoint takes the call now",
                        hooks_.retry_after(work_.pool, now));
    return;
  }
  endpoint_ = choices[0].endpoint;
  key_ = work_.key;
  key_.attempt = ++attempt_count_;
  if (incarnation == 0) {  // a call not bound to an incarnation might run twice
    handle_not_run(now);
    return;
  }
  incarnation_ = incarnation;
  stage_ = request_stage::decode;
  actions_.emplace_back(stage_action{stage_, endpoint_});
  const work_header header{key_,
                           incarnation_,
                           work_.organisation,
                           work_.weight,
                           work_.service,
                           to_microseconds(work_.deadline - now),
                           ""};
  actions_.emplace_back(
      send_action{endpoint_, plain_request{header, work_.method, work_.target,
                                           work_.headers, work_.body}});
}

request_actions plain_state_machine::on_reply(const std::string& from,
                                              const plain_reply& reply,
                                              time_point now) {
  if (!is_current_attempt(from, reply.key) ||
      reply.reason == failure_reason::duplicate) {
    return take_actions();
  }
  if (reply.reason == failure_reason::none) {
    may_have_run_ = true;
    actions_.emplace_back(
        report_action{report_action::kind::succeeded, from, 0, {}});
    actions_.emplace_back(
        plain_answer_action{reply.status, reply.headers, reply.body});
    release_attempt(false);
    finish(std::nullopt);
  } else if (reply.ran) {
    handle_possible_run(now);
  } else {
    handle_not_run(now);
  }
  return take_actions();
}

// Handles proof that nothing ran at the current endpoint.
void plain_state_machine::handle_not_run(time_point now) {
  excluded_.push_back(endpoint_);
  release_attempt(false);
  stage_ = request_stage::idle;
  try_next(now);
}

void plain_state_machine::handle_possible_run(time_point now) {
  may_have_run_ = true;
  actions_.emplace_back(
      report_action{report_action::kind::failed, endpoint_, 0, {}});
  excluded_.push_back(endpoint_);
  release_attempt(true);
  stage_ = request_stage::idle;
  if (work_.idempotent && hooks_.take_retry()) {
    try_next(now);
    return;
  }
  finish_with_problem(bad_gateway, reasons::broken_off,
                      "the service may have run the call, its answer is lost",
                      {});
}

request_actions plain_state_machine::on_session(const std::string& endpoint,
                                                std::uint64_t incarnation,
                                                time_point now) {
  const bool affects_attempt = !finished() && !endpoint_.empty() &&
                               endpoint == endpoint_ &&
                               incarnation != incarnation_;
  if (affects_attempt) {
    handle_possible_run(now);
  }
  return take_actions();
}

request_actions plain_state_machine::on_send_failed(const std::string& endpoint,
                                                    const attempt_key& key,
                                                    time_point now) {
  if (!finished() && is_current_attempt(endpoint, key)) {
    handle_not_run(now);
  }
  return take_actions();
}

request_actions plain_state_machine::on_cancel(time_point /*now*/) {
  if (!finished()) {
    finish_with_problem(caller_closed, reasons::caller_left, "the caller left",
                        {});
  }
  return take_actions();
}

request_actions plain_state_machine::on_timer(time_point now) {
  if (!finished() && now >= work_.deadline) {
    finish_with_problem(gateway_timeout, reasons::deadline,
                        "the deadline has passed",
                        hooks_.retry_after(work_.pool, now));
  }
  return take_actions();
}

void plain_state_machine::finish_with_problem(int status, const char* reason,
                                              const char* detail,
                                              duration retry_after) {
  const bool may_have_started = running();
  finish(problem{
      may_have_started && status == unavailable ? bad_gateway : status,
      may_have_started ? request_outcome::unknown : request_outcome::not_run,
      reason, detail, retry_after, false});
}

void plain_state_machine::finish(std::optional<problem> failure) {
  if (failure && running()) {
    failure->outcome = request_outcome::unknown;
  }
  release_attempt(true);
  stage_ = request_stage::ended;
  actions_.emplace_back(stage_action{stage_, ""});
  actions_.emplace_back(finish_action{std::move(failure), 0});
}

void plain_state_machine::release_attempt(bool cancel) {
  if (endpoint_.empty()) {
    return;
  }
  if (cancel) {
    actions_.emplace_back(send_action{endpoint_, cancel_request{key_}});
  }
  actions_.emplace_back(
      report_action{report_action::kind::ended, endpoint_, 0, {}});
  endpoint_.clear();
}

time_point plain_state_machine::wake_time() const {
  return finished() ? time_point::max() : work_.deadline;
}

std::vector<held_attempt> plain_state_machine::held() const {
  if (endpoint_.empty()) {
    return {};
  }
  return {{endpoint_, key_}};
}

bool plain_state_machine::is_current_attempt(const std::string& from,
                                             const attempt_key& key) const {
  return !endpoint_.empty() && endpoint_ == from && key_ == key;
}

request_actions plain_state_machine::take_actions() {
  return std::exchange(actions_, {});
}

}  // namespace citronwharf
