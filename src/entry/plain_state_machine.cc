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
  if (auto why = hooks_.permitted(now)) {
    finish(std::move(why));
    return;
  }
  placement_query query;
  query.pool = work_.pool;
  query.organisation = work_.organisation;
  query.excluded = excluded_;
  const auto choices = hooks_.choose(query, 1, now);
  const std::uint64_t incarnation =
      choices.empty() ? 0 : hooks_.incarnation(choices[0].endpoint);
  if (choices.empty() || attempts_ >= options_.most_attempts) {
    give_up(unavailable, reasons::no_endpoint, "no endpoint takes the call now",
            hooks_.retry_after(work_.pool, now));
    return;
  }
  endpoint_ = choices[0].endpoint;
  key_ = work_.key;
  key_.attempt = ++attempts_;
  if (incarnation == 0) {  // bound to no incarnation, it might run twice
    not_run_there(now);
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
  if (!pending(from, reply.key) || reply.reason == failure_reason::duplicate) {
    return take_actions();
  }
  if (reply.reason == failure_reason::none) {
    ran_ = true;
    actions_.emplace_back(
        report_action{report_action::kind::succeeded, from, 0, {}});
    actions_.emplace_back(
        plain_answer_action{reply.status, reply.headers, reply.body});
    clear_place(false);
    finish(std::nullopt);
  } else if (reply.ran) {
    may_have_run(now);
  } else {
    not_run_there(now);
  }
  return take_actions();
}

// It is proved that nothing ran at the present endpoint.
void plain_state_machine::not_run_there(time_point now) {
  excluded_.push_back(endpoint_);
  clear_place(false);
  stage_ = request_stage::idle;
  try_next(now);
}

void plain_state_machine::may_have_run(time_point now) {
  ran_ = true;
  actions_.emplace_back(
      report_action{report_action::kind::failed, endpoint_, 0, {}});
  excluded_.push_back(endpoint_);
  clear_place(true);
  stage_ = request_stage::idle;
  if (work_.idempotent && hooks_.take_retry()) {
    try_next(now);
    return;
  }
  give_up(bad_gateway, reasons::broken_off,
          "the service may have run the call, its answer is lost", {});
}

request_actions plain_state_machine::on_session(const std::string& endpoint,
                                                std::uint64_t incarnation,
                                                time_point now) {
  const bool concerned = !finished() && !endpoint_.empty() &&
                         endpoint == endpoint_ && incarnation != incarnation_;
  if (concerned) {
    may_have_run(now);
  }
  return take_actions();
}

request_actions plain_state_machine::on_send_failed(const std::string& endpoint,
                                                    const attempt_key& key,
                                                    time_point now) {
  if (!finished() && pending(endpoint, key)) {
    not_run_there(now);
  }
  return take_actions();
}

request_actions plain_state_machine::on_cancel(time_point /*now*/) {
  if (!finished()) {
    give_up(caller_closed, reasons::caller_left, "the caller left", {});
  }
  return take_actions();
}

request_actions plain_state_machine::on_timer(time_point now) {
  if (!finished() && now >= work_.deadline) {
    give_up(gateway_timeout, reasons::deadline, "the deadline has passed",
            hooks_.retry_after(work_.pool, now));
  }
  return take_actions();
}

void plain_state_machine::give_up(int status, const char* reason,
                                  const char* detail, duration retry_after) {
  const bool unsure = running();
  finish(problem{unsure && status == unavailable ? bad_gateway : status,
                 unsure ? request_outcome::unknown : request_outcome::not_run,
                 reason, detail, retry_after, false});
}

void plain_state_machine::finish(std::optional<problem> why) {
  if (why && running()) {
    why->outcome = request_outcome::unknown;
  }
  clear_place(true);
  stage_ = request_stage::ended;
  actions_.emplace_back(stage_action{stage_, ""});
  actions_.emplace_back(finish_action{std::move(why), 0});
}

void plain_state_machine::clear_place(bool cancel) {
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

time_point plain_state_machine::wake() const {
  return finished() ? time_point::max() : work_.deadline;
}

std::vector<held_attempt> plain_state_machine::held() const {
  if (endpoint_.empty()) {
    return {};
  }
  return {{endpoint_, key_}};
}

bool plain_state_machine::pending(const std::string& from,
                                  const attempt_key& key) const {
  return !endpoint_.empty() && endpoint_ == from && key_ == key;
}

request_actions plain_state_machine::take_actions() {
  return std::exchange(actions_, {});
}

}  // namespace citronwharf
