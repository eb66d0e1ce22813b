#include "entry/active_request.h"

#include <fmt/format.h>
#include <algorithm>
#include <utility>

#include "base/configuration_json.h"

namespace citronwharf {
namespace {

constexpr int too_many_requests = 429;
constexpr int caller_closed = 499;

std::string service_name(service_class service) {
  return nlohmann::json(service).get<std::string>();
}

std::string request_name(const process_context& process, std::uint64_t number) {
  return fmt::format("{}-{:x}-{}", process.options.process, process.incarnation,
                     number);
}

}  // namespace

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
  leave_waiting_room();
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
  allowance_id_ = 0;
  if (ended_) {
    if (decision.granted) {
      context_.allowances.give_back(in_.caller.organisation, cost_of(in_.call));
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
  place();
}

void active_request::place() {
  context_.retries.fresh();
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
  pools_life_ = std::make_unique<request_life>(
      std::move(work), request_life_options{}, make_hooks());
  perform(pools_life_->start(runtime_clock::now()));
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
  plain_life_ = std::make_unique<plain_life>(
      std::move(work), plain_life_options{}, make_hooks());
  perform(plain_life_->start(runtime_clock::now()));
}

life_hooks active_request::make_hooks() {
  life_hooks hooks;
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
  hooks.take_retry = [&retries = context_.retries] { return retries.take(); };
  return hooks;
}

attempt_key active_request::base_key() const {
  return {context_.process.options.process, context_.process.incarnation,
          in_.number, 0};
}

void active_request::on_session(const std::string& endpoint,
                                std::uint64_t incarnation) {
  const time_point now = runtime_clock::now();
  if (pools_life_) {
    perform(pools_life_->on_session(endpoint, incarnation, now));
  } else if (plain_life_) {
    perform(plain_life_->on_session(endpoint, incarnation, now));
  }
}

void active_request::on_configuration() {
  const time_point now = runtime_clock::now();
  if (pools_life_) {
    perform(pools_life_->on_configuration(now));
    return;
  }
  if (plain_life_ || ended_) {
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
  if (pools_life_) {
    perform(pools_life_->on_timer(now));
  } else if (plain_life_) {
    perform(plain_life_->on_timer(now));
  } else if (now >= deadline_) {
    refuse(problem{503, request_outcome::not_run, reasons::deadline,
                   "the deadline has passed", seconds(1), true});
  }
  arm_timer();
}

void active_request::caller_left() {
  relay_.drop();
  const time_point now = runtime_clock::now();
  if (pools_life_) {
    perform(pools_life_->on_cancel(now));
  } else if (plain_life_) {
    perform(plain_life_->on_cancel(now));
  } else {
    refuse(problem{caller_closed,
                   request_outcome::not_run,
                   reasons::caller_left,
                   "the caller left",
                   {},
                   false});
  }
}

std::vector<held_work> active_request::held() const {
  if (pools_life_) {
    return pools_life_->held();
  }
  return plain_life_ ? plain_life_->held() : std::vector<held_work>{};
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
  relay_.broken(why);
  end(why.outcome, why);
}

}  // namespace citronwharf
