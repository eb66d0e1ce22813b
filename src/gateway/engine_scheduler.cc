#include "gateway/engine_scheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citronwharf {
namespace {

// Weight of the newest sample in moving averages.
constexpr double speed_weight = 0.05;
constexpr double slowdown_weight = 0.4;
// Shorter outputs are no reliable samples of stream speed.
constexpr std::int64_t min_sampled_output = 100;
// Shorter prompts are no reliable samples of prefill speed.
constexpr std::int64_t min_sampled_prompt = 1500;
// Upper bound of the measured slowdown; a slower engine is no better than one
// that does not answer.
constexpr double max_slowdown = 8;
constexpr duration arrival_window = seconds(1);
// Factor on predicted waits. Generations end in clusters; with this margin few
// of the queued requests miss their deadline.
constexpr double wait_margin = 1.2;
// Share of the memory released that less urgent requests can count on while
// more urgent ones keep arriving.
constexpr double min_urgency_share = 0.25;
constexpr std::int64_t all_urgencies = std::numeric_limits<std::int64_t>::max();
// Predicted wait if no memory is expected to be freed.
constexpr duration max_predicted_wait = seconds(10);

queue_item to_item(std::uint64_t number, const placement_ask& ask,
                   time_point until) {
  queue_item out;
  out.id = number;
  out.organisation = ask.organisation;
  out.cost = static_cast<double>(ask.prompt_tokens + ask.output_tokens);
  out.deadline = until;
  return out;
}

}  // namespace

engine_scheduler::engine_scheduler(engine_scheduler_options options,
                                   engine_limit_hooks limits)
    : options_(options), limits_(std::move(limits)) {}

void engine_scheduler::reset() {
  leases_.clear();
  for (auto& [id, each] : engines_) {
    each.leases.clear();
    each.prefill_busy_until = time_point{};
  }
  for (auto& [name, each] : services_) {
    service fresh;
    fresh.profile = each.profile;
    // Measured speeds do not depend on the leader.
    fresh.tokens_per_second = each.tokens_per_second;
    fresh.sampled_streams = each.sampled_streams;
    fresh.prefill = each.prefill;
    fresh.speed = each.speed;
    each = std::move(fresh);
  }
}

engine_scheduler::service& engine_scheduler::get_or_create_service(
    const std::string& name) {
  service& state = services_[name];
  if (!state.prefill) {
    state.tokens_per_second = options_.initial_tokens_per_second;
    state.prefill.emplace(options_.prefill);
    state.speed.emplace(options_.speed);
  }
  return state;
}

void engine_scheduler::set_profile(const std::string& service,
                                   const engine_profile& profile) {
  get_or_create_service(service).profile = profile;
}

void engine_scheduler::set_engines(const std::vector<listed_server>& listed) {
  std::set<std::string> ids;
  for (const listed_server& each : listed) {
    if (each.stage != engine_stage::none) {
      ids.insert(each.id);
      engines_[each.id].listed = each;
    }
  }
  for (auto each = engines_.begin(); each != engines_.end();) {
    if (ids.count(each->first) != 0) {
      ++each;
      continue;
    }
    for (const lease_key& key : each->second.leases) {
      leases_.erase(key);
    }
    get_or_create_service(each->second.listed.service)
        .speed->remove(each->first);
    each = engines_.erase(each);
  }
}

void engine_scheduler::begin_switch(const std::string& engine,
                                    const announced_switch& in) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.stage_switch = in;
  }
}

bool engine_scheduler::is_resubmitted(service& state, const placement_ask& in,
                                      time_point now) {
  while (!state.refusals.empty() &&
         now - state.refusals.front().first > options_.resubmission_window) {
    const auto& [at, prompt] = state.refusals.front();
    const auto found = state.refused.find(prompt);
    if (found != state.refused.end() && found->second == at) {
      state.refused.erase(found);
    }
    state.refusals.pop_front();
  }
  return state.refused.count(in.prompt) != 0;
}

void engine_scheduler::set_outlier(const std::string& engine, duration span,
                                   time_point now) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.outlier_until = now + span;
  }
}

