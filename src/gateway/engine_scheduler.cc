#include "gateway/engine_scheduler.h"

#include <algorithm>

namespace citronwharf {
namespace {

// Weight of the newest sample in averages of speed.
constexpr double speed_weight = 0.05;
constexpr double slowness_weight = 0.4;
// Streams below this say little of the speed.
constexpr std::int64_t min_metered_output = 100;
// Shorter prompts say little of an engine's speed.
constexpr std::int64_t min_metered_prompt = 1500;
// An engine that is this much slower than predicted is no better than silent.
constexpr double max_slowness = 8;
constexpr duration arrival_window = seconds(1);
// Generations end in clusters: of those that are expected to wait for so much
// less than they may, few wait in vain.
constexpr double wait_margin = 1.2;
// Without any release in sight.
constexpr duration long_wait = seconds(10);

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

engine_scheduler::service::service()
    : fresh(fair_queue_options{}), returned(fair_queue_options{}) {}

engine_scheduler::engine_scheduler(engine_scheduler_options options)
    : options_(options) {}

void engine_scheduler::reset() {
  leases_.clear();
  for (auto& [id, each] : engines_) {
    each.leases.clear();
    each.reading_until = time_point{};
  }
  for (auto& [name, each] : services_) {
    service fresh;
    fresh.profile = each.profile;
    // Engines are as fast as before, whoever leads.
    fresh.tokens_per_second = each.tokens_per_second;
    fresh.metered_streams = each.metered_streams;
    fresh.prefill = each.prefill;
    each = std::move(fresh);
  }
}

engine_scheduler::service& engine_scheduler::service_named(
    const std::string& name) {
  service& of = services_[name];
  if (!of.prefill) {
    of.tokens_per_second = options_.initial_tokens_per_second;
    of.prefill.emplace(options_.prefill);
  }
  return of;
}

void engine_scheduler::set_profile(const std::string& service,
                                   const engine_profile& profile) {
  service_named(service).profile = profile;
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
    each = engines_.erase(each);
  }
}

void engine_scheduler::switching(const std::string& engine,
                                 const announced_switch& in) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.switched = in;
  }
}

bool engine_scheduler::came_back(service& of, const placement_ask& in,
                                 time_point now) {
  while (!of.refusals.empty() &&
         now - of.refusals.front().first > options_.return_window) {
    const auto& [at, prompt] = of.refusals.front();
    const auto found = of.refused.find(prompt);
    if (found != of.refused.end() && found->second == at) {
      of.refused.erase(found);
    }
    of.refusals.pop_front();
  }
  return of.refused.count(in.prompt) != 0;
}

void engine_scheduler::mark_outlier(const std::string& engine, duration span,
                                    time_point now) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.outlier_until = now + span;
  }
}

void engine_scheduler::ask(const std::string& process, const placement_ask& in,
                           time_point now) {
  service& of = service_named(in.service);
  const std::uint64_t number = ++last_number_;
  waiting_ask waiting{process, in, now + from_microseconds(in.max_wait_us),
                      false};
  if (in.turn == placement_class::under_way) {
    of.under_way.push_back(number);
  } else {
    const bool returned = came_back(of, in, now);
    of.arrivals.push_back({now, in.prompt_tokens,
                           returned ? 0 : in.prompt_tokens + in.output_tokens});
    if (returned) {
      waiting.ask.turn = placement_class::returned;
      waiting.until = now + options_.returned_patience;
    }
    fair_queue& queue =
        waiting.ask.turn == placement_class::returned ? of.returned : of.fresh;
    if (!queue.push(to_item(number, in, waiting.until)).ok()) {
      // Beyond the queue's bound it could only expire.
      waiting.until = now;
    }
  }
  of.asks[number] = std::move(waiting);
}

void engine_scheduler::drop_ask(service& of, std::uint64_t number) {
  of.under_way.erase(
      std::remove(of.under_way.begin(), of.under_way.end(), number),
      of.under_way.end());
  of.fresh.erase(number);
  of.returned.erase(number);
  of.asks.erase(number);
}

