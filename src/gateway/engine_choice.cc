// Choice of the decode engine, which holds the memory of a generation, and of
// the engine that prefills its prompt.
#include <algorithm>

#include "gateway/engine_scheduler.h"

namespace citronwharf {
namespace {

// Assumed remaining output of a generation that has exceeded its expected
// output, as a share of the latter.
constexpr double overrun_share = 0.3;
// Limit on the engines with free memory that are considered for prefill on the
// decode engine.
constexpr std::size_t max_engine_choices = 12;
constexpr double requests_per_prompt = 1;
// Added to the first part of decode_cost(), which is 1 at most.
constexpr double cold_cost = 2;

// Exact for a factor of 1, so that equal engines are served as without it.
duration scaled(duration span, double factor) {
  return factor == 1 ? span : from_seconds(to_seconds(span) * factor);
}

granted_engine to_granted(const listed_server& in) {
  return {in.id, in.address, in.failure_domain, in.software_version};
}

}  // namespace

double engine_scheduler::generated_tokens(const lease& generation,
                                          double per_second, time_point now) {
  return std::max(0.0, to_seconds(now - generation.started) * per_second);
}

// Returns the tokens that the engine's generations hold now.
double engine_scheduler::used_tokens(const service& state,
                                     const engine& candidate,
                                     time_point now) const {
  const double per_second = stream_speed(state, candidate);
  double sum = 0;
  for (const lease_key& key : candidate.leases) {
    const lease& each = leases_.at(key);
    sum += static_cast<double>(each.prompt_tokens) +
           generated_tokens(each, per_second, now);
  }
  return sum;
}

// Returns the most tokens that the engine will hold at any time if it accepts
// this request and no other. All generations are assumed to grow at the same
// speed, and to free their memory at their expected end.
double engine_scheduler::peak_tokens_with(const service& state,
                                          const engine& candidate,
                                          const placement_ask& ask,
                                          time_point now) const {
  struct generation_growth {
    double remaining;  // tokens until its expected end
    double size;       // current tokens
  };
  const double per_second = stream_speed(state, candidate);
  std::vector<generation_growth> generations;
  generations.reserve(candidate.leases.size() + 1);
  generations.push_back({static_cast<double>(ask.output_tokens),
                         static_cast<double>(ask.prompt_tokens)});
  for (const lease_key& key : candidate.leases) {
    const lease& each = leases_.at(key);
    const double grown = generated_tokens(each, per_second, now);
    const auto expected = static_cast<double>(each.output_tokens);
    generations.push_back({std::max(expected - grown, overrun_share * expected),
                           static_cast<double>(each.prompt_tokens) + grown});
  }
  std::sort(generations.begin(), generations.end(),
            [](const generation_growth& lhs, const generation_growth& rhs) {
              return lhs.remaining < rhs.remaining;
            });
  double size = 0;
  for (const generation_growth& each : generations) {
    size += each.size;
  }
  double peak = size;
  auto active = static_cast<double>(generations.size());
  for (const generation_growth& each : generations) {
    peak = std::max(peak, size + active * each.remaining);
    size -= each.size;
    active -= 1;
  }
  return peak;
}

bool engine_scheduler::serves_stage(const engine& candidate,
                                    const placement_ask& ask,
                                    engine_stage stage, time_point now) {
  const bool other_version =
      stage == engine_stage::decode && !ask.software_version.empty() &&
      candidate.listed.software_version != ask.software_version;
  return candidate.listed.service == ask.service && !candidate.listed.leaving &&
         !other_version &&
         candidate.stage_switch.stage_now(candidate.listed.stage, now) == stage;
}

bool engine_scheduler::usable(const engine& candidate, time_point now) {
  return now >= candidate.stage_switch.until &&
         now >= candidate.outlier_until && now >= candidate.slow_until &&
         !candidate.ejection_state.holds(now);
}

// Returns the decode engines with memory for the request, warm ones first. Of
// equal engines, the one with the least memory in use comes first: streams of
// small batches are faster, and outputs may exceed what was expected.
std::vector<engine_scheduler::engine*> engine_scheduler::engines_with_memory(
    const service& state, const placement_ask& ask, time_point now) {
  std::vector<std::pair<std::pair<double, double>, engine*>> candidates;
  const double limit =
      static_cast<double>(state.profile.kv_tokens) * options_.max_memory_share;
  for (auto& [id, each] : engines_) {
    if (!serves_stage(each, ask, engine_stage::decode, now) ||
        now < each.full_until || !usable(each, now) ||
        ask.excluded.count(id) != 0 || state.awaited_engines.count(id) != 0 ||
        !takes_requests(id, requests_per_generation)) {
      continue;
    }
    const auto slots =
        static_cast<std::size_t>(std::max<std::int64_t>(1, each.listed.slots));
    const double in_use = used_tokens(state, each, now);
    if (each.leases.size() < slots &&
        in_use + static_cast<double>(ask.prompt_tokens) <= limit) {
      auto cost = decode_cost(state, each, in_use);
      // Cold engines come after all warm ones with memory.
      cost.first += is_cold(id) ? cold_cost : 0;
      candidates.emplace_back(cost, &each);
    }
  }
  // Of engines with the same cost the one with the lowest id comes first, so
  // that the choice does not depend on addresses.
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const auto& lhs, const auto& rhs) { return lhs.first < rhs.first; });
  std::vector<engine*> out;
  for (const auto& [cost, each] : candidates) {
    if (peak_tokens_with(state, *each, ask, now) <= limit) {
      out.push_back(each);
      if (out.size() == max_engine_choices) {
        break;
      }
    }
  }
  return out;
}

