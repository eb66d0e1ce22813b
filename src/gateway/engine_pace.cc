// How the scheduler learns and uses the speed of each engine.
#include <algorithm>
#include <cmath>

#include "gateway/engine_scheduler.h"

namespace citronwharf {
namespace {

// Shorter prompts are no reliable samples of prefill speed.
constexpr std::int64_t min_sampled_prompt = 1500;
// Lower bound of a sample: an engine that has the prompt cached is no faster.
constexpr double min_prefill_ratio = 0.3;

}  // namespace

// Returns the tokens per second of a stream on the engine.
double engine_scheduler::stream_speed(const service& state,
                                      const engine& decode) {
  const double s_per_token =
      state.speed->s_per_token(decode.listed.id, decode.leases.size());
  return s_per_token > 0 ? 1 / s_per_token : state.tokens_per_second;
}

void engine_scheduler::add_stream_sample(service& state, const lease& ended,
                                         const placement_release& in) {
  const auto at = engines_.find(ended.engine);
  if (at != engines_.end()) {
    state.speed->add_stream(ended.engine,
                            to_seconds(from_microseconds(in.span_us)) /
                                static_cast<double>(in.output_tokens),
                            at->second.leases.size());
  }
}

// Learns from prefills that were not queued, since only these show the speed.
void engine_scheduler::learn_prefill(service& state, engine& observed,
                                     const engine_observation& in,
                                     time_point now) {
  if (in.tokens < min_sampled_prompt || in.predicted_us <= 0) {
    return;
  }
  const double latency_s = to_seconds(state.prefill->latency());
  const double read_s =
      state.prefill->s_per_token() * static_cast<double>(in.tokens);
  const double unqueued_s =
      latency_s + read_s * prefill_slowdown(state, observed, now);
  if (to_seconds(from_microseconds(in.predicted_us)) <=
      options_.max_sampled_wait_ratio * unqueued_s) {
    const double span_s = to_seconds(from_microseconds(in.span_us));
    state.speed->add_prefill(
        in.server, std::max(min_prefill_ratio, (span_s - latency_s) / read_s));
  }
}

// Returns the factor on the time of the fastest engine. Once engines are known
// to be unequal, the last prefills only show what a neighbour does.
double engine_scheduler::prefill_slowdown(const service& state,
                                          const engine& prefill,
                                          time_point now) const {
  if (!state.speed->prefills_differ()) {
    return prefill.slowdown;
  }
  const double age = to_seconds(now - prefill.slowdown_at) /
                     to_seconds(options_.neighbour_span);
  return state.speed->prefill_slowdown(prefill.listed.id) *
         (1 + (prefill.slowdown - 1) * std::exp(-age));
}

// Returns how long a prefill may take beside a busy neighbour; zero if engines
// are equal.
duration engine_scheduler::latest_first_event(const service& state,
                                              duration queue,
                                              duration unqueued) const {
  return state.speed->prefills_differ()
             ? from_seconds(to_seconds(queue + unqueued) *
                            state.speed->prefill_stretch())
             : duration{};
}

// Returns the mean speed of the prefill engines that prompts can rely on,
// relative to the fastest: unequal engines count as if beside a busy neighbour,
// since a prompt has to be prefilled in time there as well.
double engine_scheduler::prefill_capacity(const std::string& name,
                                          const service& state,
                                          time_point now) const {
  double sum = 0;
  double count = 0;
  for (const auto& [id, each] : engines_) {
    if (each.listed.service == name && !each.listed.leaving &&
        each.stage_switch.stage_now(each.listed.stage, now) ==
            engine_stage::prefill) {
      sum += 1 / state.speed->prefill_slowdown(id);
      count += 1;
    }
  }
  if (count == 0 || !state.speed->prefills_differ()) {
    return 1;
  }
  return sum / count / state.speed->prefill_stretch();
}

std::set<std::string> engine_scheduler::unequal_services() const {
  std::set<std::string> out;
  for (const auto& [name, state] : services_) {
    if (state.speed->prefills_differ() || state.speed->streams_differ()) {
      out.insert(name);
    }
  }
  return out;
}

// Returns what decode engines are ordered by: memory in use, or the time per
// token of the stream that would join the batch. Fast engines are filled first,
// as far as their batch stays faster.
std::pair<double, double> engine_scheduler::decode_cost(const service& state,
                                                        const engine& candidate,
                                                        double in_use) const {
  if (!state.speed->streams_differ()) {
    return {0, in_use};
  }
  const double preferred = options_.max_preferred_memory_share *
                           static_cast<double>(state.profile.kv_tokens);
  return {in_use > preferred ? 1 : 0,
          state.speed->s_per_token(candidate.listed.id,
                                   candidate.leases.size() + 1)};
}

}  // namespace citronwharf