void engine_scheduler::drop_lease(const lease_key& key) {
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
    for (auto& [name, of] : services_) {
      for (const auto& [number, waiting] : of.asks) {
        if (waiting.process == process && waiting.ask.id == in.id) {
          drop_ask(of, number);
          return;
        }
      }
    }
    return;
  }
  if (in.unused) {
    const auto reader = engines_.find(found->second.reader);
    if (reader != engines_.end()) {
      reader->second.reading_until -= found->second.read;
    }
  }
  service& of = service_named(found->second.service);
  if (in.output_tokens >= min_metered_output && in.span_us > 0) {
    take_stream(of, static_cast<double>(in.output_tokens) /
                        to_seconds(from_microseconds(in.span_us)));
  }
  drop_lease(key);
}

// The first streams count as much as later ones, so that the guess at the start
// is soon forgotten.
void engine_scheduler::take_stream(service& of, double tokens_per_second) {
  ++of.metered_streams;
  const double weight =
      std::max(speed_weight, 1.0 / static_cast<double>(of.metered_streams));
  of.tokens_per_second += weight * (tokens_per_second - of.tokens_per_second);
}

duration engine_scheduler::busy_latency(const service& of) const {
  return from_seconds(options_.busy_latency_share *
                      to_seconds(of.prefill->latency()));
}

void engine_scheduler::take_prefill(engine& at, const engine_observation& in) {
  service& of = service_named(at.listed.service);
  const double alone_us =
      static_cast<double>(to_microseconds(of.prefill->predict(in.tokens)));
  const bool waited = static_cast<double>(in.predicted_us) >
                      options_.max_metered_wait * alone_us;
  if (in.tokens >= min_metered_prompt && in.span_us > 0 && !waited) {
    of.prefill->take(in.tokens, from_microseconds(in.span_us));
  }
  if (in.predicted_us > 0) {
    const double ratio =
        static_cast<double>(in.span_us) / static_cast<double>(in.predicted_us);
    const double seen = std::clamp(at.slowness * ratio, 1.0, max_slowness);
    at.slowness += slowness_weight * (seen - at.slowness);
  }
}

void engine_scheduler::take_pace(engine& at, const engine_observation& in,
                                 time_point now) {
  service& of = service_named(at.listed.service);
  if (of.metered_streams == 0 && in.span_us > 0) {
    // One that is slower than the guess may be ill.
    of.tokens_per_second = std::max(
        of.tokens_per_second, static_cast<double>(in.tokens) /
                                  to_seconds(from_microseconds(in.span_us)));
  }
  const double usual_s = static_cast<double>(in.tokens) / of.tokens_per_second;
  if (to_seconds(from_microseconds(in.span_us)) >
      options_.max_pace_ratio * usual_s) {
    at.slow_until = now + options_.slow_lifetime;
  }
}

std::optional<duration> engine_scheduler::observe(const engine_observation& in,
                                                  time_point now) {
  const auto found = engines_.find(in.server);
  if (found == engines_.end()) {
    return std::nullopt;
  }
  engine& at = found->second;
  switch (in.sign) {
    case engine_signal::prefilled:
      take_prefill(at, in);
      at.ejected.served(options_.eject);
      return std::nullopt;
    case engine_signal::paced:
      take_pace(at, in, now);
      return std::nullopt;
    case engine_signal::answers:
      at.ejected.served(options_.eject);
      return std::nullopt;
    case engine_signal::full:
      at.full_until = now + options_.full_lifetime;
      return std::nullopt;
    case engine_signal::exports_full:
      at.exports_full_until = now + options_.full_lifetime;
      return std::nullopt;
    case engine_signal::failed:
      return at.ejected.failed(false, options_.eject, now);
    case engine_signal::silent:
    case engine_signal::unreachable:
      return at.ejected.failed(true, options_.eject, now);
    case engine_signal::export_gone:
      // Exports that were made together lapse together.
      return at.exports.holds(now) ? std::nullopt
                                   : std::optional<duration>(
                                         at.exports.eject(options_.eject, now));
  }
  return std::nullopt;
}

