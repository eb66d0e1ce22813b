// The events of pools_state_machine that are not replies, and its ends.
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
    prefill_failed(true, now);
    return take_actions();
  }
  if (!decode_.active() || decode_.endpoint != endpoint) {
    return take_actions();
  }
  const bool same = incarnation == decode_.incarnation;
  switch (stage_) {
    case request_stage::reserve:
    case request_stage::wait:
      if (!same) {
        excluded_decode_.push_back(endpoint);
        release(decode_, true);
        reserve(now);
      }
      break;
    case request_stage::prefill:
      decode_.lost = !same;
      break;
    case request_stage::decode:
      if (incarnation == 0) {
        enter(request_stage::resume, endpoint, now + options_.resume_window);
      } else if (!same) {
        decode_failed(true, true, now);
      }
      break;
    case request_stage::resume:
      if (same) {
        resume(now);
      } else if (incarnation != 0) {
        decode_failed(true, true, now);
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
  if (stage_ == request_stage::prefill && pending(prefill_, endpoint, key)) {
    prefill_failed(false, now);
  } else if (stage_ == request_stage::reserve &&
             pending(decode_, endpoint, key)) {
    excluded_decode_.push_back(endpoint);
    release(decode_, false);
    next_decode(now);
  } else if (stage_ == request_stage::decode &&
             pending(decode_, endpoint, key)) {
    if (resumes_ > 0) {  // the attempt may run there: wait for its session
      enter(request_stage::resume, endpoint, now + options_.resume_window);
    } else {
      decode_failed(false, false, now);
    }
  }
  return take_actions();
}

request_actions pools_state_machine::on_cancel(time_point /*now*/) {
  if (!finished()) {
    give_up(caller_closed, reasons::caller_left, "the caller left", {});
  }
  return take_actions();
}

request_actions pools_state_machine::on_configuration(time_point now) {
  if (!finished() && !running()) {
    auto why = hooks_.permitted(now);
    if (why && why->reason == reasons::key_withdrawn) {
      finish(std::move(why));
    }
  }
  return take_actions();
}

request_actions pools_state_machine::on_timer(time_point now) {
  if (finished() || now < wake()) {
    return take_actions();
  }
  if (now >= work_.deadline) {
    give_up(gateway_timeout, reasons::deadline, "the deadline has passed",
            hooks_.retry_after(work_.prefill_pool, now));
  } else {
    stage_ended(now);
  }
  return take_actions();
}

// The time of a stage is over.
void pools_state_machine::stage_ended(time_point now) {
  switch (stage_) {
    case request_stage::reserve:
      // It may wait in the endpoint's queue; a repeat gets the first answer.
      stage_wake_ = now + options_.stall_limit;
      send_reserve(now);
      return;
    case request_stage::wait:
      if (decode_.active()) {
        start_prefill(now);
      } else {
        reserve(now);
      }
      return;
    case request_stage::prefill:
      prefill_failed(true, now);
      return;
    case request_stage::decode:
      resume(now);
      return;
    case request_stage::resume:
      decode_failed(true, true, now);
      return;
    default:
      return;
  }
}

// Waits for room. What has not begun gives up at once when nothing is known to
// get better before its deadline.
void pools_state_machine::wait(const char* reason, duration retry_after,
                               time_point now) {
  drop_export();
  duration pause = options_.first_wait * (1U << std::min(rounds_, 6U));
  pause = std::min(std::max(pause, retry_after), options_.longest_wait);
  const bool hopeless = reason == reasons::no_endpoint && !ran_;
  const time_point back = now + std::max(pause, retry_after);
  if (hopeless || back >= work_.deadline) {
    give_up(unavailable, reason, "no endpoint can take the work in time",
            std::max(pause, retry_after));
    return;
  }
  ++rounds_;
  excluded_decode_.clear();
  excluded_prefill_.clear();
  enter(request_stage::wait, "", now + pause);
}

void pools_state_machine::give_up(int status, const char* reason,
                                  const char* detail, duration retry_after) {
  const bool unsure = ran_ || (stage_ == request_stage::prefill) ||
                      (stage_ == request_stage::decode);
  const bool plain_failure = status == unavailable && unsure;
  finish(problem{plain_failure ? bad_gateway : status,
                 unsure ? request_outcome::unknown : request_outcome::not_run,
                 reason, detail, retry_after, false});
}

// The one end: everything held is let go, then the last action is added.
void pools_state_machine::finish(std::optional<problem> why) {
  if (why && running()) {
    why->outcome = request_outcome::unknown;
  }
  if (!why) {
    report(report_action::kind::succeeded, decode_.endpoint);
  }
  const bool prefill_unused =
      stage_ == request_stage::prefill || (export_ && why);
  if (prefill_unused) {
    actions_.emplace_back(waste_action{whole_prompt_tokens()});
  }
  release(prefill_, true);
  release(decode_, why.has_value() || !total_);
  export_.reset();
  enter(request_stage::ended, "", time_point::max());
  actions_.emplace_back(finish_action{std::move(why), have_});
}

bool pools_state_machine::running() const {
  return ran_ || stage_ == request_stage::prefill ||
         stage_ == request_stage::decode || stage_ == request_stage::resume;
}

time_point pools_state_machine::wake() const {
  return finished() ? time_point::max() : std::min(stage_wake_, work_.deadline);
}

std::vector<held_attempt> pools_state_machine::held() const {
  std::vector<held_attempt> all;
  for (const placed* at : {&decode_, &prefill_}) {
    if (at->active()) {
      all.push_back({at->endpoint, at->key});
    }
  }
  return all;
}

attempt_key pools_state_machine::next_key() {
  attempt_key key = work_.key;
  key.attempt = ++attempts_;
  return key;
}

work_header pools_state_machine::header(const placed& at,
                                        time_point now) const {
  return work_header{at.key,
                     at.incarnation,
                     work_.organisation,
                     work_.weight,
                     work_.service,
                     to_microseconds(work_.deadline - now),
                     ""};
}

// Returns whether a frame belongs to what is placed; what an endpoint still
// does for an attempt that is over is cancelled.
bool pools_state_machine::pending(const placed& at, const std::string& from,
                                  const attempt_key& key) {
  const auto is = [&](const placed& other) {
    return other.active() && other.endpoint == from && other.key == key;
  };
  if (!is(decode_) && !is(prefill_)) {
    send(from, cancel_request{key});
  }
  return is(at);
}

void pools_state_machine::enter(request_stage stage,
                                const std::string& endpoint, time_point wake) {
  if (stage != stage_) {
    actions_.emplace_back(stage_action{stage, endpoint});
  }
  stage_ = stage;
  stage_wake_ = wake;
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

void pools_state_machine::release(placed& at, bool cancel) {
  if (!at.active()) {
    return;
  }
  if (cancel) {
    send(at.endpoint, cancel_request{at.key});
  }
  report(report_action::kind::ended, at.endpoint, work_.prompt_tokens);
  at = placed{};
}

void pools_state_machine::drop_export() {
  if (export_) {
    actions_.emplace_back(waste_action{whole_prompt_tokens()});
    export_.reset();
  }
  release(prefill_, true);
}

request_actions pools_state_machine::take_actions() {
  return std::exchange(actions_, {});
}

}  // namespace citronwharf