void engine_scheduler::ask(const std::string& process, const placement_ask& in,
                           time_point now) {
  service& state = get_or_create_service(in.service);
  const std::uint64_t number = ++last_number_;
  waiting_request waiting{process, in, now + from_microseconds(in.max_wait_us),
                          false};
  if (in.turn == placement_class::under_way) {
    state.under_way.push_back(number);
  } else {
    const bool returned = is_resubmitted(state, in, now);
    state.arrivals.push_back(
        {now, in.urgency, in.prompt_tokens,
         returned ? 0 : in.prompt_tokens + in.output_tokens});
    if (returned) {
      waiting.ask.turn = placement_class::returned;
      waiting.until = now + options_.returned_max_wait;
    }
    urgency_queue& queue = waiting.ask.turn == placement_class::returned
                               ? state.returned
                               : state.fresh;
    if (!queue.push(to_item(number, in, waiting.until), in.urgency).ok()) {
      // The queue is full; the request expires at once.
      waiting.until = now;
    }
  }
  state.requests[number] = std::move(waiting);
}

void engine_scheduler::remove_request(service& state, std::uint64_t number) {
  state.under_way.erase(
      std::remove(state.under_way.begin(), state.under_way.end(), number),
      state.under_way.end());
  state.fresh.erase(number);
  state.returned.erase(number);
  state.requests.erase(number);
}

void engine_scheduler::remove_lease(const lease_key& key) {
  const auto found = leases_.find(key);
  if (found == leases_.end()) {
    return;
  }
  const auto at = engines_.find(found->second.engine);
  if (at != engines_.end()) {
    at->second.leases.erase(key);
  }
  leases_.erase(found);
}

void engine_scheduler::release(const std::string& process,
                               const placement_release& in) {
  const lease_key key{process, in.id};
  const auto found = leases_.find(key);
  if (found == leases_.end()) {
    for (auto& [name, state] : services_) {
      for (const auto& [number, waiting] : state.requests) {
        if (waiting.process == process && waiting.ask.id == in.id) {
          remove_request(state, number);
          return;
        }
      }
    }
    return;
  }
  if (in.unused) {
    const auto prefill_engine = engines_.find(found->second.prefill_engine);
    if (prefill_engine != engines_.end()) {
      prefill_engine->second.prefill_busy_until -= found->second.prefill_time;
    }
  }
  service& state = get_or_create_service(found->second.service);
  if (in.output_tokens >= min_sampled_output && in.span_us > 0) {
    add_stream_speed(state, static_cast<double>(in.output_tokens) /
                                to_seconds(from_microseconds(in.span_us)));
    add_stream_sample(state, found->second, in);
  }
  const lease ended = found->second;
  remove_lease(key);
  const auto decode_engine = engines_.find(ended.engine);
  // The prefills of all its generations are over, whatever was predicted.
  if (ended.prefill_engine == ended.engine && decode_engine != engines_.end() &&
      decode_engine->second.leases.empty()) {
    decode_engine->second.prefill_busy_until = time_point{};
  }
}

// Early samples weigh as much as later ones, so that the initial guess soon
// loses its influence.
void engine_scheduler::add_stream_speed(service& state,
                                        double tokens_per_second) {
  ++state.sampled_streams;
  const double weight =
      std::max(speed_weight, 1.0 / static_cast<double>(state.sampled_streams));
  state.tokens_per_second +=
      weight * (tokens_per_second - state.tokens_per_second);
}

duration engine_scheduler::busy_latency(const service& state) const {
  return from_seconds(options_.busy_latency_share *
                      to_seconds(state.prefill->latency()));
}

void engine_scheduler::add_prefill_sample(engine& observed,
                                          const engine_observation& in,
                                          time_point now) {
  service& state = get_or_create_service(observed.listed.service);
  learn_prefill(state, observed, in, now);
  const double unqueued_us =
      static_cast<double>(to_microseconds(state.prefill->predict(in.tokens)));
  const bool had_queue = static_cast<double>(in.predicted_us) >
                         options_.max_sampled_wait_ratio * unqueued_us;
  if (in.tokens >= min_sampled_prompt && in.span_us > 0 && !had_queue) {
    state.prefill->add_sample(in.tokens, from_microseconds(in.span_us));
  }
  if (in.predicted_us > 0) {
    const double ratio =
        static_cast<double>(in.span_us) / static_cast<double>(in.predicted_us);
    const double learned = state.speed->prefill_slowdown(in.server);
    const double predicted = prefill_slowdown(state, observed, now) / learned;
    const double measured = std::clamp(predicted * ratio, 1.0, max_slowdown);
    observed.slowdown = predicted + slowdown_weight * (measured - predicted);
    observed.slowdown_at = now;
  }
}

