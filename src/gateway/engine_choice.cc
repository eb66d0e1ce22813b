// Where a generation goes: the engine that holds its memory, and the one that
// reads its prompt.
#include <algorithm>

#include "gateway/engine_scheduler.h"

namespace citronwharf {
namespace {

// Of the expected output: what an answer that has outgrown it is taken to have
// left.
constexpr double outgrown_share = 0.3;
// Engines with room among which one is looked for that can read a prompt.
constexpr std::size_t max_choices = 12;

granted_engine to_granted(const listed_server& in) {
  return {in.id, in.address, in.failure_domain};
}

}  // namespace

double engine_scheduler::generated(const lease& of, double per_second,
                                   time_point now) const {
  return std::max(0.0, to_seconds(now - of.started) * per_second);
}

// Tokens that the engine's generations take now.
double engine_scheduler::used(const service& of, const engine& in,
                              time_point now) const {
  double sum = 0;
  for (const lease_key& key : in.leases) {
    const lease& each = leases_.at(key);
    sum += static_cast<double>(each.prompt_tokens) +
           generated(each, of.tokens_per_second, now);
  }
  return sum;
}

// Most tokens that the engine will hold at a time if it takes the request and
// nothing else: generations grow at one speed, and each frees all that it has
// at its expected end.
double engine_scheduler::peak_with(const service& of, const engine& in,
                                   const placement_ask& ask,
                                   time_point now) const {
  struct part {
    double left;  // tokens until its end
    double size;  // tokens now
  };
  std::vector<part> parts;
  parts.reserve(in.leases.size() + 1);
  parts.push_back({static_cast<double>(ask.output_tokens),
                   static_cast<double>(ask.prompt_tokens)});
  for (const lease_key& key : in.leases) {
    const lease& each = leases_.at(key);
    const double grown = generated(each, of.tokens_per_second, now);
    const auto expected = static_cast<double>(each.output_tokens);
    parts.push_back({std::max(expected - grown, outgrown_share * expected),
                     static_cast<double>(each.prompt_tokens) + grown});
  }
  std::sort(parts.begin(), parts.end(), [](const part& lhs, const part& rhs) {
    return lhs.left < rhs.left;
  });
  double size = 0;
  for (const part& each : parts) {
    size += each.size;
  }
  double peak = size;
  auto alive = static_cast<double>(parts.size());
  for (const part& each : parts) {
    peak = std::max(peak, size + alive * each.left);
    size -= each.size;
    alive -= 1;
  }
  return peak;
}

bool engine_scheduler::serves(const engine& in, const placement_ask& ask,
                              engine_stage stage, time_point now) {
  return in.listed.service == ask.service && !in.listed.leaving &&
         in.switched.stage_now(in.listed.stage, now) == stage;
}

bool engine_scheduler::usable(const engine& in, time_point now) {
  return now >= in.switched.until && now >= in.outlier_until &&
         now >= in.slow_until && !in.ejected.holds(now);
}

// The engine with the least in use comes first: streams of small batches are
// faster, and there is room for outputs beyond what was expected.
std::vector<engine_scheduler::engine*> engine_scheduler::fitting_engines(
    const service& of, const placement_ask& ask, time_point now) {
  std::vector<std::pair<double, engine*>> candidates;
  const double limit =
      static_cast<double>(of.profile.kv_tokens) * options_.memory_share;
  for (auto& [id, each] : engines_) {
    if (!serves(each, ask, engine_stage::decode, now) ||
        now < each.full_until || !usable(each, now) ||
        ask.excluded.count(id) != 0) {
      continue;
    }
    const auto slots =
        static_cast<std::size_t>(std::max<std::int64_t>(1, each.listed.slots));
    const double in_use = used(of, each, now);
    if (each.leases.size() < slots &&
        in_use + static_cast<double>(ask.prompt_tokens) <= limit) {
      candidates.emplace_back(in_use, &each);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<engine*> out;
  for (const auto& [in_use, each] : candidates) {
    if (peak_with(of, *each, ask, now) <= limit) {
      out.push_back(each);
      if (out.size() == max_choices) {
        break;
      }
    }
  }
  return out;
}

duration engine_scheduler::read_span(const service& of,
                                     const placement_ask& ask) {
  return from_seconds(of.prefill->s_per_token() *
                      static_cast<double>(ask.prompt_tokens));
}

// Until the first event, where the decode engine reads the prompt.
duration engine_scheduler::own_prefill_wait(const service& of,
                                            const placement_ask& ask) const {
  return of.prefill->latency() + read_span(of, ask) * 2;
}

// Between two events of a stream, without prompts.
duration engine_scheduler::event_span(const service& of) {
  return from_seconds(static_cast<double>(of.profile.tokens_per_event) /
                      of.tokens_per_second);
}

// Prompts that a decode engine reads or has read since its streams could last
// finish an event: few of an event's steps pass beside a prompt.
duration engine_scheduler::reads_in_event(const service& of,
                                          const engine& decode,
                                          time_point now) {
  return now < decode.reading_until + event_span(of) ? decode.own_reads
                                                     : duration{};
}

// A decode engine reads a prompt in pieces between the steps of its streams: no
// event of a stream that runs there comes before the prompt is read, nor before
// the others that it reads, for `reading`.
bool engine_scheduler::keeps_gaps(const service& of, const placement_ask& ask,
                                  duration reading) const {
  if (ask.gap_us <= 0) {
    return true;
  }
  const duration gap = event_span(of) + read_span(of, ask) * 2 + reading;
  return to_seconds(gap) <=
         options_.max_gap_share * to_seconds(from_microseconds(ask.gap_us));
}

// Whether the prompt can be read without a stream being late for it, now or
// before long.
bool engine_scheduler::may_keep_gaps(const service& of,
                                     const placement_ask& ask,
                                     time_point now) const {
  return keeps_gaps(of, ask, {}) ||
         (ask.split &&
          std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
            const engine& each = entry.second;
            return serves(each, ask, engine_stage::prefill, now) &&
                   usable(each, now) && !each.exports.holds(now);
          }));
}

std::optional<engine_scheduler::prefill_choice>
engine_scheduler::choose_prefill_engine(const service& of, const engine& decode,
                                        const placement_ask& ask,
                                        time_point now) {
  if (!ask.split) {
    return std::nullopt;
  }
  const duration read = read_span(of, ask);
  std::optional<prefill_choice> best;
  for (auto& [id, each] : engines_) {
    if (!serves(each, ask, engine_stage::prefill, now) || !usable(each, now) ||
        each.exports.holds(now) || now < each.exports_full_until ||
        ask.excluded.count(id) != 0) {
      continue;
    }
    const duration queue = std::max(duration{}, each.reading_until - now);
    const duration wait = queue + of.prefill->latency() +
                          from_seconds(to_seconds(read) * each.slowness);
    const bool near =
        each.listed.failure_domain == decode.listed.failure_domain;
    const duration cost =
        wait + (near ? duration{} : options_.distance_penalty);
    if (!best || cost < best->cost) {
      best = {&each, wait, cost};
    }
  }
  return best;
}

engine_scheduler::prefill_choice engine_scheduler::choose_prefill(
    const service& of, const engine& decode, const placement_ask& ask,
    time_point now) {
  prefill_choice own;
  own.wait = own_prefill_wait(of, ask) +
             std::max(duration{}, decode.reading_until - now);
  own.cost = own.wait + options_.own_prefill_penalty;
  const auto other = choose_prefill_engine(of, decode, ask, now);
  return other && other->cost < own.cost ? *other : own;
}

// Returns the decode engine that reads the prompt beside its streams; nothing
// where the request should rather wait: one stream isn't served at the expense
// of all others of an engine.
engine_scheduler::engine* engine_scheduler::choose_reader(
    const service& of, const std::vector<engine*>& among,
    const placement_ask& ask, time_point now) const {
  const auto suits = [&](const engine* each) {
    return each->leases.empty()
               ? now >= each->reading_until
               : keeps_gaps(of, ask, reads_in_event(of, *each, now));
  };
  const auto found = std::find_if(among.begin(), among.end(), suits);
  if (found != among.end()) {
    return *found;
  }
  const bool waits =
      ask.turn != placement_class::under_way && may_keep_gaps(of, ask, now);
  return waits ? nullptr : among.front();
}

std::optional<placement_grant> engine_scheduler::place(
    service& of, const waiting_ask& waiting, time_point now) {
  const placement_ask& ask = waiting.ask;
  const std::vector<engine*> fitting = fitting_engines(of, ask, now);
  if (fitting.empty()) {
    return std::nullopt;
  }
  engine* decode = fitting.front();
  prefill_choice prefill = choose_prefill(of, *decode, ask, now);
  if (prefill.at == nullptr) {
    if (engine* reader = choose_reader(of, fitting, ask, now)) {
      decode = reader;
      prefill = choose_prefill(of, *decode, ask, now);
    } else if (const auto other =
                   choose_prefill_engine(of, *decode, ask, now)) {
      prefill = *other;
    } else {
      return std::nullopt;
    }
  }
  // It would be late, and make others late that can still be in time.
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
  engine& reader = prefill.at != nullptr ? *prefill.at : *decode;
  duration read = own_prefill_wait(of, ask);
  if (prefill.at != nullptr) {
    out.prefill = to_granted(reader.listed);
    read = busy_latency(of) +
           from_seconds(of.prefill->s_per_token() * reader.slowness *
                        static_cast<double>(ask.prompt_tokens));
    reader.exports.tried(options_.eject, now);
    reader.ejected.tried(options_.eject, now);
  }
  if (prefill.at == nullptr) {
    reader.own_reads = reads_in_event(of, reader, now) + read;
  }
  reader.reading_until = std::max(reader.reading_until, now) + read;
  decode->ejected.tried(options_.eject, now);
  const lease_key key{waiting.process, ask.id};
  drop_lease(key);
  leases_[key] = {ask.service,
                  decode->listed.id,
                  ask.prompt_tokens,
                  ask.output_tokens,
                  now + prefill.wait,
                  reader.listed.id,
                  read};
  decode->leases.insert(key);
  return out;
}

}  // namespace citronwharf
