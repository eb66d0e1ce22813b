/// What a run of bench_policy consists of: events, endpoints, entries and the
/// requests that callers send.
#ifndef CITRONWHARF_BENCH_POLICY_SIMULATION_H_
#define CITRONWHARF_BENCH_POLICY_SIMULATION_H_

#include <functional>
#include <queue>
#include <utility>

#include "policy/fair_share.h"
#include "policy_model.h"

namespace citronwharf::bench {

constexpr duration warm_up = seconds(5);  // not counted
constexpr duration drain = seconds(15);   // after the last arrival
constexpr double least_room = 0.05;       // of an endpoint's memory
// Without overload callers wait longer than the target rather than being
// refused.
constexpr duration patience = seconds(5);
constexpr int most_tries = 2;  // decode endpoints asked in turn
inline const std::vector<double>& organisation_weights() {
  static const std::vector<double> weights = {4, 3, 1, 1, 1};
  return weights;
}

inline bool has_room(const decode_endpoint& d) {
  return d.reservations->free() >= pieces_total * least_room;
}

/// The parts of a run and their events; policy_run takes requests through them.
class policy_simulation {
 public:
  policy_simulation(const variant& way, const scenario& what)
      : way_(way), what_(what), random_(what.seed) {
    set_up();
  }
  virtual ~policy_simulation() = default;
  policy_simulation(const policy_simulation&) = delete;
  policy_simulation& operator=(const policy_simulation&) = delete;

 protected:
  using id_type = std::uint64_t;
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> todo;
    bool operator<(const event& rhs) const {
      return std::tie(rhs.at, rhs.order) < std::tie(at, order);
    }
  };

  void at(time_point when, std::function<void()> todo) {
    events_.push({when, ++order_, std::move(todo)});
  }
  void after(duration span, std::function<void()> todo) {
    at(now_ + span, std::move(todo));
  }
  // Runs at the other process, one hop later.
  void hop(std::function<void()> todo) {
    after(what_.size.hop, std::move(todo));
  }

  void set_up() {
    configuration all;
    all.version = 1;
    const auto add = [&all](const std::string& name, endpoint_role role,
                            int i) {
      endpoint made;
      made.name = name;
      made.pool = role == endpoint_role::prefill ? "prefill" : "decode";
      made.role = role;
      made.failure_domain = std::string(1, char('a' + i % 3));
      all.endpoints.push_back(made);
    };
    prefill_.resize(std::size_t(what_.size.prefill));
    for (std::size_t i = 0; i < prefill_.size(); ++i) {
      prefill_[i].name = fmt::format("p{}", i);
      add(prefill_[i].name, endpoint_role::prefill, int(i));
    }
    reservation_options reservations;
    reservations.pieces_total = pieces_total;
    reservations.max_running = max_running;
    reservations.policy = way_.promise;
    decode_.resize(std::size_t(what_.size.decode));
    for (std::size_t i = 0; i < decode_.size(); ++i) {
      decode_[i].name = fmt::format("d{}", i);
      decode_[i].reservations.emplace(reservations);
      add(decode_[i].name, endpoint_role::decode, int(i));
    }
    for (int i = 0; i < (way_.oracle ? 1 : what_.size.entries); ++i) {
      placement_options options;
      options.policy = way_.place;
      options.entry = fmt::format("e{}", i);
      if (way_.oracle) options.report_lag = duration::zero();
      options.seed = what_.seed + std::uint64_t(i);
      entries_.emplace_back(options);
      shares_.emplace_back(fair_share_options{});
      entries_.back().configure(all);
    }
    for (const double weight : organisation_weights()) {
      result_.organisations.push_back({weight, 0, 0, 0});
    }
  }

  void plan_arrivals() {
    const auto& weights = organisation_weights();
    std::vector<double> rates = weights;
    if (what_.flood) rates.back() *= flood_factor;
    double sum = 0;
    for (const double each : rates) sum += each;
    for (std::size_t o = 0; o < rates.size(); ++o) {
      const double rate = what_.load * capacity(what_.size) * rates[o] / sum;
      std::exponential_distribution<double> gap(rate);
      time_point when = now_ + from_seconds(gap(random_));
      for (; when < now_ + what_.length; when += from_seconds(gap(random_))) {
        request made = draw_request(random_, int(o));
        made.arrived = when;
        made.entry = int(random_() % std::uint64_t(what_.size.entries));
        const id_type id = requests_.size();
        made.key = {fmt::format("e{}", made.entry), 1, id, 1};
        requests_.push_back(std::move(made));
        at(when, [this, id] { arrive(id); });
      }
    }
  }

  /// A request reached its entry.
  virtual void arrive(id_type id) = 0;

  request& of(id_type id) { return requests_[std::size_t(id)]; }
  bool counted(const request& r) const {
    return r.arrived >= time_point(seconds(1000)) + warm_up;
  }
  placement& entry_of(const request& r) {
    return entries_[way_.oracle ? 0 : std::size_t(r.entry)];
  }
  decode_endpoint& decode_of(const request& r) {
    return decode_[std::size_t(r.decode)];
  }

  // Engines report their load with a lag; replies carry the last report.
  void sample() {
    for (auto& each : prefill_) each.report = load_of(each, now_);
    for (auto& each : decode_) each.report = load_of(each);
    after(report_lag, [this] { sample(); });
  }
  template <typename Endpoint>
  void reply(const request& r, const Endpoint& from) {
    entry_of(r).observe(from.name, from.report, now_);
  }
  void look_everywhere(placement& by) {
    if (!way_.oracle) return;
    for (const auto& p : prefill_) {
      by.observe(p.name, load_of(p, now_), now_);
      by.reachable(p.name, p.up, now_);
    }
    for (const auto& d : decode_) {
      by.observe(d.name, load_of(d), now_);
      by.reachable(d.name, d.up, now_);
    }
  }

  placement_query query_of(const request& r, const char* pool) const {
    placement_query asked;
    asked.pool = pool;
    asked.prompt_tokens = r.prompt;
    asked.max_tokens = r.max_tokens;
    asked.excluded = r.excluded;
    return asked;
  }

  queue_item item_of(id_type id, double cost, time_point deadline) {
    queue_item item;
    item.id = id;
    const int o = of(id).organisation;
    item.organisation = way_.fair ? fmt::format("o{}", o) : "all";
    item.weight = way_.fair ? organisation_weights()[std::size_t(o)] : 1;
    item.service = of(id).late ? service_class::summary : service_class::lookup;
    item.cost = cost;
    item.deadline = deadline;
    return item;
  }

  variant way_;
  scenario what_;
  std::mt19937_64 random_;
  time_point now_{seconds(1000)};
  std::uint64_t order_ = 0;
  std::priority_queue<event> events_;
  std::vector<request> requests_;
  std::vector<prefill_endpoint> prefill_;
  std::vector<decode_endpoint> decode_;
  std::vector<placement> entries_;
  std::vector<fair_share> shares_;  // one an entry
  bool lost_noticed_ = false;
  result result_;
};

}  // namespace citronwharf::bench

#endif  // CITRONWHARF_BENCH_POLICY_SIMULATION_H_
