// What active_request does with the actions of a life, and its end.
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

// Messages that carry work pass the trace on.
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

// Actions may give more actions, as when a message can't be sent.
void active_request::perform(request_actions actions) {
  while (!actions.empty()) {
    request_actions more;
    for (const request_action& action : actions) {
      perform_one(action, more);
    }
    actions = std::move(more);
  }
  const bool runs = (pools_machine_ && pools_machine_->running()) ||
                    (plain_machine_ && plain_machine_->running());
  if (runs) {
    leave_waiting_limiter();
  }
  arm_timer();
}

void active_request::perform_one(const request_action& action,
                                 request_actions& more) {
  if (const auto* out = std::get_if<send_action>(&action)) {
    send(*out, more);
  } else if (const auto* tokens = std::get_if<relay_action>(&action)) {
    relay_tokens(tokens->tokens);
  } else if (const auto* plain = std::get_if<plain_answer_action>(&action)) {
    if (claimed_) {
      answer_ = {plain->status, plain->headers, plain->body, 0};
    }
    relay_.plain(plain->status, plain->headers, plain->body);
  } else if (const auto* report = std::get_if<report_action>(&action)) {
    note_report(*report);
  } else if (const auto* waste = std::get_if<waste_action>(&action)) {
    context_.process.metrics.add(waste_metric, {}, waste->prompt_tokens);
  } else if (const auto* stage = std::get_if<stage_action>(&action)) {
    note_stage(*stage);
  } else if (const auto* last = std::get_if<finish_action>(&action)) {
    finish(*last);
  }
}

void active_request::send(const send_action& action, request_actions& more) {
  endpoint_message message = action.message;
  std::visit(trace_setter{stage_span_.traceparent()}, message);
  const absl::Status sent =
      context_.process.peers.send(action.endpoint, frame_of(message));
  if (sent.ok()) {
    note_sent(action);
    return;
  }
  if (!is_cancel(message)) {
    request_actions next = send_failed(action.endpoint, key_of(message));
    std::move(next.begin(), next.end(), std::back_inserter(more));
  }
}

request_actions active_request::send_failed(const std::string& endpoint,
                                            const attempt_key& key) {
  const time_point now = runtime_clock::now();
  return pools_machine_ ? pools_machine_->on_send_failed(endpoint, key, now)
                        : plain_machine_->on_send_failed(endpoint, key, now);
}

void active_request::note_sent(const send_action& action) {
  const time_point now = runtime_clock::now();
  if (const auto* ask = std::get_if<reserve_request>(&action.message)) {
    context_.places.sent(action.endpoint, ask->prompt_tokens, now);
  } else if (const auto* run = std::get_if<prefill_request>(&action.message)) {
    context_.places.sent(action.endpoint, run->prompt_tokens, now);
  } else if (std::holds_alternative<plain_request>(action.message)) {
    context_.places.sent(action.endpoint, 0, now);
  }
}

void active_request::note_report(const report_action& action) {
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

void active_request::note_stage(const stage_action& action) {
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
  const metric_labels labels{{"route", in_.call.to.name}};
  metric_registry& metrics = context_.process.metrics;
  if (relay_.count() == 0) {
    relay_span_ = context_.process.traces.start("relay", root_.context());
    metrics.observe(first_token_metric, labels, to_seconds(now - accepted_at_));
  } else {
    metrics.observe(between_tokens_metric, labels,
                    to_seconds(now - last_token_));
  }
  last_token_ = now;
  relay_.tokens(tokens);
}

void active_request::finish(const finish_action& action) {
  if (!action.why) {
    relay_.whole();
    settle(action.total_tokens);
    end(request_outcome::done, std::nullopt);
    return;
  }
  relay_.broken(*action.why);
  settle(action.total_tokens);
  end(action.why->outcome, action.why);
}

// Gives back what was charged and surely not used.
void active_request::settle(std::int32_t output_tokens) {
  const auto* call = std::get_if<pools_call>(&in_.call.call);
  const bool ran = (pools_machine_ && pools_machine_->running()) ||
                   (plain_machine_ && plain_machine_->running());
  double used = ran ? charged_ : 0;
  if (ran && call != nullptr) {
    used = static_cast<double>(call->prompt_tokens) + output_tokens;
  }
  if (charged_ > used) {
    context_.allowances.give_back(charge_id_, charged_ - used);
  }
  charged_ = 0;
}

void active_request::end(request_outcome outcome,
                         const std::optional<problem>& why) {
  ended_ = true;
  finish_claim(outcome);
  metric_registry& metrics = context_.process.metrics;
  metrics.add(outcomes_metric,
              {{"route", in_.call.to.name}, {"outcome", to_string(outcome)}});
  if (why && why->outcome == request_outcome::not_run) {
    metrics.add(refusals_metric,
                {{"reason", why->reason},
                 {"within_rate", why->within_rate ? "yes" : "no"}});
  }
  const bool left = why && why->reason == reasons::caller_left;
  if (why && outcome == request_outcome::unknown && !left) {
    log_event(events::outcome_unknown, relay_.request_id(), in_.call.to.name,
              why->reason);
  }
  root_.set("outcome", to_string(outcome));
  if (why) {
    root_.set("reason", why->reason);
  }
  stage_span_.end();
  relay_span_.end();
  root_.end();
  leave_waiting_limiter();
  timer_.cancel();
  context_.remove(in_.number);
}

void active_request::arm_timer() {
  if (ended_) {
    return;
  }
  time_point wake = deadline_;
  if (pools_machine_) {
    wake = pools_machine_->wake();
  } else if (plain_machine_) {
    wake = plain_machine_->wake();
  }
  if (wake == armed_for_) {
    return;
  }
  armed_for_ = wake;
  timer_.expires_at(wake);
  timer_.async_wait([context = &context_, number = in_.number](
                        const boost::system::error_code& error) {
    active_request* self = error ? nullptr : context->find(number);
    if (self != nullptr) {
      self->on_timer();
    }
  });
}

void active_request::leave_waiting_limiter() {
  if (waits_) {
    waits_ = false;
    context_.waiting.leave(in_.caller.organisation);
  }
}

}  // namespace citronwharf