void engine_scheduler::claim(const std::string& process,
                             const placement_claims& in, time_point now) {
  for (const placement_claim& each : in.claims) {
    const auto at = engines_.find(each.server);
    if (at == engines_.end()) {
      continue;
    }
    const lease_key key{process, each.id};
    drop_lease(key);
    lease& claimed = leases_[key];
    claimed.service = each.service;
    claimed.engine = each.server;
    claimed.prompt_tokens = each.prompt_tokens;
    claimed.output_tokens = each.output_tokens;
    claimed.started = now - from_microseconds(each.age_us);
    at->second.leases.insert(key);
  }
}

void engine_scheduler::forget(const std::string& process) {
  for (auto each = leases_.lower_bound({process, 0});
       each != leases_.end() && each->first.first == process;) {
    const lease_key key = each->first;
    ++each;
    drop_lease(key);
  }
  for (auto& [name, of] : services_) {
    std::vector<std::uint64_t> gone;
    for (const auto& [number, waiting] : of.asks) {
      if (waiting.process == process) {
        gone.push_back(number);
      }
    }
    for (const std::uint64_t number : gone) {
      drop_ask(of, number);
    }
  }
}

bool engine_scheduler::has_engine(const placement_ask& ask,
                                  time_point now) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    const auto& [id, each] = entry;
    return serves(each, ask, engine_stage::decode, now) &&
           now >= each.switched.until && ask.excluded.count(id) == 0;
  });
}

// Tokens a second that come free while all engines are busy: each generation
// frees what it has once in its life.
double engine_scheduler::release_rate(const std::string& name,
                                      const service& of, time_point now) const {
  double rate = 0;
  for (const auto& [key, each] : leases_) {
    if (each.service != name) {
      continue;
    }
    const double grown = generated(each, of.tokens_per_second, now);
    const double output =
        std::max(static_cast<double>(each.output_tokens), grown);
    const double life_s = std::max(0.1, output / of.tokens_per_second);
    rate += (static_cast<double>(each.prompt_tokens) + output) / life_s;
  }
  return rate;
}

void engine_scheduler::forget_old_arrivals(service& of, time_point now) {
  while (!of.arrivals.empty() &&
         now - of.arrivals.front().at > arrival_window) {
    of.arrivals.pop_front();
  }
}

// Tokens a second that requests which can still be served in time ask for.
double engine_scheduler::fresh_rate(service& of, time_point now) {
  forget_old_arrivals(of, now);
  double tokens = 0;
  for (const arrival& each : of.arrivals) {
    tokens += static_cast<double>(each.fresh_tokens);
  }
  return tokens / to_seconds(arrival_window);
}

// From the grant to the first event, at best.
duration engine_scheduler::min_prefill_wait(const service& of,
                                            const placement_ask& ask,
                                            time_point now) const {
  duration best = own_prefill_wait(of, ask);
  if (!ask.split) {
    return best;
  }
  for (const auto& [id, each] : engines_) {
    if (serves(each, ask, engine_stage::prefill, now) && usable(each, now)) {
      best = std::min(best, std::max(duration{}, each.reading_until - now) +
                                of.prefill->predict(ask.prompt_tokens));
    }
  }
  return best;
}

// Those that go first by class, and of its own class what an equal share of the
// organisations that wait lets pass.
duration engine_scheduler::predicted_wait(const std::string& name, service& of,
                                          const waiting_ask& waiting,
                                          time_point now) const {
  const placement_ask& ask = waiting.ask;
  double ahead = 0;  // its own tokens included
  for (const std::uint64_t number : of.under_way) {
    const placement_ask& first = of.asks.at(number).ask;
    ahead += static_cast<double>(first.prompt_tokens + first.output_tokens);
  }
  const auto share = [&ask](const fair_queue& in) {
    return std::min(in.waiting_cost(),
                    in.waiting_cost_of(ask.organisation) * in.waiting_weight());
  };
  if (ask.turn == placement_class::fresh) {
    ahead += share(of.fresh);
  } else if (ask.turn == placement_class::returned) {
    ahead += of.fresh.waiting_cost() + share(of.returned);
  }
  double rate = release_rate(name, of, now);
  if (ask.turn == placement_class::returned) {
    // Requests that can still be served in time go on coming, and go first.
    rate -= fresh_rate(of, now);
  }
  return rate <= 0
             ? long_wait
             : std::min(long_wait, from_seconds(wait_margin * ahead / rate));
}

