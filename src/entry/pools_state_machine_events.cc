// Events of pools_state_machine other than replies, and the end of a request.
#include <algorithm>
#include <utility>

#include "entry/pools_state_machine.h"

namespace citronwharf {
namespace {

constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int caller_closed = 499;

}  // namespace

request_actions pools_state_machine::on_session(const std::string& endpoint,
                                                std::uint64_t incarnation,
                                                time_point now) {
  if (finished()) {
    return take_actions();
  }
  if (prefill_.active() && prefill_.endpoint == endpoint &&
      incarnation != prefill_.incarnation && stage_ == request_stage::prefill) {
    handle_prefill_failure(true, now);
    return take_actions();
  }
  if (!decode_.active() || decode_.endpoint != endpoint) {
    return take_actions();
  }
  const bool same_incarnation = incarnation == decode_.incarnation;
  switch (stage_) {
    case request_stage::reserve:
    case request_stage::wait:
      if (!same_incarnation) {
        excluded_decode_.push_back(endpoint);
        release(decode_, true);
        start_round(now);
      }
      break;
    case request_stage::prefill:
      decode_.session_lost = !same_incarnation;
      break;
    case request_stage::decode:
      if (incarnation == 0) {
        enter_stage(request_stage::resume, endpoint,
                    now + options_.resume_window);
      } else if (!same_incarnation) {
        handle_decode_failure(true, true, now);
      }
      break;
    case request_stage::resume:
      if (same_incarnation) {
        request_resume(now);
      } else if (incarnation != 0) {
        handle_decode_failure(true, true, now);
      }
      break;
    default:
      break;
  }
  return take_actions();
}

request_actions pools_state_machine::on_send_failed(const std::string& endpoint,
                                                    const attempt_key& key,
                                                    time_point now) {
  if (finished()) {
    return take_actions();
  }
  if (stage_ == request_stage::prefill &&
      match_or_cancel(prefill_, endpoint, key)) {
    handle_prefill_failure(false, now);
  } else if (stage_ == request_stage::reserve &&
             match_or_cancel(decode_, endpoint, key)) {
    excluded_decode_.push_back(endpoint);
    release(decode_, false);
    try_next_decode(now);
  } else if (stage_ == request_stage::decode &&
             match_or_cancel(decode_, endpoint, key)) {
    if (resume_count_ >
        0) {  // the attempt may be running: wait for the session
      enter_stage(request_stage::resume, endpoint,
                  now + options_.resume_window);
    } else {
      handle_decode_failure(false, false, now);
    }
  }
  return take_actions();
}

request_actions pools_state_machine::on_cancel(time_point /*now*/) {
  if (!finished()) {
    finish_with_problem(caller_closed, reasons::caller_left, "the caller left",
                        {});
  }
  return take_actions();
}

request_actions pools_state_machine::on_configuration(time_point now) {
  if (!finished() && !running()) {
    auto failure = hooks_.permitted(now);
    if (failure && failure->reason == reasons::key_withdrawn) {
      finish(std::move(failure));
    }
  }
  return take_actions();
}

request_actions pools_state_machine::on_timer(time_point now) {
  if (finished() || now < wake_time()) {
    return take_actions();
  }
  if (now >= work_.deadline) {
    finish_with_problem(gateway_timeout, reasons::deadline,
                        "the deadline has passed",
                        hooks_.retry_after(work_.prefill_pool, now));
  } else {
    handle_stage_timeout(now);
  }
  return take_actions();
}

// Handles the expiry of a stage's time limit.
void pools_state_machine::handle_stage_timeout(time_point now) {
  switch (stage_) {
    case request_stage::reserve:
      // The reservation may be queued at the endpoint; repeating it is safe and
      // returns the first answer.
      stage_wake_time_ = now + options_.stall_timeout;
      send_reserve(now);
      return;
    case request_stage::wait:
      if (decode_.active()) {
        start_prefill(now);
      } else {
        start_round(now);
      }
      return;
    case request_stage::prefill:
      handle_prefill_failure(true, now);
      return;
    case request_stage::decode:
      request_resume(now);
      return;
    case request_stage::resume:
      handle_decode_failure(true, true, now);
      return;
    default:
      return;
  }
}

// Backs off and retries later. Fails at once if the retry would come after the
// deadline, or if no endpoint is known and nothing has run yet.
void pools_state_machine::schedule_retry(const char* reason,
                                         duration retry_after, time_point now) {
  discard_export();
  duration pause =
      options_.initial_backoff * (1U << std::min(refused_rounds_, 6U));
  pause = std::min(std::max(pause, retry_after), options_.max_backoff);
  const bool fail_now = reason == reasons::no_endpoint && !may_have_run_;
  const time_point retry_time = now + std::max(pause, retry_after);
  if (fail_now || retry_time >= work_.deadline) {
    finish_with_problem(unavailable, reason,
                        "no endpoint can take the work in time",
                        std::max(pause, retry_after));
    return;
  }
  ++refused_rounds_;
  excluded_decode_.clear();
  excluded_prefill_.clear();
  enter_stage(request_stage::wait, "", now + pause);
}

void pools_state_machine::finish_with_problem(int status, const char* reason,
                                              const char* detail,
                                              duration retry_after) {
  const bool may_have_started = may_have_run_ ||
                                (stage_ == request_stage::prefill) ||
                                (stage_ == request_stage::decode);
  const bool outcome_uncertain = status == unavailable && may_have_started;
  finish(problem{
      outcome_uncertain ? bad_gateway : status,
      may_have_started ? request_outcome::unknown : request_outcome::not_run,
      reason, detail, retry_after, false});
}

// The only way a request ends: releases everything it holds, then adds the
// finish_action.
void pools_state_machine::finish(std::optional<problem> failure) {
  if (failure && running()) {
    failure->outcome = request_outcome::unknown;
  }
  if (!failure) {
    report(report_action::kind::succeeded, decode_.endpoint);
  }
  const bool prefill_unused =
      stage_ == request_stage::prefill || (export_ && failure);
  if (prefill_unused) {
    actions_.emplace_back(waste_action{context_tokens()});
  }
  release(prefill_, true);
  release(decode_, failure.has_value() || !total_tokens_);
  export_.reset();
  enter_stage(request_stage::ended, "", time_point::max());
  actions_.emplace_back(finish_action{std::move(failure), relayed_tokens_});
}

bool pools_state_machine::running() const {
  return may_have_run_ || stage_ == request_stage::prefill ||
         stage_ == request_stage::decode || stage_ == request_stage::resume;
}

time_point pools_state_machine::wake_time() const {
  return finished() ? time_point::max()
                    : std::min(stage_wake_time_, work_.deadline);
}

std::vector<held_attempt> pools_state_machine::held() const {
  std::vector<held_attempt> all;
  for (const assigned_attempt* assigned : {&decode_, &prefill_}) {
    if (assigned->active()) {
      all.push_back({assigned->endpoint, assigned->key});
    }
  }
  return all;
}

attempt_key pools_state_machine::next_key() {
  attempt_key key = work_.key;
  key.attempt = ++attempt_count_;
  return key;
}

work_header pools_state_machine::header(const assigned_attempt& assigned,
                                        time_point now) const {
  return work_header{assigned.key,
                     assigned.incarnation,
                     work_.organisation,
                     work_.weight,
                     work_.service,
                     to_microseconds(work_.deadline - now),
                     ""};
}

// Returns whether a frame belongs to `assigned`. If it belongs to no current
// attempt, cancels that attempt at the endpoint.
bool pools_state_machine::match_or_cancel(const assigned_attempt& assigned,
                                          const std::string& from,
                                          const attempt_key& key) {
  const auto matches = [&](const assigned_attempt& other) {
    return other.active() && other.endpoint == from && other.key == key;
  };
  if (!matches(decode_) && !matches(prefill_)) {
    send(from, cancel_request{key});
  }
  return matches(assigned);
}

void pools_state_machine::enter_stage(request_stage stage,
                                      const std::string& endpoint,
                                      time_point wake_time) {
  if (stage != stage_) {
    actions_.emplace_back(stage_action{stage, endpoint});
  }
  stage_ = stage;
  stage_wake_time_ = wake_time;
}

void pools_state_machine::send(const std::string& endpoint,
                               endpoint_message message) {
  actions_.emplace_back(send_action{endpoint, std::move(message)});
}

void pools_state_machine::report(report_action::kind what,
                                 const std::string& endpoint,
                                 std::int32_t tokens, duration run) {
  actions_.emplace_back(report_action{what, endpoint, tokens, run});
}

void pools_state_machine::release(assigned_attempt& assigned, bool cancel) {
  if (!assigned.active()) {
    return;
  }
  if (cancel) {
    send(assigned.endpoint, cancel_request{assigned.key});
  }
  report(report_action::kind::ended, assigned.endpoint, work_.prompt_tokens);
  assigned = assigned_attempt{};
}

void pools_state_machine::discard_export() {
  if (export_) {
    actions_.emplace_back(waste_action{context_tokens()});
    export_.reset();
  }
  release(prefill_, true);
}

request_actions pools_state_machine::take_actions() {
  return std::exchange(actions_, {});
}

}  // namespace citronwharf