void engine_scheduler::check_stream_pace(engine& observed,
                                         const engine_observation& in,
                                         time_point now) {
  service& state = get_or_create_service(observed.listed.service);
  if (state.sampled_streams == 0 && in.span_us > 0) {
    // Only faster streams replace the initial guess: a slower one may come from
    // an unhealthy engine.
    state.tokens_per_second = std::max(
        state.tokens_per_second, static_cast<double>(in.tokens) /
                                     to_seconds(from_microseconds(in.span_us)));
  }
  const double expected_s =
      static_cast<double>(in.tokens) / stream_speed(state, observed);
  if (to_seconds(from_microseconds(in.span_us)) >
      options_.max_stream_slowdown * expected_s) {
    observed.slow_until = now + options_.slow_backoff;
  }
}

std::optional<duration> engine_scheduler::observe(const engine_observation& in,
                                                  time_point now) {
  const auto found = engines_.find(in.server);
  if (found == engines_.end()) {
    return std::nullopt;
  }
  engine& observed = found->second;
  switch (in.sign) {
    case engine_signal::prefilled:
      add_prefill_sample(observed, in, now);
      observed.ejection_state.served(options_.eject);
      return std::nullopt;
    case engine_signal::paced:
      check_stream_pace(observed, in, now);
      return std::nullopt;
    case engine_signal::answers:
      observed.ejection_state.served(options_.eject);
      return std::nullopt;
    case engine_signal::full:
      observed.full_until = now + options_.full_backoff;
      return std::nullopt;
    case engine_signal::exports_full:
      observed.exports_full_until = now + options_.full_backoff;
      return std::nullopt;
    case engine_signal::failed:
      return observed.ejection_state.failed(false, options_.eject, now);
    case engine_signal::silent:
      return observed.ejection_state.silent(options_.eject, now);
    case engine_signal::unreachable:
      return observed.ejection_state.failed(true, options_.eject, now);
    case engine_signal::export_gone:
      // Exports that were created together expire together, so that losses
      // during an ejection do not extend it.
      return observed.export_ejection.holds(now)
                 ? std::nullopt
                 : std::optional<duration>(
                       observed.export_ejection.eject(options_.eject, now));
  }
  return std::nullopt;
}

void engine_scheduler::add_claims(const std::string& process,
                                  const placement_claims& in, time_point now) {
  for (const placement_claim& each : in.claims) {
    const auto at = engines_.find(each.server);
    if (at == engines_.end()) {
      continue;
    }
    const lease_key key{process, each.id};
    remove_lease(key);
    lease& claimed = leases_[key];
    claimed.service = each.service;
    claimed.engine = each.server;
    claimed.prompt_tokens = each.prompt_tokens;
    claimed.output_tokens = each.output_tokens;
    claimed.started = now - from_microseconds(each.age_us);
    at->second.leases.insert(key);
  }
}

void engine_scheduler::remove_process(const std::string& process) {
  for (auto each = leases_.lower_bound({process, 0});
       each != leases_.end() && each->first.first == process;) {
    const lease_key key = each->first;
    ++each;
    remove_lease(key);
  }
  for (auto& [name, state] : services_) {
    std::vector<std::uint64_t> removed;
    for (const auto& [number, waiting] : state.requests) {
      if (waiting.process == process) {
        removed.push_back(number);
      }
    }
    for (const std::uint64_t number : removed) {
      remove_request(state, number);
    }
  }
}

bool engine_scheduler::has_decode_engine(const placement_ask& ask,
                                         time_point now) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    const auto& [id, each] = entry;
    return serves_stage(each, ask, engine_stage::decode, now) &&
           now >= each.stage_switch.until && ask.excluded.count(id) == 0;
  });
}