bool engine_scheduler::serve_one(service& of, std::uint64_t number,
                                 time_point now,
                                 std::vector<placement_decision>& out) {
  const waiting_ask& waiting = of.asks.at(number);
  auto grant = place(of, waiting, now);
  if (!grant) {
    return false;
  }
  grant->waiting = of.asks.size() - 1;
  out.push_back({waiting.process, *std::move(grant)});
  return true;
}

void engine_scheduler::serve(service& of, time_point now,
                             std::vector<placement_decision>& out) {
  while (!of.under_way.empty()) {
    const std::uint64_t number = of.under_way.front();
    if (!serve_one(of, number, now, out)) {
      return;
    }
    of.under_way.pop_front();
    of.asks.erase(number);
  }
  for (fair_queue* queue : {&of.fresh, &of.returned}) {
    while (const auto item = queue->peek()) {
      if (!serve_one(of, item->id, now, out)) {
        serve_shorter(of, *queue, item->id, now, out);
        return;
      }
      queue->pop();
      of.asks.erase(item->id);
    }
  }
}

// The first request waits for an engine that can read its prompt. Shorter
// prompts behind it may be read beside streams, and don't delay it while there
// is memory for all.
void engine_scheduler::serve_shorter(service& of, fair_queue& queue,
                                     std::uint64_t first, time_point now,
                                     std::vector<placement_decision>& out) {
  const placement_ask& blocked = of.asks.at(first).ask;
  if (fitting_engines(of, blocked, now).empty()) {
    return;
  }
  std::vector<std::uint64_t> shorter;
  for (const auto& [number, waiting] : of.asks) {
    if (waiting.ask.turn == blocked.turn &&
        waiting.ask.prompt_tokens < blocked.prompt_tokens) {
      shorter.push_back(number);
    }
  }
  for (const std::uint64_t number : shorter) {
    if (serve_one(of, number, now, out)) {
      queue.erase(number);
      of.asks.erase(number);
    }
  }
}

void engine_scheduler::tell(service& of, const waiting_ask& waiting,
                            time_point now, placement_grant grant,
                            std::vector<placement_decision>& out) {
  grant.id = waiting.ask.id;
  grant.turn = waiting.ask.turn;
  grant.waiting = of.asks.size();
  if (grant.outcome == placement_outcome::refused &&
      !waiting.ask.prompt.empty()) {
    of.refused[waiting.ask.prompt] = now;
    of.refusals.emplace_back(now, waiting.ask.prompt);
  }
  out.push_back({waiting.process, std::move(grant)});
}

// Who would wait in vain learns it at once.
void engine_scheduler::tell_new(const std::string& name, service& of,
                                time_point now,
                                std::vector<placement_decision>& out) {
  std::vector<std::uint64_t> ended;
  for (auto& [number, waiting] : of.asks) {
    if (waiting.told) {
      continue;
    }
    // With memory for it, it waits for an engine that can read its prompt.
    const duration wait = fitting_engines(of, waiting.ask, now).empty()
                              ? predicted_wait(name, of, waiting, now)
                              : duration{};
    placement_grant grant;
    grant.wait_us = to_microseconds(wait);
    if (!has_engine(waiting.ask, now)) {
      grant.outcome = placement_outcome::not_leading;
    } else if (waiting.ask.turn != placement_class::under_way &&
               now + wait + min_prefill_wait(of, waiting.ask, now) >
                   waiting.until) {
      grant.outcome = placement_outcome::refused;
    } else {
      grant.outcome = placement_outcome::queued;
      waiting.told = true;
    }
    if (grant.outcome != placement_outcome::queued) {
      ended.push_back(number);
    }
    tell(of, waiting, now, std::move(grant), out);
  }
  for (const std::uint64_t number : ended) {
    drop_ask(of, number);
  }
}

