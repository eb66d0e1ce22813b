#include "entry/pools_state_machine.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int content_too_large = 413;
// A prefill that takes this many times its prediction counts as lost.
constexpr int prefill_patience = 3;

// Other reasons speak of the moment or of other parts.
bool blames_endpoint(failure_reason reason) {
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
  reserve(now);
  return take_actions();
}

// The first step of each round: predicts the prefill, then asks for memory.
void pools_state_machine::reserve(time_point now) {
  if (auto why = hooks_.permitted(now)) {
    finish(std::move(why));
    return;
  }
  ready_in_ = duration{};
  if (!export_) {
    const auto prefills = hooks_.choose(
        {work_.prefill_pool, work_.organisation, work_.prefix_hash,
         whole_prompt_tokens(), work_.max_tokens, "", excluded_prefill_},
        1, now);
    if (prefills.empty()) {
      wait(reasons::no_endpoint, hooks_.retry_after(work_.prefill_pool, now),
           now);
      return;
    }
    ready_in_ = prefills[0].predicted_wait + prefills[0].predicted_run;
  }
  next_decode(now);
}

void pools_state_machine::next_decode(time_point now) {
  const bool asked_enough = excluded_decode_.size() >=
                            static_cast<std::size_t>(options_.most_choices);
  const auto decodes =
      asked_enough ? std::vector<placement_choice>{}
                   : hooks_.choose({work_.decode_pool, work_.organisation, 0,
                                    whole_prompt_tokens(), work_.max_tokens, "",
                                    excluded_decode_},
                                   1, now);
  if (!decodes.empty()) {
    const std::string& chosen = decodes[0].endpoint;
    decode_ = placed{chosen, hooks_.incarnation(chosen), next_key(), false};
    enter(request_stage::reserve, chosen, now + options_.stall_limit);
    send_reserve(now);
    return;
  }
  if (too_large_ && !ran_) {
    give_up(content_too_large, reasons::too_large,
            "no endpoint's memory holds the prompt and its answer", {});
    return;
  }
  const bool refused_all = !excluded_decode_.empty();
  wait(refused_all ? reasons::no_memory : reasons::no_endpoint,
       refused_all ? retry_after_ : hooks_.retry_after(work_.decode_pool, now),
       now);
}

void pools_state_machine::send_reserve(time_point now) {
  send(decode_.endpoint,
       reserve_request{header(decode_, now), whole_prompt_tokens(),
                       work_.max_tokens - have_, to_microseconds(ready_in_)});
}

request_actions pools_state_machine::on_reply(const std::string& from,
                                              const reserve_reply& reply,
                                              time_point now) {
  if (!pending(decode_, from, reply.key) || stage_ != request_stage::reserve ||
      reply.reason == failure_reason::duplicate) {
    return take_actions();
  }
  if (reply.reason != failure_reason::none) {
    refused(reply, now);
  } else {
    decode_ready_ = now + from_microseconds(reply.available_in_us);
    granted(now);
  }
  return take_actions();
}

void pools_state_machine::refused(const reserve_reply& reply, time_point now) {
  const duration told = from_microseconds(reply.retry_after_us);
  const bool first = excluded_decode_.empty();
  retry_after_ = first ? told : std::min(retry_after_, told);
  too_large_ =
      reply.reason == failure_reason::too_large && (first || too_large_);
  excluded_decode_.push_back(decode_.endpoint);
  release(decode_, false);
  next_decode(now);
}

// Memory is promised. An export that lives long enough is transferred there;
// otherwise the prefill starts, not before its result can be taken.
void pools_state_machine::granted(time_point now) {
  too_large_ = false;
  if (export_ && decode_ready_ + options_.export_margin < export_->expires) {
    start_decode(now);
    return;
  }
  drop_export();
  const time_point begin = decode_ready_ - ready_in_;
  if (begin > now) {
    enter(request_stage::wait, decode_.endpoint, begin);
    return;
  }
  start_prefill(now);
}

void pools_state_machine::start_prefill(time_point now) {
  if (auto why = hooks_.permitted(now)) {
    finish(std::move(why));
    return;
  }
  const bool again = prefills_ > 0;
  if (again && (prefills_ >= options_.most_prefills || !hooks_.take_retry())) {
    give_up(unavailable, reasons::attempts_used,
            "the work failed and may not be tried again now",
            hooks_.retry_after(work_.prefill_pool, now));
    return;
  }
  const auto choices = hooks_.choose(
      {work_.prefill_pool, work_.organisation, work_.prefix_hash,
       whole_prompt_tokens(), work_.max_tokens, "", excluded_prefill_},
      1, now);
  if (choices.empty()) {
    release(decode_, true);
    wait(reasons::no_endpoint, hooks_.retry_after(work_.prefill_pool, now),
         now);
    return;
  }
  const placement_choice& choice = choices[0];
  prefill_ = placed{choice.endpoint, hooks_.incarnation(choice.endpoint),
                    next_key(), false};
  ++prefills_;
  const duration predicted = choice.predicted_wait + choice.predicted_run;
  enter(request_stage::prefill, choice.endpoint,
        now + predicted * prefill_patience + options_.stall_limit);
  send(choice.endpoint,
       prefill_request{header(prefill_, now), work_.model, work_.prompt + sent_,
                       whole_prompt_tokens()});
}

