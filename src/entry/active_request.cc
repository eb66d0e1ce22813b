#include "entry/active_request.h"

#include <fmt/format.h>
#include <algorithm>
#include <utility>

#include "base/configuration_json.h"

namespace citronwharf {
namespace {

constexpr int too_many_requests = 429;
constexpr int unavailable = 503;
// A claim's owner has surely ended this long after its deadline.
constexpr duration claim_margin = seconds(5);
constexpr duration longest_claim = seconds(5);
constexpr duration longest_claim_finish = seconds(30);
constexpr int caller_closed = 499;

std::string service_name(service_class service) {
  return nlohmann::json(service).get<std::string>();
}

}  // namespace

std::string request_name(const process_context& process, std::uint64_t number) {
  return fmt::format("{}-{:x}-{}", process.options.process, process.incarnation,
                     number);
}

active_request::active_request(entry_context& context, accepted_request in,
                               std::unique_ptr<http_exchange> exchange,
                               active_span root)
    : context_(context),
      in_(std::move(in)),
      relay_(std::move(exchange), request_name(context.process, in_.number)),
      root_(std::move(root)),
      timer_(context.process.loop),
      accepted_at_(runtime_clock::now()),
      deadline_(accepted_at_ + milliseconds(in_.call.to.deadline_ms)) {
  if (const auto* call = std::get_if<pools_call>(&in_.call.call)) {
    relay_.set_stream(call->stream);
  }
  root_.set("route", in_.call.to.name);
  root_.set("request", relay_.request_id());
}

active_request::~active_request() {
  leave_waiting_limiter();
}

void active_request::start() {
  relay_.on_closed([this] { caller_left(); });
  arm_timer();
  if (!in_.caller.keyed) {
    place();
    return;
  }
  stage_span_ = context_.process.traces.start("allow", root_.context());
  allowance_id_ = context_.allowances.acquire(
      in_.caller.organisation, cost_of(in_.call), deadline_,
      [context = &context_, number = in_.number](const auto& decision) {
        if (active_request* self = context->find(number)) {
          self->allowed(decision);
        }
      });
}

void active_request::allowed(const allowance_decision& decision) {
  charge_id_ = allowance_id_;
  allowance_id_ = 0;
  if (ended_) {
    if (decision.granted) {
      context_.allowances.give_back(charge_id_, cost_of(in_.call));
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
  charged_ = cost_of(in_.call);
  claim();
}

// A request with an Idempotency-Key goes on once its claim is synced.
void active_request::claim() {
  if (!in_.claim) {
    place();
    return;
  }
  stage_span_ = context_.process.traces.start("claim", root_.context());
  const time_point now = runtime_clock::now();
  in_.claim->owner = relay_.request_id();
  in_.claim->life_us = to_microseconds(deadline_ - now + claim_margin);
  relay_.keep_text();
  claim_id_ = context_.claims.claim(
      *in_.claim, std::min(deadline_, now + longest_claim),
      [context = &context_, number = in_.number](const claim_reply& reply) {
        if (active_request* self = context->find(number)) {
          self->claim_answered(reply);
        }
      });
}

void active_request::claim_answered(const claim_reply& reply) {
  claim_id_ = 0;
  if (ended_) {
    return;
  }
  if (auto why = claim_problem(reply.state)) {
    // Without an answer the claim may stand: it is let go.
    claimed_ = reply.state == claim_state::unavailable;
    refuse(std::move(*why));
    return;
  }
  if (reply.state == claim_state::done) {
    replay(reply.answer);
    return;
  }
  claimed_ = true;
  place();
}

void active_request::replay(const claimed_answer& answer) {
  if (std::holds_alternative<plain_call>(in_.call.call)) {
    relay_.replay_plain(answer.status, answer.headers, answer.body);
  } else {
    relay_.replay(answer.body, answer.tokens);
  }
  settle(0);
  end(request_outcome::done, std::nullopt);
}

// Tells the control replicas what became of a claimed request.
void active_request::finish_claim(request_outcome outcome) {
  if (!claimed_) {
    return;
  }
  claimed_ = false;
  claim_finish out;
  out.name = in_.claim->name;
  out.owner = in_.claim->owner;
  if (outcome == request_outcome::done) {
    out.end = claim_end::done;
    out.answer = std::move(answer_);
    if (pools_machine_) {
      out.answer.body = relay_.text();
      out.answer.tokens = relay_.count();
    }
  } else if (outcome == request_outcome::not_run) {
    out.end = claim_end::not_run;
  }
  context_.claims.finish(std::move(out),
                         runtime_clock::now() + longest_claim_finish);
}

void active_request::place() {
  context_.retries.record_request();
  if (auto* call = std::get_if<pools_call>(&in_.call.call)) {
    place_pools(*call);
  } else {
    place_plain(std::move(std::get<plain_call>(in_.call.call)));
  }
}

void active_request::place_pools(const pools_call& call) {
  const route& to = in_.call.to;
  pools_work work;
  work.key = base_key();
  work.organisation = in_.caller.organisation;
  work.weight = in_.caller.weight;
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

void active_request::place_plain(plain_call call) {
  const route& to = in_.call.to;
  plain_work work;
  work.key = base_key();
  work.organisation = in_.caller.organisation;
  work.weight = in_.caller.weight;
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
                                             std::size_t most, time_point now) {
    return places.choose(query, most, now);
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
                     caller = in_.caller](time_point now) {
    return permitted(caller, view, now);
  };
  hooks.take_retry = [&retries = context_.retries] {
    return retries.try_spend();
  };
  return hooks;
}

attempt_key active_request::base_key() const {
  return {context_.process.options.process, context_.process.incarnation,
          in_.number, 0};
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
  const auto why = permitted(in_.caller, context_.process.view, now);
  if (why && why->reason == reasons::key_withdrawn) {
    refuse(*why);
  }
}

void active_request::on_timer() {
  const time_point now = runtime_clock::now();
  armed_for_ = time_point{};
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

void active_request::caller_left() {
  relay_.drop();
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

// Ends a request whose life has not begun.
void active_request::refuse(problem why) {
  if (ended_) {
    return;
  }
  if (allowance_id_ != 0) {
    context_.allowances.abandon(allowance_id_);
    allowance_id_ = 0;
  }
  if (claim_id_ != 0) {
    context_.claims.abandon(claim_id_);
    claim_id_ = 0;
    claimed_ = true;  // it may have been granted
  }
  settle(0);
  relay_.broken(why);
  end(why.outcome, why);
}

}  // namespace citronwharf
