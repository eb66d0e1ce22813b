#include "entry/pools_state_machine.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int content_too_large = 413;
// A prefill is given up after its predicted time multiplied by this factor,
// plus the stall timeout.
constexpr int prefill_timeout_factor = 3;

// Other reasons are transient conditions or faults of other components.
bool is_endpoint_fault(failure_reason reason) {
  return reason == failure_reason::engine_lost ||
         reason == failure_reason::engine_refused ||
         reason == failure_reason::transfer_failed;
}

}  // namespace

pools_state_machine::pools_state_machine(pools_work work,
                                         pools_state_machine_options options,
                                         request_hooks hooks)
    : work_(std::move(work)), options_(options), hooks_(std::move(hooks)) {}

request_actions pools_state_machine::start(time_point now) {
  start_round(now);
  return take_actions();
}

// Starts a round: predicts the prefill time, then reserves decode memory.
void pools_state_machine::start_round(time_point now) {
  if (auto failure = hooks_.permitted(now)) {
    finish(std::move(failure));
    return;
  }
  predicted_prefill_ = duration{};
  if (!export_) {
    const auto prefills = hooks_.choose(
        {work_.prefill_pool, work_.organisation, work_.prefix_hash,
         context_tokens(), work_.max_tokens, "", excluded_prefill_},
        1, now);
    if (prefills.empty()) {
      schedule_retry(reasons::no_endpoint,
                     hooks_.retry_after(work_.prefill_pool, now), now);
      return;
    }
    predicted_prefill_ = prefills[0].predicted_wait + prefills[0].predicted_run;
  }
  try_next_decode(now);
}

void pools_state_machine::try_next_decode(time_point now) {
  const bool round_exhausted =
      excluded_decode_.size() >=
      static_cast<std::size_t>(options_.max_endpoints_per_round);
  const auto decodes =
      round_exhausted ? std::vector<placement_choice>{}
                      : hooks_.choose({work_.decode_pool, work_.organisation, 0,
                                       context_tokens(), work_.max_tokens, "",
                                       excluded_decode_},
                                      1, now);
  if (!decodes.empty()) {
    const std::string& chosen = decodes[0].endpoint;
    decode_ =
        assigned_attempt{chosen, hooks_.incarnation(chosen), next_key(), false};
    enter_stage(request_stage::reserve, chosen, now + options_.stall_timeout);
    send_reserve(now);
    return;
  }
  if (all_too_large_ && !may_have_run_) {
    finish_with_problem(content_too_large, reasons::too_large,
                        "no endpoint's memory holds the prompt and its answer",
                        {});
    return;
  }
  const bool any_refused = !excluded_decode_.empty();
  schedule_retry(any_refused ? reasons::no_memory : reasons::no_endpoint,
                 any_refused ? min_retry_after_
                             : hooks_.retry_after(work_.decode_pool, now),
                 now);
}

void pools_state_machine::send_reserve(time_point now) {
  send(decode_.endpoint, reserve_request{header(decode_, now), context_tokens(),
                                         work_.max_tokens - relayed_tokens_,
                                         to_microseconds(predicted_prefill_)});
}

request_actions pools_state_machine::on_reply(const std::string& from,
                                              const reserve_reply& reply,
                                              time_point now) {
  if (!match_or_cancel(decode_, from, reply.key) ||
      stage_ != request_stage::reserve ||
      reply.reason == failure_reason::duplicate) {
    return take_actions();
  }
  if (reply.reason != failure_reason::none) {
    handle_refusal(reply, now);
  } else {
    decode_ready_time_ = now + from_microseconds(reply.available_in_us);
    handle_grant(now);
  }
  return take_actions();
}

void pools_state_machine::handle_refusal(const reserve_reply& reply,
                                         time_point now) {
  const duration reported_retry_after = from_microseconds(reply.retry_after_us);
  const bool first_refusal = excluded_decode_.empty();
  min_retry_after_ = first_refusal
                         ? reported_retry_after
                         : std::min(min_retry_after_, reported_retry_after);
  all_too_large_ = reply.reason == failure_reason::too_large &&
                   (first_refusal || all_too_large_);
  excluded_decode_.push_back(decode_.endpoint);
  release(decode_, false);
  try_next_decode(now);
}

