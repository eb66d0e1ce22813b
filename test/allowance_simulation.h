// Simulates entries that share allowances, in virtual time and with injected
// faults.
#ifndef CITRONWHARF_TEST_ALLOWANCE_SIMULATION_H_
#define CITRONWHARF_TEST_ALLOWANCE_SIMULATION_H_

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "policy/allowance_home.h"
#include "policy/allowance_lease.h"
#include "policy/home_assignment.h"

namespace citronwharf::test {

using wire_message =
    std::variant<allowance_ask, allowance_settle, allowance_refund,
                 allowance_cancel, allowance_grant, allowance_refusal>;

struct simulation_options {
  bool inject_faults = true;
  double relative_load = 3;  // multiple of the rate
  double refund_probability = 0.4;
  duration length = seconds(12);
};

constexpr int entry_count = 3;
constexpr int tenant_count = 2;
constexpr double rate = 1000;
constexpr double burst = 600;
const home_timing timing{seconds(1), milliseconds(200), milliseconds(20)};

inline configuration make_configuration(std::uint64_t version,
                                        unsigned members) {
  configuration result;
  result.version = version;
  for (int i = 0; i < entry_count; ++i) {
    if ((members >> unsigned(i) & 1U) == 0) continue;
    result.entries.push_back({fmt::format("e{}", i), "", ""});
  }
  return result;
}

// Tokens used at a simulation time, less the refunded ones.
struct token_use {
  time_point at;
  double tokens;
};

struct node {
  std::string name;
  std::uint64_t incarnation = 0;
  bool up = false;
  time_point paused_until{};
  duration clock_offset{};
  double clock_drift = 0;
  std::uint64_t version = 0;
  time_point fresh_until{};
  std::unique_ptr<home_assignment> assignment;
  std::unique_ptr<allowance_home> home;
  std::unique_ptr<allowance_leases> leases;

  // Returns the node's clock at a simulation time.
  time_point local(time_point at) const {
    const double elapsed =
        double(at.time_since_epoch().count()) * (1 + clock_drift);
    return time_point(duration(std::int64_t(elapsed)) + clock_offset);
  }
};

class allowance_simulation {
 public:
  allowance_simulation(std::uint64_t seed, const simulation_options& chosen)
      : random_(seed), options_(chosen) {
    for (int i = 0; i < entry_count; ++i) {
      nodes_[std::size_t(i)].name = fmt::format("e{}", i);
      start(i);
    }
  }

  void run() {
    schedule_every(milliseconds(5), [this] {
      for_each_running_node(&allowance_simulation::tick);
    });
    schedule_every(milliseconds(150), [this] {
      for_each_running_node(&allowance_simulation::poll_control);
    });
    schedule_every(milliseconds(10), [this] { send_acquires(); });
    if (options_.inject_faults)
      schedule_every(milliseconds(100), [this] { inject_random_fault(); });
    while (!events_.empty() && events_.top().at <= end()) {
      const auto callback = events_.top().callback;
      now_ = events_.top().at;
      events_.pop();
      callback();
    }
  }

  // Returns the lowest level of a bucket that starts full and from which every
  // use is taken. The bound holds over all intervals if and only if this is not
  // negative.
  double lowest_level(int tenant) {
    std::vector<token_use> sorted = uses_[tenant];
    std::sort(
        sorted.begin(), sorted.end(),
        [](const token_use& a, const token_use& b) { return a.at < b.at; });
    double level = burst;
    double lowest = burst;
    time_point at{};
    for (const token_use& each : sorted) {
      level += rate * double((each.at - at).count()) / 1e6;
      level = std::min(level, burst) - each.tokens;
      at = each.at;
      lowest = std::min(lowest, level);
    }
    return lowest;
  }

  double used(int tenant) const {
    double sum = 0;
    for (const token_use& each : uses_.at(tenant)) sum += each.tokens;
    return sum;
  }
  int refused = 0;
  int granted = 0;

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator<(const event& rhs) const {
      return std::tie(rhs.at, rhs.order) < std::tie(at, order);
    }
  };
  struct session {
    int from;
    std::uint64_t from_incarnation;
    int to;
    std::uint64_t to_incarnation;
  };
  struct pending_acquire {
    int tenant;
    double tokens;
  };

  time_point end() const { return time_point(options_.length); }
  std::uint64_t random_below(std::uint64_t below) { return random_() % below; }
  bool random_chance(double share) {
    return double(random_below(1000000)) < share * 1000000;
  }
  void at(time_point when, std::function<void()> callback) {
    events_.push({when, ++order_, std::move(callback)});
  }
  void schedule_every(duration span, const std::function<void()>& callback) {
    at(now_ + span, [this, span, callback] {
      callback();
      schedule_every(span, callback);
    });
  }
  void for_each_running_node(void (allowance_simulation::*method)(int)) {
    for (int i = 0; i < entry_count; ++i) {
      if (is_running(i)) (this->*method)(i);
    }
  }
  bool is_running(int i) const {
    const node& n = nodes_[std::size_t(i)];
    return n.up && now_ >= n.paused_until;
  }