// Returns the tokens per second that are freed while all engines are busy: each
// generation frees all its memory once, at its end.
double engine_scheduler::release_rate(const std::string& name,
                                      const service& state,
                                      time_point now) const {
  double rate = 0;
  for (const auto& [key, each] : leases_) {
    if (each.service != name) {
      continue;
    }
    const auto at = engines_.find(each.engine);
    const double per_second = at == engines_.end()
                                  ? state.tokens_per_second
                                  : stream_speed(state, at->second);
    const double grown = generated_tokens(each, per_second, now);
    const double output =
        std::max(static_cast<double>(each.output_tokens), grown);
    const double lifetime_s = std::max(0.1, output / per_second);
    rate += (static_cast<double>(each.prompt_tokens) + output) / lifetime_s;
  }
  return rate;
}

void engine_scheduler::expire_arrivals(service& state, time_point now) {
  while (!state.arrivals.empty() &&
         now - state.arrivals.front().at > arrival_window) {
    state.arrivals.pop_front();
  }
}

// Returns the tokens per second that fresh requests, which can still be served
// in time, ask for.
double engine_scheduler::fresh_token_rate(service& state, std::int64_t urgency,
                                          time_point now) {
  expire_arrivals(state, now);
  double tokens = 0;
  for (const arrival& each : state.arrivals) {
    if (each.urgency < urgency) {
      tokens += static_cast<double>(each.fresh_tokens);
    }
  }
  return tokens / to_seconds(arrival_window);
}

// Returns the shortest possible time from the grant to the first event.
duration engine_scheduler::min_prefill_wait(const service& state,
                                            const placement_ask& ask,
                                            time_point now) const {
  duration best = local_prefill_wait(state, ask, nullptr);
  if (!ask.split) {
    return best;
  }
  for (const auto& [id, each] : engines_) {
    if (serves_stage(each, ask, engine_stage::prefill, now) &&
        usable(each, now)) {
      best =
          std::min(best, std::max(duration{}, each.prefill_busy_until - now) +
                             state.prefill->predict(ask.prompt_tokens));
    }
  }
  return best;
}

// Predicts the wait for memory from the tokens ahead in the queue: all of the
// classes that are served before, and in the request's own class as much as
// fair sharing between the waiting organisations serves before it.
duration engine_scheduler::predicted_wait(const std::string& name,
                                          service& state,
                                          const waiting_request& waiting,
                                          time_point now) const {
  const placement_ask& ask = waiting.ask;
  double tokens_ahead = 0;  // including its own
  for (const std::uint64_t number : state.under_way) {
    const placement_ask& first = state.requests.at(number).ask;
    tokens_ahead +=
        static_cast<double>(first.prompt_tokens + first.output_tokens);
  }
  const auto share = [&ask](const urgency_queue& in) {
    return in.cost_ahead(ask.organisation, ask.urgency);
  };
  if (ask.turn == placement_class::fresh) {
    tokens_ahead += share(state.fresh);
  } else if (ask.turn == placement_class::returned) {
    tokens_ahead += state.fresh.waiting_cost() + share(state.returned);
  }
  double rate = release_rate(name, state, now);
  if (ask.turn == placement_class::returned) {
    // Fresh requests keep arriving and are served first.
    rate -= fresh_token_rate(state, all_urgencies, now);
  } else if (ask.turn == placement_class::fresh && ask.urgency > 0) {
    // So do more urgent ones, which leave a part.
    rate = std::max(min_urgency_share * rate,
                    rate - fresh_token_rate(state, ask.urgency, now));
  }
  return rate <= 0 ? max_predicted_wait
                   : std::min(max_predicted_wait,
                              from_seconds(wait_margin * tokens_ahead / rate));
}

bool engine_scheduler::try_place(service& state, std::uint64_t number,
                                 time_point now,
                                 std::vector<placement_decision>& out) {
  const waiting_request& waiting = state.requests.at(number);
  auto grant = place(state, waiting, now);
  if (!grant) {
    return false;
  }
  grant->waiting = state.requests.size() - 1;
  out.push_back({waiting.process, *std::move(grant)});
  return true;
}