// Decode memory is reserved. Transfers an existing export if it will not expire
// too soon. Otherwise starts a prefill, delayed so that it does not end before
// the decode memory is available.
void pools_state_machine::handle_grant(time_point now) {
  all_too_large_ = false;
  if (export_ &&
      decode_ready_time_ + options_.export_margin < export_->expires) {
    start_decode(now);
    return;
  }
  discard_export();
  const time_point prefill_start = decode_ready_time_ - predicted_prefill_;
  if (prefill_start > now) {
    enter_stage(request_stage::wait, decode_.endpoint, prefill_start);
    return;
  }
  start_prefill(now);
}

void pools_state_machine::start_prefill(time_point now) {
  if (auto failure = hooks_.permitted(now)) {
    finish(std::move(failure));
    return;
  }
  const bool is_retry = prefill_count_ > 0;
  if (is_retry &&
      (prefill_count_ >= options_.max_prefills || !hooks_.take_retry())) {
    finish_with_problem(unavailable, reasons::attempts_used,
                        "the work failed and may not be tried again now",
                        hooks_.retry_after(work_.prefill_pool, now));
    return;
  }
  const auto choices =
      hooks_.choose({work_.prefill_pool, work_.organisation, work_.prefix_hash,
                     context_tokens(), work_.max_tokens, "", excluded_prefill_},
                    1, now);
  if (choices.empty()) {
    release(decode_, true);
    schedule_retry(reasons::no_endpoint,
                   hooks_.retry_after(work_.prefill_pool, now), now);
    return;
  }
  const placement_choice& choice = choices[0];
  prefill_ = assigned_attempt{
      choice.endpoint, hooks_.incarnation(choice.endpoint), next_key(), false};
  ++prefill_count_;
  const duration predicted = choice.predicted_wait + choice.predicted_run;
  enter_stage(
      request_stage::prefill, choice.endpoint,
      now + predicted * prefill_timeout_factor + options_.stall_timeout);
  send(choice.endpoint,
       prefill_request{header(prefill_, now), work_.model,
                       work_.prompt + relayed_text_, context_tokens()});
}

request_actions pools_state_machine::on_reply(const std::string& from,
                                              const prefill_reply& reply,
                                              time_point now) {
  if (!match_or_cancel(prefill_, from, reply.key) ||
      stage_ != request_stage::prefill ||
      reply.reason == failure_reason::duplicate) {
    return take_actions();
  }
  if (reply.reason != failure_reason::none) {
    handle_prefill_failure(reply.ran, now);
    return take_actions();
  }
  may_have_run_ = true;
  report(report_action::kind::succeeded, from);
  report(report_action::kind::measured, from, context_tokens(),
         from_microseconds(reply.run_us));
  export_ = kv_export{reply.export_id, reply.engine_address,
                      now + from_microseconds(reply.expires_in_us)};
  if (decode_.active() && !decode_.session_lost) {
    start_decode(now);
  } else {
    release(decode_, true);
    start_round(now);
  }
  return take_actions();
}

void pools_state_machine::handle_prefill_failure(bool ran, time_point now) {
  if (ran) {
    may_have_run_ = true;
    actions_.emplace_back(waste_action{context_tokens()});
    report(report_action::kind::failed, prefill_.endpoint);
  } else {
    --prefill_count_;
  }
  excluded_prefill_.push_back(prefill_.endpoint);
  release(prefill_, ran);
  start_prefill(now);
}

void pools_state_machine::start_decode(time_point now) {
  resume_count_ = 0;
  total_tokens_.reset();
  buffered_tokens_.clear();
  enter_stage(request_stage::decode, decode_.endpoint,
              now + options_.stall_timeout);
  send(decode_.endpoint,
       decode_request{header(decode_, now), work_.model, export_->id,
                      export_->engine_address,
                      to_microseconds(export_->expires - now), context_tokens(),
                      work_.max_tokens, relayed_tokens_});
}

request_actions pools_state_machine::on_reply(const std::string& from,
                                              const tokens_message& tokens,
                                              time_point now) {
  const bool streaming =
      stage_ == request_stage::decode || stage_ == request_stage::resume;
  if (match_or_cancel(decode_, from, tokens.key) && streaming) {
    handle_tokens(tokens, now);
  }
  return take_actions();
}

