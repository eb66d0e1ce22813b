// Performs the actions of a request's state machine and ends the request.
#include <algorithm>
#include <utility>

#include "entry/active_request.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr const char* outcomes_metric = "citronwharf_requests_total";
constexpr const char* refusals_metric = "citronwharf_refusals_total";
constexpr const char* first_token_metric = "citronwharf_first_token_seconds";
constexpr const char* between_tokens_metric =
    "citronwharf_between_tokens_seconds";
constexpr const char* waste_metric = "citronwharf_wasted_prefill_tokens_total";

const char* stage_name(request_stage stage) {
  switch (stage) {
    case request_stage::reserve:
      return "reserve";
    case request_stage::wait:
      return "queue";
    case request_stage::prefill:
      return "prefill";
    case request_stage::resume:
      return "resume";
    default:
      return "transfer+decode";
  }
}

// Sets the trace context of messages that carry work.
struct trace_setter {
  std::string traceparent;

  template <typename Work>
  void operator()(Work& work) const {
    work.header.traceparent = traceparent;
  }
  void operator()(resume_request& /*in*/) const {}
  void operator()(cancel_request& /*in*/) const {}
};

frame frame_of(const endpoint_message& message) {
  return std::visit([](const auto& one) { return make_frame(one); }, message);
}

bool is_cancel(const endpoint_message& message) {
  return std::holds_alternative<cancel_request>(message);
}

}  // namespace

// An action may cause further actions, for example when a send fails.
void active_request::perform(request_actions actions) {
  while (!actions.empty()) {
    request_actions follow_up;
    for (const request_action& action : actions) {
      perform_action(action, follow_up);
    }
    actions = std::move(follow_up);
  }
  const bool is_running = (pools_machine_ && pools_machine_->running()) ||
                          (plain_machine_ && plain_machine_->running());
  if (is_running) {
    leave_waiting_limiter();
  }
  arm_timer();
}

void active_request::perform_action(const request_action& action,
                                    request_actions& follow_up) {
  if (const auto* out = std::get_if<send_action>(&action)) {
    send(*out, follow_up);
  } else if (const auto* tokens = std::get_if<relay_action>(&action)) {
    relay_tokens(tokens->tokens);
  } else if (const auto* plain = std::get_if<plain_answer_action>(&action)) {
    if (claim_unfinished_) {
      answer_ = {plain->status, plain->headers, plain->body, 0};
    }
    relay_.respond_plain(plain->status, plain->headers, plain->body);
  } else if (const auto* report = std::get_if<report_action>(&action)) {
    record_report(*report);
  } else if (const auto* waste = std::get_if<waste_action>(&action)) {
    context_.process.metrics.add(waste_metric, {}, waste->prompt_tokens);
  } else if (const auto* stage = std::get_if<stage_action>(&action)) {
    start_stage_span(*stage);
  } else if (const auto* last = std::get_if<finish_action>(&action)) {
    finish(*last);
  }
}

void active_request::send(const send_action& action,
                          request_actions& follow_up) {
  endpoint_message message = action.message;
  std::visit(trace_setter{stage_span_.traceparent()}, message);
  const absl::Status sent =
      context_.process.peers.send(action.endpoint, frame_of(message));
  if (sent.ok()) {
    record_sent(action);
    return;
  }
  if (!is_cancel(message)) {
    request_actions next =
        report_send_failure(action.endpoint, key_of(message));
    std::move(next.begin(), next.end(), std::back_inserter(follow_up));
  }
}

request_actions active_request::report_send_failure(const std::string& endpoint,
                                                    const attempt_key& key) {
  const time_point now = runtime_clock::now();
  return pools_machine_ ? pools_machine_->on_send_failed(endpoint, key, now)
                        : plain_machine_->on_send_failed(endpoint, key, now);
}

void active_request::record_sent(const send_action& action) {
  const time_point now = runtime_clock::now();
  if (const auto* ask = std::get_if<reserve_request>(&action.message)) {
    context_.places.sent(action.endpoint, ask->prompt_tokens, now);
  } else if (const auto* run = std::get_if<prefill_request>(&action.message)) {
    context_.places.sent(action.endpoint, run->prompt_tokens, now);
  } else if (std::holds_alternative<plain_request>(action.message)) {
    context_.places.sent(action.endpoint, 0, now);
  }
}