// Places streams that have begun, in order. One that waits for an engine of its
// software version only delays those that could go to the same engines. Returns
// whether other requests may be placed.
bool engine_scheduler::place_under_way(service& state, time_point now,
                                       std::vector<placement_decision>& out) {
  state.awaited_engines.clear();
  std::set<std::string> awaited_versions;  // all their engines are awaited
  for (auto next = state.under_way.begin(); next != state.under_way.end();) {
    const std::uint64_t number = *next;
    const placement_ask& ask = state.requests.at(number).ask;
    if (awaited_versions.count(ask.software_version) != 0) {
      ++next;
    } else if (try_place(state, number, now, out)) {
      next = state.under_way.erase(next);
      state.requests.erase(number);
    } else if (ask.software_version.empty()) {
      return false;
    } else {
      for (const auto& [id, each] : engines_) {
        if (serves_stage(each, ask, engine_stage::decode, now) &&
            ask.excluded.count(id) == 0) {
          state.awaited_engines.insert(id);
        }
      }
      if (ask.excluded.empty()) {
        awaited_versions.insert(ask.software_version);
      }
      ++next;
    }
  }
  return true;
}

void engine_scheduler::place_waiting(service& state, time_point now,
                                     std::vector<placement_decision>& out) {
  if (!place_under_way(state, now, out)) {
    return;
  }
  for (urgency_queue* queue : {&state.fresh, &state.returned}) {
    while (const auto item = queue->peek()) {
      if (!try_place(state, item->id, now, out)) {
        place_shorter(state, *queue, item->id, now, out);
        return;
      }
      queue->pop();
      state.requests.erase(item->id);
    }
  }
}

// Places shorter prompts while the first request waits for a prefill engine.
// They may be prefilled beside running streams, and do not delay the first
// request as long as there is memory for all.
void engine_scheduler::place_shorter(service& state, urgency_queue& queue,
                                     std::uint64_t first, time_point now,
                                     std::vector<placement_decision>& out) {
  const placement_ask& blocked = state.requests.at(first).ask;
  if (engines_with_memory(state, blocked, now).empty()) {
    return;
  }
  std::vector<std::uint64_t> shorter;
  for (const auto& [number, waiting] : state.requests) {
    if (waiting.ask.turn == blocked.turn &&
        waiting.ask.prompt_tokens < blocked.prompt_tokens) {
      shorter.push_back(number);
    }
  }
  for (const std::uint64_t number : shorter) {
    if (try_place(state, number, now, out)) {
      queue.erase(number);
      state.requests.erase(number);
    }
  }
}

void engine_scheduler::add_answer(service& state,
                                  const waiting_request& waiting,
                                  time_point now, placement_grant grant,
                                  std::vector<placement_decision>& out) {
  grant.id = waiting.ask.id;
  grant.turn = waiting.ask.turn;
  grant.waiting = state.requests.size();
  if (grant.outcome == placement_outcome::refused &&
      !waiting.ask.prompt.empty()) {
    state.refused[waiting.ask.prompt] = now;
    state.refusals.emplace_back(now, waiting.ask.prompt);
  }
  out.push_back({waiting.process, std::move(grant)});
}

// Answers requests that have not been answered yet: queued, or refused at once
// if they would not be served in time.
void engine_scheduler::answer_new_requests(
    const std::string& name, service& state, time_point now,
    std::vector<placement_decision>& out) {
  std::vector<std::uint64_t> ended;
  for (auto& [number, waiting] : state.requests) {
    if (waiting.notified) {
      continue;
    }
    // If there is memory for it, the request waits only for a prefill engine.
    const duration wait = engines_with_memory(state, waiting.ask, now).empty()
                              ? predicted_wait(name, state, waiting, now)
                              : duration{};
    placement_grant grant;
    grant.wait_us = to_microseconds(wait);
    if (!has_decode_engine(waiting.ask, now)) {
      grant.outcome = placement_outcome::not_leading;
    } else if (waiting.ask.turn != placement_class::under_way &&
               now + wait + min_prefill_wait(state, waiting.ask, now) >
                   waiting.until) {
      grant.outcome = placement_outcome::refused;
    } else {
      grant.outcome = placement_outcome::queued;
      waiting.notified = true;
    }
    if (grant.outcome != placement_outcome::queued) {
      ended.push_back(number);
    }
    add_answer(state, waiting, now, std::move(grant), out);
  }
  for (const std::uint64_t number : ended) {
    remove_request(state, number);
  }
}

