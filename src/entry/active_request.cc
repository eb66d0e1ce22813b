#include "entry/active_request.h"

#include <fmt/format.h>
#include <algorithm>
#include <utility>

#include "base/configuration_json.h"

namespace citronwharf {
namespace {

constexpr int too_many_requests = 429;
constexpr int unavailable = 503;
// By this time after its deadline the owner of a claim has certainly ended.
constexpr duration claim_lease_margin = seconds(5);
constexpr duration max_claim_wait = seconds(5);
constexpr duration max_claim_finish_wait = seconds(30);
constexpr int caller_closed = 499;

std::string service_name(service_class service) {
  return nlohmann::json(service).get<std::string>();
}

}  // namespace

std::string format_request_id(const process_context& process,
                              std::uint64_t number) {
  return fmt::format("{}-{:x}-{}", process.options.process, process.incarnation,
                     number);
}

active_request::active_request(entry_context& context, accepted_request request,
                               std::unique_ptr<http_exchange> exchange,
                               active_span root)
    : context_(context),
      request_(std::move(request)),
      relay_(std::move(exchange),
             format_request_id(context.process, request_.number)),
      root_(std::move(root)),
      timer_(context.process.loop),
      accepted_at_(runtime_clock::now()),
      deadline_(accepted_at_ + milliseconds(request_.call.to.deadline_ms)) {
  if (const auto* call = std::get_if<pools_call>(&request_.call.call)) {
    relay_.set_streaming(call->stream);
  }
  root_.set("route", request_.call.to.name);
  root_.set("request", relay_.request_id());
}

active_request::~active_request() {
  leave_waiting_limiter();
}

void active_request::start() {
  relay_.on_closed([this] { on_caller_left(); });
  arm_timer();
  if (!request_.caller.keyed) {
    start_state_machine();
    return;
  }
  stage_span_ = context_.process.traces.start("allow", root_.context());
  pending_allowance_id_ = context_.allowances.acquire(
      request_.caller.organisation, cost_of(request_.call), deadline_,
      [context = &context_, number = request_.number](const auto& decision) {
        if (active_request* self = context->find(number)) {
          self->on_allowance_decision(decision);
        }
      });
}

void active_request::on_allowance_decision(const allowance_decision& decision) {
  charged_allowance_id_ = pending_allowance_id_;
  pending_allowance_id_ = 0;
  if (ended_) {
    if (decision.granted) {
      context_.allowances.give_back(charged_allowance_id_,
                                    cost_of(request_.call));
    }
    return;
  }
  if (!decision.granted) {
    refuse(problem{too_many_requests, request_outcome::not_run, reasons::rate,
                   "the organisation's allowance is used up",
                   std::max<duration>(decision.retry_after, milliseconds(1)),
                   decision.within_rate});
    return;
  }
  charged_tokens_ = cost_of(request_.call);
  request_claim();
}

// A request with an Idempotency-Key continues once its claim is durable.
void active_request::request_claim() {
  if (!request_.claim) {
    start_state_machine();
    return;
  }
  stage_span_ = context_.process.traces.start("claim", root_.context());
  const time_point now = runtime_clock::now();
  request_.claim->owner = relay_.request_id();
  request_.claim->life_us =
      to_microseconds(deadline_ - now + claim_lease_margin);
  relay_.store_text();
  pending_claim_id_ = context_.claims.claim(
      *request_.claim, std::min(deadline_, now + max_claim_wait),
      [context = &context_,
       number = request_.number](const claim_reply& reply) {
        if (active_request* self = context->find(number)) {
          self->on_claim_reply(reply);
        }
      });
}

void active_request::on_claim_reply(const claim_reply& reply) {
  pending_claim_id_ = 0;
  if (ended_) {
    return;
  }
  if (auto failure = claim_problem(reply.state)) {
    // Without an answer the claim may have been granted, so it is released.
    claim_unfinished_ = reply.state == claim_state::unavailable;
    refuse(std::move(*failure));
    return;
  }
  if (reply.state == claim_state::done) {
    replay(reply.answer);
    return;
  }
  claim_unfinished_ = true;
  start_state_machine();
}

void active_request::replay(const claimed_answer& answer) {
  if (std::holds_alternative<plain_call>(request_.call.call)) {
    relay_.replay_plain(answer.status, answer.headers, answer.body);
  } else {
    relay_.replay(answer.body, answer.tokens);
  }
  refund_unused(0);
  complete_request(request_outcome::done, std::nullopt);
}

// Reports the outcome of a claimed request to the control replicas.
void active_request::finish_claim(request_outcome outcome) {
  if (!claim_unfinished_) {
    return;
  }
  claim_unfinished_ = false;
  claim_finish out;
  out.name = request_.claim->name;
  out.owner = request_.claim->owner;
  if (outcome == request_outcome::done) {
    out.end = claim_end::done;
    out.answer = std::move(answer_);
    if (pools_machine_) {
      out.answer.body = relay_.text();
      out.answer.tokens = relay_.token_count();
    }
  } else if (outcome == request_outcome::not_run) {
    out.end = claim_end::not_run;
  }
  context_.claims.finish(std::move(out),
                         runtime_clock::now() + max_claim_finish_wait);
}

void active_request::start_state_machine() {
  context_.retries.record_request();
  if (auto* call = std::get_if<pools_call>(&request_.call.call)) {
    start_pools(*call);
  } else {
    start_plain(std::move(std::get<plain_call>(request_.call.call)));
  }
}

void active_request::start_pools(const pools_call& call) {
  const route& to = request_.call.to;
  pools_work work;
  work.key = base_key();
  work.organisation = request_.caller.organisation;
  work.weight = request_.caller.weight;
  work.service = service_name(to.service);
  work.model = to.model;
  work.prefill_pool = to.prefill_pool;
  work.decode_pool = to.decode_pool;
  work.prompt = call.prompt;
  work.prompt_tokens = call.prompt_tokens;
  work.max_tokens = call.max_tokens;
  work.prefix_hash = prefix_hash(to.model, call.prompt);
  work.deadline = deadline_;
  work.idempotent = to.idempotent;
  pools_machine_ = std::make_unique<pools_state_machine>(
      std::move(work), pools_state_machine_options{}, make_hooks());
  perform(pools_machine_->start(runtime_clock::now()));
}

void active_request::start_plain(plain_call call) {
  const route& to = request_.call.to;
  plain_work work;
  work.key = base_key();
  work.organisation = request_.caller.organisation;
  work.weight = request_.caller.weight;
  work.service = service_name(to.service);
  work.pool = to.plain_pool;
  work.method = std::move(call.method);
  work.target = std::move(call.target);
  work.headers = std::move(call.headers);
  work.body = std::move(call.body);
  work.deadline = deadline_;
  work.idempotent = to.idempotent;
  plain_machine_ = std::make_unique<plain_state_machine>(
      std::move(work), plain_state_machine_options{}, make_hooks());
  perform(plain_machine_->start(runtime_clock::now()));
}

request_hooks active_request::make_hooks() {
  request_hooks hooks;
  hooks.choose = [&places = context_.places](const placement_query& query,
                                             std::size_t max_choices,
                                             time_point now) {
    return places.choose(query, max_choices, now);
  };
  hooks.retry_after = [&places = context_.places](const std::string& pool,
                                                  time_point now) {
    return places.retry_after(pool, now);
  };
  hooks.incarnation = [&peers =
                           context_.process.peers](const std::string& name) {
    return peers.session_incarnation(name);
  };
  hooks.permitted = [&view = context_.process.view,
                     caller = request_.caller](time_point now) {
    return permitted(caller, view, now);
  };
  hooks.take_retry = [&retries = context_.retries] {
    return retries.try_spend();
  };
  return hooks;
}

attempt_key active_request::base_key() const {
  return {context_.process.options.process, context_.process.incarnation,
          request_.number, 0};
}

void active_request::on_session(const std::string& endpoint,
                                std::uint64_t incarnation) {
  const time_point now = runtime_clock::now();
  if (pools_machine_) {
    perform(pools_machine_->on_session(endpoint, incarnation, now));
  } else if (plain_machine_) {
    perform(plain_machine_->on_session(endpoint, incarnation, now));
  }
}

void active_request::on_configuration() {
  const time_point now = runtime_clock::now();
  if (pools_machine_) {
    perform(pools_machine_->on_configuration(now));
    return;
  }
  if (plain_machine_ || ended_) {
    return;
  }
  const auto failure = permitted(request_.caller, context_.process.view, now);
  if (failure && failure->reason == reasons::key_withdrawn) {
    refuse(*failure);
  }
}

void active_request::on_timer() {
  const time_point now = runtime_clock::now();
  timer_wake_time_ = time_point{};
  if (pools_machine_) {
    perform(pools_machine_->on_timer(now));
  } else if (plain_machine_) {
    perform(plain_machine_->on_timer(now));
  } else if (now >= deadline_) {
    refuse(problem{unavailable, request_outcome::not_run, reasons::deadline,
                   "the deadline has passed", seconds(1), true});
  }
  arm_timer();
}

void active_request::on_caller_left() {
  relay_.close();
  const time_point now = runtime_clock::now();
  if (pools_machine_) {
    perform(pools_machine_->on_cancel(now));
  } else if (plain_machine_) {
    perform(plain_machine_->on_cancel(now));
  } else {
    refuse(problem{caller_closed,
                   request_outcome::not_run,
                   reasons::caller_left,
                   "the caller left",
                   {},
                   false});
  }
}

std::vector<held_attempt> active_request::held() const {
  if (pools_machine_) {
    return pools_machine_->held();
  }
  return plain_machine_ ? plain_machine_->held() : std::vector<held_attempt>{};
}

// Ends a request whose state machine has not started.
void active_request::refuse(problem failure) {
  if (ended_) {
    return;
  }
  if (pending_allowance_id_ != 0) {
    context_.allowances.abandon(pending_allowance_id_);
    pending_allowance_id_ = 0;
  }
  if (pending_claim_id_ != 0) {
    context_.claims.abandon(pending_claim_id_);
    pending_claim_id_ = 0;
    claim_unfinished_ = true;  // it may have been granted
  }
  refund_unused(0);
  relay_.fail(failure);
  complete_request(failure.outcome, failure);
}

}  // namespace citronwharf