// Relays tokens in offset order: skips those already relayed and buffers those
// beyond a gap until the gap is filled.
void pools_state_machine::handle_tokens(const tokens_message& in,
                                        time_point now) {
  stage_wake_time_ = now + options_.stall_timeout;
  const auto end = in.offset + static_cast<std::int64_t>(in.tokens.size());
  if (in.offset < 0 || end > work_.max_tokens) {
    finish_with_problem(bad_gateway, reasons::bad_stream,
                        "the endpoint sent more than was asked", {});
    return;
  }
  if (in.offset > relayed_tokens_) {
    if (buffered_tokens_.size() < options_.max_buffered_frames) {
      buffered_tokens_[in.offset] = in.tokens;
    }
    return;
  }
  if (end <= relayed_tokens_) {
    return;
  }
  relay_to_caller(
      {in.tokens.begin() + (relayed_tokens_ - in.offset), in.tokens.end()});
  relay_buffered();
  if (total_tokens_ && relayed_tokens_ >= *total_tokens_) {
    finish(std::nullopt);
  }
}

void pools_state_machine::relay_to_caller(std::vector<std::string> tokens) {
  may_have_run_ = true;
  may_have_generated_ = true;
  for (const std::string& token : tokens) {
    relayed_text_ += token;
  }
  relayed_tokens_ += static_cast<std::int32_t>(tokens.size());
  refused_rounds_ = 0;
  actions_.emplace_back(relay_action{std::move(tokens)});
  if (export_) {  // the first tokens show that it was imported
    export_.reset();
    release(prefill_, true);
    report(report_action::kind::succeeded, decode_.endpoint);
  }
}

void pools_state_machine::relay_buffered() {
  while (!buffered_tokens_.empty() &&
         buffered_tokens_.begin()->first <= relayed_tokens_) {
    const auto [offset, tokens] = *buffered_tokens_.begin();
    buffered_tokens_.erase(buffered_tokens_.begin());
    const auto already_relayed =
        static_cast<std::size_t>(relayed_tokens_ - offset);
    if (already_relayed < tokens.size()) {
      relay_to_caller(
          {tokens.begin() + static_cast<std::ptrdiff_t>(already_relayed),
           tokens.end()});
    }
  }
}

request_actions pools_state_machine::on_reply(const std::string& from,
                                              const decode_finished& reply,
                                              time_point now) {
  const bool streaming =
      stage_ == request_stage::decode || stage_ == request_stage::resume;
  if (!match_or_cancel(decode_, from, reply.key) || !streaming ||
      reply.reason == failure_reason::duplicate) {
    return take_actions();
  }
  if (reply.reason == failure_reason::none) {
    handle_decode_finished(reply, now);
  } else {
    // After a lost session, "not run" may only mean that the endpoint no longer
    // knows the attempt.
    const bool ran = reply.ran || resume_count_ > 0;
    handle_decode_failure(is_endpoint_fault(reply.reason), ran, now);
  }
  return take_actions();
}

void pools_state_machine::handle_decode_finished(const decode_finished& in,
                                                 time_point now) {
  if (in.total_tokens < relayed_tokens_ || in.total_tokens > work_.max_tokens) {
    finish_with_problem(bad_gateway, reasons::bad_stream,
                        "the count of tokens does not fit the answer", {});
    return;
  }
  total_tokens_ = in.total_tokens;
  if (relayed_tokens_ == *total_tokens_) {
    finish(std::nullopt);
    return;
  }
  request_resume(now);
}

// Requests the stream again, starting after the last relayed token.
void pools_state_machine::request_resume(time_point now) {
  if (resume_count_ >= options_.max_resumes) {
    handle_decode_failure(true, true, now);
    return;
  }
  ++resume_count_;
  enter_stage(request_stage::decode, decode_.endpoint,
              now + options_.stall_timeout);
  send(decode_.endpoint,
       resume_request{decode_.key, decode_.incarnation, relayed_tokens_});
}

void pools_state_machine::handle_decode_failure(bool endpoint_fault, bool ran,
                                                time_point now) {
  may_have_run_ = may_have_run_ || ran;
  may_have_generated_ = may_have_generated_ || ran;
  if (relayed_tokens_ > 0 && relayed_tokens_ == work_.max_tokens) {
    finish(std::nullopt);  // complete: only the end message was lost
    return;
  }
  if (endpoint_fault) {
    report(report_action::kind::failed, decode_.endpoint);
  }
  excluded_decode_.push_back(decode_.endpoint);
  release(decode_, true);
  buffered_tokens_.clear();
  if (may_have_generated_ && !work_.idempotent) {
    finish_with_problem(bad_gateway, reasons::broken_off,
                        "the answer broke off and may not be generated again",
                        {});
    return;
  }
  start_round(now);
}

}  // namespace citronwharf
