/// A small model of prefill and decode endpoints and of what callers ask, for
/// bench_policy. Virtual time only.
#ifndef CITRONWHARF_BENCH_POLICY_MODEL_H_
#define CITRONWHARF_BENCH_POLICY_MODEL_H_

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "policy/admission.h"
#include "policy/fair_queue.h"
#include "policy/placement.h"
#include "policy/reservation_table.h"

namespace citronwharf::bench {

/// Which ways are combined in a run.
struct variant {
  std::string name;
  placement_policy place = placement_policy::predicted_wait;
  reservation_policy promise = reservation_policy::predicted_free;
  bool fair = true;
  bool oracle = false;  ///< sees every endpoint's state without lag
};

/// A deployment's size.
struct deployment {
  std::string name;
  int prefill = 6;
  int decode = 14;
  int entries = 3;
  duration hop = microseconds(500);  ///< one way between processes
};

struct scenario {
  deployment size;
  double load = 1;      ///< times capacity
  bool flood = false;   ///< the smallest organisation sends five times its rate
  bool faults = false;  ///< endpoints are lost and one leaves
  std::uint64_t seed = 1;
  duration length = seconds(40);
};

struct organisation_result {
  double weight = 1;
  int offered = 0;
  int good = 0;
  int refused = 0;
};

struct result {
  int offered = 0;
  int good = 0;          ///< complete, within both latency targets
  int late = 0;          ///< complete, outside a target
  int refused = 0;       ///< told "not run", with a time to come back
  int failed = 0;        ///< broken by a loss, or its prefill was wasted
  double prefilled = 0;  ///< tokens
  double wasted = 0;     ///< tokens whose result no decode endpoint took
  double seconds = 0;
  std::vector<organisation_result> organisations;
};

// The engines and what callers ask of them.
constexpr double prefill_speed = 40000;  // tokens a second
constexpr duration export_life = milliseconds(800);
constexpr std::int32_t piece_tokens = 256;
constexpr std::int32_t pieces_total = 200;
constexpr std::int32_t max_running = 24;
constexpr duration step_base = milliseconds(10);
constexpr duration step_per_request = microseconds(850);
constexpr double link_speed = 150000;  // tokens of KV cache a second
constexpr double far_link_share = 0.6;
constexpr duration first_token_target = milliseconds(580);
constexpr duration between_tokens_target = milliseconds(32);
constexpr double slow_gaps_allowed = 0.05;
constexpr duration report_lag = milliseconds(200);
constexpr duration loss_noticed = milliseconds(500);
constexpr double mean_prompt = 2000;
constexpr double mean_output = 120;
constexpr std::size_t cached_prefixes = 8;
constexpr int prefixes_per_organisation = 6;
constexpr double prefix_share = 0.4;  // of the prompt
constexpr int flood_factor = 5;

struct request {
  attempt_key key;
  int organisation = 0;
  int entry = 0;
  std::int32_t prompt = 0;
  std::int32_t output = 0;
  std::int32_t max_tokens = 0;
  std::uint64_t prefix = 0;
  time_point arrived;
  time_point latest;  // later than this the first token is not worth it
  int prefill = -1;
  int decode = -1;
  bool promised = false;
  duration ready_in{};
  time_point exported_until;
  time_point first_token;
  std::int32_t tokens = 0;
  std::int32_t slow_gaps = 0;
  int tries = 0;
  bool over = false;
  bool late = false;  // no time was left when it reached the endpoint
  std::vector<std::string> excluded;