void active_request::record_report(const report_action& action) {
  const time_point now = runtime_clock::now();
  switch (action.what) {
    case report_action::kind::failed:
      context_.places.failed(action.endpoint, now);
      return;
    case report_action::kind::succeeded:
      context_.places.succeeded(action.endpoint, now);
      return;
    case report_action::kind::measured:
      context_.places.measured(action.endpoint, action.tokens, action.run);
      return;
    default:
      context_.places.ended(action.endpoint, action.tokens, now);
  }
}

void active_request::start_stage_span(const stage_action& action) {
  stage_span_.end();
  if (action.stage == request_stage::ended) {
    return;
  }
  stage_span_ =
      context_.process.traces.start(stage_name(action.stage), root_.context());
  stage_span_.set("endpoint", action.endpoint);
}

void active_request::relay_tokens(const std::vector<std::string>& tokens) {
  const time_point now = runtime_clock::now();
  const metric_labels labels{{"route", request_.call.to.name}};
  metric_registry& metrics = context_.process.metrics;
  if (relay_.token_count() == 0) {
    relay_span_ = context_.process.traces.start("relay", root_.context());
    metrics.observe(first_token_metric, labels, to_seconds(now - accepted_at_));
  } else {
    metrics.observe(between_tokens_metric, labels,
                    to_seconds(now - last_token_));
  }
  last_token_ = now;
  relay_.append(tokens);
}

void active_request::finish(const finish_action& action) {
  if (!action.failure) {
    relay_.complete();
    refund_unused(action.total_tokens);
    complete_request(request_outcome::done, std::nullopt);
    return;
  }
  relay_.fail(*action.failure);
  refund_unused(action.total_tokens);
  complete_request(action.failure->outcome, action.failure);
}

// Refunds charged tokens that were certainly not used.
void active_request::refund_unused(std::int32_t output_tokens) {
  const auto* call = std::get_if<pools_call>(&request_.call.call);
  const bool ran = (pools_machine_ && pools_machine_->running()) ||
                   (plain_machine_ && plain_machine_->running());
  double used = ran ? charged_tokens_ : 0;
  if (ran && call != nullptr) {
    used = static_cast<double>(call->prompt_tokens) + output_tokens;
  }
  if (charged_tokens_ > used) {
    context_.allowances.give_back(charged_allowance_id_,
                                  charged_tokens_ - used);
  }
  charged_tokens_ = 0;
}

void active_request::complete_request(request_outcome outcome,
                                      const std::optional<problem>& failure) {
  ended_ = true;
  finish_claim(outcome);
  metric_registry& metrics = context_.process.metrics;
  metrics.add(outcomes_metric, {{"route", request_.call.to.name},
                                {"outcome", to_string(outcome)}});
  if (failure && failure->outcome == request_outcome::not_run) {
    metrics.add(refusals_metric,
                {{"reason", failure->reason},
                 {"within_rate", failure->within_rate ? "yes" : "no"}});
  }
  const bool caller_disconnected =
      failure && failure->reason == reasons::caller_left;
  if (failure && outcome == request_outcome::unknown && !caller_disconnected) {
    log_event(events::outcome_unknown, relay_.request_id(),
              request_.call.to.name, failure->reason);
  }
  root_.set("outcome", to_string(outcome));
  if (failure) {
    root_.set("reason", failure->reason);
  }
  stage_span_.end();
  relay_span_.end();
  root_.end();
  leave_waiting_limiter();
  timer_.cancel();
  context_.remove(request_.number);
}

void active_request::arm_timer() {
  if (ended_) {
    return;
  }
  time_point wake_time = deadline_;
  if (pools_machine_) {
    wake_time = pools_machine_->wake_time();
  } else if (plain_machine_) {
    wake_time = plain_machine_->wake_time();
  }
  if (wake_time == timer_wake_time_) {
    return;
  }
  timer_wake_time_ = wake_time;
  timer_.expires_at(wake_time);
  timer_.async_wait([context = &context_, number = request_.number](
                        const boost::system::error_code& error) {
    active_request* self = error ? nullptr : context->find(number);
    if (self != nullptr) {
      self->on_timer();
    }
  });
}

void active_request::leave_waiting_limiter() {
  if (holds_waiting_slot_) {
    holds_waiting_slot_ = false;
    context_.waiting.leave(request_.caller.organisation);
  }
}

}  // namespace citronwharf