  void start(int i) {
    node& n = nodes_[std::size_t(i)];
    n.up = true;
    ++n.incarnation;
    n.version = 0;
    n.fresh_until = time_point{};
    n.clock_offset = seconds(1000 + std::int64_t(random_below(100000)));
    n.clock_drift = (double(random_below(2001)) - 1000) / 1e6;
    n.assignment = std::make_unique<home_assignment>(n.name, timing);
    allowance_home_options options;
    options.lease = timing.lease;
    n.home = std::make_unique<allowance_home>(options, n.incarnation);
    home_assignment* assignment = n.assignment.get();
    allowance_lease_options lease_options;
    lease_options.resend_interval = milliseconds(100);
    n.leases = std::make_unique<allowance_leases>(
        lease_options, [assignment](const std::string& organisation) {
          return assignment->home_of(organisation);
        });
    waiting_[i].clear();
  }

  // Polls control for the newest version; the reply is delayed or lost.
  void poll_control(int i) {
    if (now_ < control_lost_until_[i] ||
        (options_.inject_faults && random_chance(0.1)))
      return;
    const time_point polled_at = nodes_[std::size_t(i)].local(now_);
    const std::uint64_t incarnation = nodes_[std::size_t(i)].incarnation;
    const std::uint64_t newest = versions_.size();
    const bool skips_versions = options_.inject_faults && random_chance(0.1);
    const auto reply_time =
        now_ + milliseconds(1 + random_below(options_.inject_faults ? 400 : 3));
    at(reply_time, [=] {
      receive_version(i, incarnation, newest, polled_at, skips_versions);
    });
  }

  void receive_version(int i, std::uint64_t incarnation, std::uint64_t newest,
                       time_point polled_at, bool skips_versions) {
    node& n = nodes_[std::size_t(i)];
    if (!n.up || n.incarnation != incarnation) return;
    if (now_ < n.paused_until) {
      at(n.paused_until, [=] {
        receive_version(i, incarnation, newest, polled_at, skips_versions);
      });
      return;
    }
    if (newest < n.version) return;
    if (n.version == 0 || skips_versions)
      n.version = std::max(n.version, newest - 1);
    while (n.version < newest) configure(n, n.version + 1);
    n.fresh_until = std::max(n.fresh_until, polled_at + timing.freshness);
    n.home->authorise(n.fresh_until);
  }

  void configure(node& n, std::uint64_t version) {
    n.version = version;
    n.assignment->configure(make_configuration(version, versions_[version - 1]),
                            n.local(now_));
    for (const std::string& each : n.home->organisations()) {
      if (n.assignment->is_home_of(each)) {
        n.home->update_terms(each, terms(n, each), n.local(now_));
      } else {
        send_replies(n, n.home->resign(each));
      }
    }
  }

  home_terms terms(const node& n, const std::string& organisation) const {
    return {{rate, burst},
            n.assignment->starts_at(organisation),
            n.assignment->members()};
  }

  void tick(int i) {
    node& n = nodes_[std::size_t(i)];
    perform(i, n.leases->tick(n.local(now_)));
    send_replies(n, n.home->serve_waiting(n.local(now_)));
  }

  void send_acquires() {
    for (int tenant = 0; tenant < tenant_count; ++tenant) {
      const double needed_tokens = 10 + double(random_below(180));
      if (!random_chance(options_.relative_load * rate * 0.01 / 100)) continue;
      const int i = int(random_below(entry_count));
      if (!is_running(i)) continue;
      node& n = nodes_[std::size_t(i)];
      const std::uint64_t id = ++last_id_;
      waiting_[i][id] = {tenant, needed_tokens};
      const auto deadline =
          n.local(now_) + seconds(options_.inject_faults ? 2 : 9);
      perform(i, n.leases->acquire(id, fmt::format("o{}", tenant),
                                   needed_tokens, deadline, n.local(now_)));
      if (options_.inject_faults && random_chance(0.1)) {
        at(now_ + milliseconds(random_below(300)),
           [=] { abandon_acquire(i, id); });
      }
    }
  }

  void abandon_acquire(int i, std::uint64_t id) {
    if (!is_running(i) || waiting_[i].erase(id) == 0) return;
    perform(i, nodes_[std::size_t(i)].leases->abandon(id));
  }

  void perform(int i, const lease_actions& actions) {
    node& n = nodes_[std::size_t(i)];
    for (const lease_action& each : actions) {
      if (const auto* sent = std::get_if<lease_message>(&each)) {
        std::visit([&](const auto& m) { send(i, sent->home, m); },
                   sent->message);
        continue;
      }
      const auto& answer = std::get<acquire_result>(each);
      const auto found = waiting_[i].find(answer.id);
      BOOST_REQUIRE(found != waiting_[i].end());
      const pending_acquire acquire_info = found->second;
      waiting_[i].erase(found);
      ++(answer.granted ? granted : refused);
      if (!answer.granted) continue;
      uses_[acquire_info.tenant].push_back({now_, acquire_info.tokens});
      if (!random_chance(options_.refund_probability)) continue;
      const std::size_t index = uses_[acquire_info.tenant].size() - 1;
      const std::uint64_t incarnation = n.incarnation;
      at(now_ + milliseconds(random_below(2000)),
         [=] { give_back(i, incarnation, answer.id, acquire_info, index); });
    }
  }