duration engine_scheduler::prompt_read_time(const service& state,
                                            const placement_ask& ask) {
  return from_seconds(state.prefill->s_per_token() *
                      static_cast<double>(ask.prompt_tokens));
}

// Returns the time that a decode engine needs for the prompt, at the fastest
// one if `decode` is null.
duration engine_scheduler::local_read_time(const service& state,
                                           const placement_ask& ask,
                                           const engine* decode) {
  const double slowdown =
      decode == nullptr
          ? 1
          : state.speed->local_prefill_slowdown(decode->listed.id);
  return scaled(prompt_read_time(state, ask) * 2, slowdown);
}

// Returns the time to the first event if the decode engine itself prefills the
// prompt.
duration engine_scheduler::local_prefill_wait(const service& state,
                                              const placement_ask& ask,
                                              const engine* decode) const {
  return state.prefill->latency() + local_read_time(state, ask, decode);
}

// Returns the time between two events of a stream on an engine that does not
// prefill; on any engine if `decode` is null.
duration engine_scheduler::event_interval(const service& state,
                                          const engine* decode) {
  const double per_second = decode == nullptr ? state.tokens_per_second
                                              : stream_speed(state, *decode);
  return from_seconds(static_cast<double>(state.profile.tokens_per_event) /
                      per_second);
}

// Returns the time that a decode engine spends on prefills, current and past,
// since its streams could last complete an event. Few steps of an event run
// beside a prefill.
duration engine_scheduler::prefill_time_in_event(const service& state,
                                                 const engine& decode,
                                                 time_point now) {
  return now < decode.prefill_busy_until + event_interval(state, &decode)
             ? decode.local_prefill_time
             : duration{};
}

// Returns whether streams meet the gap objective if the decode engine prefills
// the prompt. Prefill is split into chunks between the steps of the streams; no
// stream completes an event before this prompt and those before it, which take
// `prefill_time_ahead`, are done.
bool engine_scheduler::meets_gap_objective(const service& state,
                                           const placement_ask& ask,
                                           const engine* decode,
                                           duration prefill_time_ahead) const {
  if (ask.gap_us <= 0) {
    return true;
  }
  const duration gap = event_interval(state, decode) +
                       local_read_time(state, ask, decode) + prefill_time_ahead;
  return to_seconds(gap) <=
         options_.max_gap_share * to_seconds(from_microseconds(ask.gap_us));
}

// Returns whether the prompt can be prefilled, now or soon, without a stream
// missing its gap objective.
bool engine_scheduler::can_meet_gap_objective(const service& state,
                                              const placement_ask& ask,
                                              time_point now) const {
  return meets_gap_objective(state, ask, nullptr, {}) ||
         (ask.split &&
          std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
            const engine& each = entry.second;
            return serves_stage(each, ask, engine_stage::prefill, now) &&
                   usable(each, now) && !each.export_ejection.holds(now);
          }));
}

std::optional<engine_scheduler::prefill_choice>
engine_scheduler::choose_prefill_engine(const service& state,
                                        const engine& decode,
                                        const placement_ask& ask,
                                        time_point now) {
  if (!ask.split) {
    return std::nullopt;
  }
  const duration prefill_time = prompt_read_time(state, ask);
  std::optional<prefill_choice> best;
  for (auto& [id, each] : engines_) {
    if (!serves_stage(each, ask, engine_stage::prefill, now) ||
        !usable(each, now) || each.export_ejection.holds(now) ||
        now < each.exports_full_until || ask.excluded.count(id) != 0 ||
        !takes_requests(id, requests_per_prompt)) {
      continue;
    }
    const duration queue = std::max(duration{}, each.prefill_busy_until - now);
    const duration wait = queue + state.prefill->latency() +
                          from_seconds(to_seconds(prefill_time) *
                                       prefill_slowdown(state, each, now));
    const bool same_domain =
        each.listed.failure_domain == decode.listed.failure_domain;
    const duration cost =
        wait + (same_domain ? duration{} : options_.cross_domain_penalty) +
        (is_cold(id) ? options_.cold_penalty : duration{});
    if (!best || cost < best->cost) {
      best = {&each, wait, queue, cost};
    }
  }
  return best;
}