request_actions pools_state_machine::on_reply(const std::string& from,
                                              const prefill_reply& reply,
                                              time_point now) {
  if (!pending(prefill_, from, reply.key) || stage_ != request_stage::prefill ||
      reply.reason == failure_reason::duplicate) {
    return take_actions();
  }
  if (reply.reason != failure_reason::none) {
    prefill_failed(reply.ran, now);
    return take_actions();
  }
  ran_ = true;
  report(report_action::kind::succeeded, from);
  report(report_action::kind::measured, from, whole_prompt_tokens(),
         from_microseconds(reply.run_us));
  export_ = exported{reply.export_id, reply.engine_address,
                     now + from_microseconds(reply.expires_in_us)};
  if (decode_.active() && !decode_.lost) {
    start_decode(now);
  } else {
    release(decode_, true);
    reserve(now);
  }
  return take_actions();
}

void pools_state_machine::prefill_failed(bool ran, time_point now) {
  if (ran) {
    ran_ = true;
    actions_.emplace_back(waste_action{whole_prompt_tokens()});
    report(report_action::kind::failed, prefill_.endpoint);
  } else {
    --prefills_;
  }
  excluded_prefill_.push_back(prefill_.endpoint);
  release(prefill_, ran);
  start_prefill(now);
}

void pools_state_machine::start_decode(time_point now) {
  resumes_ = 0;
  total_.reset();
  crossed_.clear();
  enter(request_stage::decode, decode_.endpoint, now + options_.stall_limit);
  send(decode_.endpoint,
       decode_request{header(decode_, now), work_.model, export_->id,
                      export_->engine_address,
                      to_microseconds(export_->expires - now),
                      whole_prompt_tokens(), work_.max_tokens, have_});
}

request_actions pools_state_machine::on_reply(const std::string& from,
                                              const tokens_message& tokens,
                                              time_point now) {
  const bool streaming =
      stage_ == request_stage::decode || stage_ == request_stage::resume;
  if (pending(decode_, from, tokens.key) && streaming) {
    take_tokens(tokens, now);
  }
  return take_actions();
}

// Tokens are relayed in order of offset: what the caller has is skipped, what
// is ahead waits for the gap to be filled.
void pools_state_machine::take_tokens(const tokens_message& in,
                                      time_point now) {
  stage_wake_ = now + options_.stall_limit;
  const auto end = in.offset + static_cast<std::int64_t>(in.tokens.size());
  if (in.offset < 0 || end > work_.max_tokens) {
    give_up(bad_gateway, reasons::bad_stream,
            "the endpoint sent more than was asked", {});
    return;
  }
  if (in.offset > have_) {
    if (crossed_.size() < options_.most_crossed) {
      crossed_[in.offset] = in.tokens;
    }
    return;
  }
  if (end <= have_) {
    return;
  }
  relay({in.tokens.begin() + (have_ - in.offset), in.tokens.end()});
  relay_crossed();
  if (total_ && have_ >= *total_) {
    finish(std::nullopt);
  }
}

void pools_state_machine::relay(std::vector<std::string> tokens) {
  ran_ = true;
  generated_ = true;
  for (const std::string& token : tokens) {
    sent_ += token;
  }
  have_ += static_cast<std::int32_t>(tokens.size());
  rounds_ = 0;
  actions_.emplace_back(relay_action{std::move(tokens)});
  if (export_) {  // it was imported
    export_.reset();
    release(prefill_, true);
    report(report_action::kind::succeeded, decode_.endpoint);
  }
}

void pools_state_machine::relay_crossed() {
  while (!crossed_.empty() && crossed_.begin()->first <= have_) {
    const auto [offset, tokens] = *crossed_.begin();
    crossed_.erase(crossed_.begin());
    const auto known = static_cast<std::size_t>(have_ - offset);
    if (known < tokens.size()) {
      relay(
          {tokens.begin() + static_cast<std::ptrdiff_t>(known), tokens.end()});
    }
  }
}

request_actions pools_state_machine::on_reply(const std::string& from,
                                              const decode_finished& reply,
                                              time_point now) {
  const bool streaming =
      stage_ == request_stage::decode || stage_ == request_stage::resume;
  if (!pending(decode_, from, reply.key) || !streaming ||
      reply.reason == failure_reason::duplicate) {
    return take_actions();
  }
  if (reply.reason == failure_reason::none) {
    take_end(reply, now);
  } else {
    // After a broken session "not run" may only mean "not known any more".
    const bool ran = reply.ran || resumes_ > 0;
    decode_failed(blames_endpoint(reply.reason), ran, now);
  }
  return take_actions();
}

void pools_state_machine::take_end(const decode_finished& in, time_point now) {
  if (in.total_tokens < have_ || in.total_tokens > work_.max_tokens) {
    give_up(bad_gateway, reasons::bad_stream,
            "the count of tokens does not fit the answer", {});
    return;
  }
  total_ = in.total_tokens;
  if (have_ == *total_) {
    finish(std::nullopt);
    return;
  }
  resume(now);
}

// Asks for the stream again from what the caller has.
void pools_state_machine::resume(time_point now) {
  if (resumes_ >= options_.most_resumes) {
    decode_failed(true, true, now);
    return;
  }
  ++resumes_;
  enter(request_stage::decode, decode_.endpoint, now + options_.stall_limit);
  send(decode_.endpoint,
       resume_request{decode_.key, decode_.incarnation, have_});
}

void pools_state_machine::decode_failed(bool blamed, bool ran, time_point now) {
  ran_ = ran_ || ran;
  generated_ = generated_ || ran;
  if (have_ > 0 && have_ == work_.max_tokens) {
    finish(std::nullopt);  // no answer is longer: only its end was lost
    return;
  }
  if (blamed) {
    report(report_action::kind::failed, decode_.endpoint);
  }
  excluded_decode_.push_back(decode_.endpoint);
  release(decode_, true);
  crossed_.clear();
  if (generated_ && !work_.idempotent) {
    give_up(bad_gateway, reasons::broken_off,
            "the answer broke off and may not be generated again", {});
    return;
  }
  reserve(now);
}

}  // namespace citronwharf