  void give_back(int i, std::uint64_t incarnation, std::uint64_t id,
                 const pending_acquire& acquire_info, std::size_t index) {
    node& n = nodes_[std::size_t(i)];
    if (!is_running(i) || n.incarnation != incarnation) return;
    const double unused = acquire_info.tokens * double(random_below(100)) / 100;
    uses_[acquire_info.tenant][index].tokens -= unused;
    perform(i, n.leases->give_back(id, unused, n.local(now_)));
  }

  void send_replies(node& n, const home_replies& replies) {
    const int from = n.name[1] - '0';
    for (const home_reply& each : replies) {
      const node& to = nodes_[std::size_t(each.entry[1] - '0')];
      if (to.incarnation != each.incarnation) continue;
      std::visit([&](const auto& m) { send(from, each.entry, m); },
                 each.message);
    }
  }

  void send(int from, const std::string& to, const wire_message& message) {
    const int target = to[1] - '0';
    if (from != target && options_.inject_faults && random_chance(0.02)) return;
    // A session connects two incarnations and ends when either does.
    const session link{from, nodes_[std::size_t(from)].incarnation, target,
                       nodes_[std::size_t(target)].incarnation};
    const int copies = options_.inject_faults && random_chance(0.03) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const bool slow = options_.inject_faults && random_chance(0.05);
      const auto delay = microseconds(200 + random_below(slow ? 900000 : 2000));
      at(now_ + delay, [=] { deliver(link, message); });
    }
  }

  void deliver(const session& link, const wire_message& message) {
    const int from = link.from;
    const int to = link.to;
    const std::uint64_t incarnation = link.from_incarnation;
    node& n = nodes_[std::size_t(to)];
    const auto broken_link = broken_links_.find(std::minmax(from, to));
    if (!n.up || n.incarnation != link.to_incarnation) return;
    if (broken_link != broken_links_.end() && now_ < broken_link->second)
      return;
    if (now_ < n.paused_until) {
      at(n.paused_until, [=] { deliver(link, message); });
      return;
    }
    const std::string sender = fmt::format("e{}", from);
    const time_point local = n.local(now_);
    if (const auto* ask = std::get_if<allowance_ask>(&message)) {
      if (!n.assignment->is_home_of(ask->organisation)) return;
      send_replies(n, n.home->ask(sender, incarnation, *ask,
                                  terms(n, ask->organisation), local));
    } else if (const auto* s = std::get_if<allowance_settle>(&message)) {
      n.home->settle(sender, incarnation, *s, local);
    } else if (const auto* r = std::get_if<allowance_refund>(&message)) {
      n.home->refund(sender, incarnation, *r, local);
    } else if (const auto* c = std::get_if<allowance_cancel>(&message)) {
      n.home->cancel(sender, incarnation, *c);
    } else if (const auto* g = std::get_if<allowance_grant>(&message)) {
      perform(to, n.leases->on_grant(sender, *g, local));
    } else {
      perform(to, n.leases->on_refusal(
                      sender, std::get<allowance_refusal>(message), local));
    }
  }

  void inject_random_fault() {
    const int i = int(random_below(entry_count));
    node& n = nodes_[std::size_t(i)];
    const auto recovery_time = now_ + milliseconds(random_below(1500));
    switch (random_below(40)) {
      case 0:
        n.up = false;
        at(recovery_time, [=] { restart(i); });
        break;
      case 1:
        n.paused_until = recovery_time;
        break;
      case 2:
        broken_links_[std::minmax(i, int(random_below(entry_count)))] =
            recovery_time;
        break;
      case 3:
        control_lost_until_[i] = now_ + milliseconds(random_below(3000));
        break;
      case 4:
        versions_.push_back(1 + unsigned(random_below(7)));
        break;
      case 5:
        if (!random_chance(0.1)) break;
        for (int each = 0; each < entry_count; ++each) start(each);
        break;
      default:
        break;
    }
  }

  void restart(int i) {
    if (!nodes_[std::size_t(i)].up) start(i);
  }

  std::mt19937_64 random_;
  simulation_options options_;
  time_point now_{};
  std::uint64_t order_ = 0;
  std::uint64_t last_id_ = 0;
  std::priority_queue<event> events_;
  std::array<node, entry_count> nodes_;
  std::map<int, std::map<std::uint64_t, pending_acquire>> waiting_;
  std::map<int, std::vector<token_use>> uses_{{0, {}}, {1, {}}};
  std::map<std::pair<int, int>, time_point> broken_links_;
  std::map<int, time_point> control_lost_until_;
  std::vector<unsigned> versions_{7};
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_ALLOWANCE_SIMULATION_H_