void engine_scheduler::expire(service& of, time_point now,
                              std::vector<placement_decision>& out) {
  std::vector<std::uint64_t> expired;
  for (const auto& [number, waiting] : of.asks) {
    const bool fresh = waiting.ask.turn == placement_class::fresh;
    const duration left =
        fresh ? min_prefill_wait(of, waiting.ask, now) : duration{};
    if (waiting.told && now + left >= waiting.until) {
      expired.push_back(number);
      placement_grant grant;
      grant.outcome = placement_outcome::refused;
      tell(of, waiting, now, std::move(grant), out);
    }
  }
  for (const std::uint64_t number : expired) {
    drop_ask(of, number);
  }
}

std::vector<placement_decision> engine_scheduler::decide(time_point now) {
  std::vector<placement_decision> out;
  for (auto& [name, of] : services_) {
    if (of.asks.empty()) {
      continue;
    }
    expire(of, now, out);
    serve(of, now, out);
    tell_new(name, of, now, out);
  }
  return out;
}

bool engine_scheduler::waiting() const {
  return std::any_of(services_.begin(), services_.end(), [](const auto& each) {
    return !each.second.asks.empty();
  });
}

std::vector<engine_census> engine_scheduler::census(time_point now) const {
  std::vector<engine_census> out;
  for (const auto& [name, of] : services_) {
    if (of.asks.empty()) {
      continue;
    }
    engine_census entry;
    entry.service = name;
    entry.waiting = of.asks.size();
    for (const auto& [id, each] : engines_) {
      if (each.listed.service != name) {
        continue;
      }
      entry.running += each.leases.size();
      if (each.listed.leaving || !usable(each, now)) {
        ++entry.unusable;
      } else if (each.switched.stage_now(each.listed.stage, now) ==
                 engine_stage::prefill) {
        ++entry.prefill;
      } else {
        ++entry.decode;
        entry.held_tokens += static_cast<std::int64_t>(used(of, each, now));
        entry.memory_tokens += of.profile.kv_tokens;
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
        (each.ejected.failing(options_.eject) || now < each.outlier_until)) {
      out.insert(id);
    }
  }
  return out;
}

std::set<std::string> engine_scheduler::waiting_processes() const {
  std::set<std::string> out;
  for (const auto& [name, of] : services_) {
    for (const auto& [number, waiting] : of.asks) {
      out.insert(waiting.process);
    }
  }
  return out;
}

// Tokens that the arrivals of the last second come to hold if they go on like
// this, by their rate and the span for which each holds memory. Known before
// generations have filled the engines, and whether they got memory or not.
double engine_scheduler::expected_hold(const service& of) {
  double held = 0;
  for (const arrival& each : of.arrivals) {
    const double output =
        static_cast<double>(each.fresh_tokens - each.prompt_tokens);
    if (output > 0) {
      held += static_cast<double>(each.fresh_tokens) * output /
              of.tokens_per_second;
    }
  }
  return held / to_seconds(arrival_window);
}

engine_load engine_scheduler::load(const std::string& name, time_point now) {
  service& of = service_named(name);
  forget_old_arrivals(of, now);
  double prompt_tokens = 0;
  for (const arrival& each : of.arrivals) {
    prompt_tokens += static_cast<double>(each.prompt_tokens);
  }
  engine_load out;
  out.prefill =
      (prompt_tokens * of.prefill->s_per_token() +
       static_cast<double>(of.arrivals.size()) * to_seconds(busy_latency(of))) /
      to_seconds(arrival_window);
  double held = of.fresh.waiting_cost() + of.returned.waiting_cost();
  for (const auto& [key, each] : leases_) {
    if (each.service == name) {
      held += static_cast<double>(each.prompt_tokens + each.output_tokens);
    }
  }
  held = std::max(held, expected_hold(of));
  if (of.profile.kv_tokens > 0) {
    out.decode = held / static_cast<double>(of.profile.kv_tokens);
  }
  return out;
}

}  // namespace citronwharf