  std::int32_t pieces() const {
    return (prompt + max_tokens + piece_tokens - 1) / piece_tokens;
  }
  time_point target() const { return arrived + first_token_target; }
};

struct prefill_endpoint {
  std::string name;
  fair_queue queue{{4096, 1024}};
  admission admits{{}};
  std::optional<std::uint64_t> current;
  time_point current_ends;
  std::deque<std::uint64_t> cache;
  bool up = true;
  endpoint_load report;
};

struct decode_endpoint {
  std::string name;
  std::optional<reservation_table> reservations;
  fair_queue desk{{4096, 1024}};
  fair_queue overdue{{4096, 1024}};  // served when nothing else waits
  admission admits{{}};
  std::vector<std::uint64_t> running;
  std::deque<std::uint64_t> importing;  // exported, wait for memory
  bool stepping = false;
  time_point link_free;
  bool up = true;
  bool leaving = false;
  endpoint_load report;
};

/// Returns the time between tokens of a batch.
inline duration step_time(std::size_t running) {
  return step_base + step_per_request * std::int64_t(running);
}

/// Returns requests a second that the deployment completes at best, which its
/// decode endpoints bound.
inline double capacity(const deployment& size) {
  const double pieces = (mean_prompt + 2 * mean_output) / piece_tokens;
  const double batch = std::min(double(max_running), pieces_total / pieces);
  const double step = to_seconds(step_time(std::size_t(batch)));
  return size.decode * batch / (mean_output * step);
}

/// Draws what an organisation's caller asks.
inline request draw_request(std::mt19937_64& random, int organisation) {
  std::lognormal_distribution<double> prompt(std::log(mean_prompt) - 0.5, 1);
  std::lognormal_distribution<double> output(std::log(mean_output) - 0.18, 0.6);
  std::uniform_real_distribution<double> slack(1, 3);
  request made;
  made.organisation = organisation;
  made.prompt = std::int32_t(std::clamp(prompt(random), 30.0, 16000.0));
  made.output = std::int32_t(std::clamp(output(random), 5.0, 600.0));
  made.max_tokens = std::int32_t(made.output * slack(random));
  made.prefix = 1 + std::uint64_t(organisation) * 1000 +
                random() % prefixes_per_organisation;
  return made;
}

/// Returns how long the prompt runs there, and renews the prefix cache.
inline duration run_prefill(prefill_endpoint& on, const request& r) {
  const auto found = std::find(on.cache.begin(), on.cache.end(), r.prefix);
  const bool cached = found != on.cache.end();
  if (cached) on.cache.erase(found);
  on.cache.push_front(r.prefix);
  if (on.cache.size() > cached_prefixes) on.cache.pop_back();
  const double tokens = r.prompt * (cached ? 1 - prefix_share : 1);
  return from_seconds(tokens / prefill_speed);
}

inline duration transfer_time(const request& r, bool near) {
  const double speed = link_speed * (near ? 1 : far_link_share);
  return from_seconds(r.prompt / speed);
}

inline endpoint_load load_of(const prefill_endpoint& p, time_point now) {
  endpoint_load load;
  load.incarnation = 1;
  load.running = p.current ? 1 : 0;
  load.waiting = std::int32_t(p.queue.size());
  const duration rest = p.current
                            ? std::max(p.current_ends - now, duration::zero())
                            : duration::zero();
  load.queue_delay_us = to_microseconds(
      rest + from_seconds(p.queue.waiting_cost() / prefill_speed));
  load.tokens_per_second = prefill_speed;
  return load;
}

inline endpoint_load load_of(const decode_endpoint& d) {
  endpoint_load load;
  load.incarnation = 1;
  load.pieces_total = pieces_total;
  load.piece_tokens = piece_tokens;
  load.pieces_free = d.reservations->free();
  load.running = std::int32_t(d.running.size());
  load.waiting = std::int32_t(d.desk.size());
  load.token_interval_us = to_microseconds(step_time(d.running.size()));
  const double rate = d.admits.rate();
  if (d.desk.size() > 0 && rate > 0) {
    load.queue_delay_us =
        to_microseconds(from_seconds(d.desk.waiting_cost() / rate));
  }
  load.leaving = d.leaving;
  return load;
}

}  // namespace citronwharf::bench

#endif  // CITRONWHARF_BENCH_POLICY_MODEL_H_