engine_scheduler::prefill_choice engine_scheduler::choose_prefill(
    const service& state, const engine& decode, const placement_ask& ask,
    time_point now) {
  prefill_choice local;
  local.wait = local_prefill_wait(state, ask, &decode) +
               std::max(duration{}, decode.prefill_busy_until - now);
  local.cost = local.wait + options_.local_prefill_penalty;
  const auto remote = choose_prefill_engine(state, decode, ask, now);
  return remote && remote->cost < local.cost ? *remote : local;
}

// Returns the decode engine that prefills the prompt beside its streams, or
// null if the request should wait: one stream is not served at the expense of
// all others of an engine.
engine_scheduler::engine* engine_scheduler::choose_local_prefill(
    const service& state, const std::vector<engine*>& eligible,
    const placement_ask& ask, time_point now) const {
  const auto suits = [&](const engine* each) {
    return each->leases.empty()
               ? now >= each->prefill_busy_until
               : meets_gap_objective(state, ask, each,
                                     prefill_time_in_event(state, *each, now));
  };
  const auto found = std::find_if(eligible.begin(), eligible.end(), suits);
  if (found != eligible.end()) {
    return *found;
  }
  const bool should_wait = ask.turn != placement_class::under_way &&
                           can_meet_gap_objective(state, ask, now);
  return should_wait ? nullptr : eligible.front();
}

std::optional<placement_grant> engine_scheduler::place(
    service& state, const waiting_request& waiting, time_point now) {
  const placement_ask& ask = waiting.ask;
  const std::vector<engine*> with_memory = engines_with_memory(state, ask, now);
  if (with_memory.empty()) {
    return std::nullopt;
  }
  engine* decode = with_memory.front();
  prefill_choice prefill = choose_prefill(state, *decode, ask, now);
  if (prefill.chosen == nullptr) {
    if (engine* prefill_engine =
            choose_local_prefill(state, with_memory, ask, now)) {
      decode = prefill_engine;
      prefill = choose_prefill(state, *decode, ask, now);
    } else if (const auto remote =
                   choose_prefill_engine(state, *decode, ask, now)) {
      prefill = *remote;
    } else {
      return std::nullopt;
    }
  }
  // The request would miss its deadline, and delay others that can still meet
  // theirs.
  if (ask.turn == placement_class::fresh &&
      now + prefill.wait > waiting.until) {
    return std::nullopt;
  }
  placement_grant out;
  out.id = ask.id;
  out.outcome = placement_outcome::placed;
  out.turn = ask.turn;
  out.decode = to_granted(decode->listed);
  out.wait_us = to_microseconds(prefill.wait);
  engine& prefill_engine =
      prefill.chosen != nullptr ? *prefill.chosen : *decode;
  duration prefill_time = local_prefill_wait(state, ask, decode);
  if (prefill.chosen != nullptr) {
    out.prefill = to_granted(prefill_engine.listed);
    prefill_time = busy_latency(state) +
                   from_seconds(state.prefill->s_per_token() *
                                prefill_slowdown(state, prefill_engine, now) *
                                static_cast<double>(ask.prompt_tokens));
    out.late_us = to_microseconds(
        latest_first_event(state, prefill.queue, prefill.wait - prefill.queue));
    prefill_engine.export_ejection.tried(options_.eject, now);
    prefill_engine.ejection_state.tried(options_.eject, now);
  }
  if (prefill.chosen == nullptr) {
    prefill_engine.local_prefill_time =
        prefill_time_in_event(state, prefill_engine, now) + prefill_time;
  }
  prefill_engine.prefill_busy_until =
      std::max(prefill_engine.prefill_busy_until, now) + prefill_time;
  decode->ejection_state.tried(options_.eject, now);
  if (limits_.take_requests) {
    limits_.take_requests(decode->listed.id, requests_per_generation);
    if (prefill.chosen != nullptr) {
      limits_.take_requests(prefill.chosen->listed.id, requests_per_prompt);
    }
  }
  const lease_key key{waiting.process, ask.id};
  remove_lease(key);
  leases_[key] = {ask.service,        decode->listed.id,
                  ask.prompt_tokens,  ask.output_tokens,
                  now + prefill.wait, prefill_engine.listed.id,
                  prefill_time};
  decode->leases.insert(key);
  return out;
}

}  // namespace citronwharf