void engine_scheduler::refuse_expired(service& state, time_point now,
                                      std::vector<placement_decision>& out) {
  std::vector<std::uint64_t> expired;
  for (const auto& [number, waiting] : state.requests) {
    const bool fresh = waiting.ask.turn == placement_class::fresh;
    const duration min_wait =
        fresh ? min_prefill_wait(state, waiting.ask, now) : duration{};
    if (waiting.notified && now + min_wait >= waiting.until) {
      expired.push_back(number);
      placement_grant grant;
      grant.outcome = placement_outcome::refused;
      add_answer(state, waiting, now, std::move(grant), out);
    }
  }
  for (const std::uint64_t number : expired) {
    remove_request(state, number);
  }
}

std::vector<placement_decision> engine_scheduler::decide(time_point now) {
  std::vector<placement_decision> out;
  for (auto& [name, state] : services_) {
    if (state.requests.empty()) {
      continue;
    }
    refuse_expired(state, now, out);
    place_waiting(state, now, out);
    answer_new_requests(name, state, now, out);
  }
  return out;
}

bool engine_scheduler::has_waiting() const {
  return std::any_of(services_.begin(), services_.end(), [](const auto& each) {
    return !each.second.requests.empty();
  });
}

std::vector<engine_usage> engine_scheduler::usage(time_point now) const {
  std::vector<engine_usage> out;
  for (const auto& [name, state] : services_) {
    if (state.requests.empty()) {
      continue;
    }
    engine_usage entry;
    entry.service = name;
    entry.waiting = state.requests.size();
    for (const auto& [id, each] : engines_) {
      if (each.listed.service != name) {
        continue;
      }
      entry.running += each.leases.size();
      if (each.listed.leaving || !usable(each, now)) {
        ++entry.unusable;
      } else if (each.stage_switch.stage_now(each.listed.stage, now) ==
                 engine_stage::prefill) {
        ++entry.prefill;
      } else {
        ++entry.decode;
        entry.held_tokens +=
            static_cast<std::int64_t>(used_tokens(state, each, now));
        entry.memory_tokens += state.profile.kv_tokens;
      }
    }
    out.push_back(std::move(entry));
  }
  return out;
}

std::set<std::string> engine_scheduler::failing(const std::string& service,
                                                time_point now) const {
  std::set<std::string> out;
  for (const auto& [id, each] : engines_) {
    if (each.listed.service == service &&
        (each.ejection_state.failing(options_.eject) ||
         now < each.outlier_until)) {
      out.insert(id);
    }
  }
  return out;
}

std::set<std::string> engine_scheduler::waiting_processes() const {
  std::set<std::string> out;
  for (const auto& [name, state] : services_) {
    for (const auto& [number, waiting] : state.requests) {
      out.insert(waiting.process);
    }
  }
  return out;
}

// Returns the tokens that will be held if requests keep arriving as they did in
// the arrival window: the arrival rate times the time for which each holds
// memory. Counts requests whether or not they got memory, so that the demand is
// known before generations have filled the engines.
double engine_scheduler::expected_held_tokens(const service& state) {
  double held = 0;
  for (const arrival& each : state.arrivals) {
    const double output =
        static_cast<double>(each.fresh_tokens - each.prompt_tokens);
    if (output > 0) {
      held += static_cast<double>(each.fresh_tokens) * output /
              state.tokens_per_second;
    }
  }
  return held / to_seconds(arrival_window);
}

engine_demand engine_scheduler::demand(const std::string& name,
                                       time_point now) {
  service& state = get_or_create_service(name);
  expire_arrivals(state, now);
  double prompt_tokens = 0;
  for (const arrival& each : state.arrivals) {
    prompt_tokens += static_cast<double>(each.prompt_tokens);
  }
  engine_demand out;
  // In engines as fast as those that prefill now.
  out.prefill = (prompt_tokens * state.prefill->s_per_token() +
                 static_cast<double>(state.arrivals.size()) *
                     to_seconds(busy_latency(state))) /
                to_seconds(arrival_window) / prefill_capacity(name, state, now);
  double held = state.fresh.waiting_cost() + state.returned.waiting_cost();
  for (const auto& [key, each] : leases_) {
    if (each.service == name) {
      held += static_cast<double>(each.prompt_tokens + each.output_tokens);
    }
  }
  held = std::max(held, expected_held_tokens(state));
  if (state.profile.kv_tokens > 0) {
    out.decode = held / static_cast<double>(state.profile.kv_tokens);
  }
  return out;
}

}  // namespace citronwharf
