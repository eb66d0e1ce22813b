// A fleet of entries that share allowances, under virtual time with faults.
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

struct plan {
  bool faults = true;
  double offered = 3;  // times the rate
  double unused_share = 0.4;
  duration length = seconds(12);
};

constexpr int fleet = 3;
constexpr int tenants = 2;
constexpr double rate = 1000;
constexpr double burst = 600;
const home_timing timing{seconds(1), milliseconds(200), milliseconds(20)};

inline configuration version_of(std::uint64_t version, unsigned members) {
  configuration made;
  made.version = version;
  for (int i = 0; i < fleet; ++i) {
    if ((members >> unsigned(i) & 1U) == 0) continue;
    made.entries.push_back({fmt::format("e{}", i), "", ""});
  }
  return made;
}

// Tokens that were used, by true time; lowered when some came back.
struct use {
  time_point at;
  double tokens;
};

struct node {
  std::string name;
  std::uint64_t incarnation = 0;
  bool up = false;
  time_point frozen_until{};
  duration offset{};
  double drift = 0;
  std::uint64_t version = 0;
  time_point fresh_until{};
  std::unique_ptr<home_assignment> assignment;
  std::unique_ptr<allowance_home> home;
  std::unique_ptr<allowance_leases> leases;

  // The node's own clock at a true time.
  time_point local(time_point at) const {
    const double gone = double(at.time_since_epoch().count()) * (1 + drift);
    return time_point(duration(std::int64_t(gone)) + offset);
  }
};

class allowance_simulation {
 public:
  allowance_simulation(std::uint64_t seed, const plan& what)
      : random_(seed), plan_(what) {
    for (int i = 0; i < fleet; ++i) {
      nodes_[std::size_t(i)].name = fmt::format("e{}", i);
      start(i);
    }
  }

  void run() {
    every(milliseconds(5), [this] { each_node(&allowance_simulation::tick); });
    every(milliseconds(150),
          [this] { each_node(&allowance_simulation::poll_control); });
    every(milliseconds(10), [this] { offer(); });
    if (plan_.faults) every(milliseconds(100), [this] { fault(); });
    while (!events_.empty() && events_.top().at <= end()) {
      const auto todo = events_.top().todo;
      now_ = events_.top().at;
      events_.pop();
      todo();
    }
  }

  // The lowest level of a bucket that starts full and pays every use: the
  // bound holds over all intervals exactly when it never is below zero.
  double lowest_level(int tenant) {
    std::vector<use> sorted = uses_[tenant];
    std::sort(sorted.begin(), sorted.end(),
              [](const use& a, const use& b) { return a.at < b.at; });
    double level = burst;
    double lowest = burst;
    time_point at{};
    for (const use& each : sorted) {
      level += rate * double((each.at - at).count()) / 1e6;
      level = std::min(level, burst) - each.tokens;
      at = each.at;
      lowest = std::min(lowest, level);
    }
    return lowest;
  }

  double used(int tenant) const {
    double sum = 0;
    for (const use& each : uses_.at(tenant)) sum += each.tokens;
    return sum;
  }
  int refused = 0;
  int granted = 0;

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> todo;
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
  struct asked {
    int tenant;
    double tokens;
  };

  time_point end() const { return time_point(plan_.length); }
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  bool chance(double share) { return double(draw(1000000)) < share * 1000000; }
  void at(time_point when, std::function<void()> todo) {
    events_.push({when, ++order_, std::move(todo)});
  }
  void every(duration span, const std::function<void()>& todo) {
    at(now_ + span, [this, span, todo] {
      todo();
      every(span, todo);
    });
  }
  void each_node(void (allowance_simulation::*what)(int)) {
    for (int i = 0; i < fleet; ++i) {
      if (runs(i)) (this->*what)(i);
    }
  }
  bool runs(int i) const {
    const node& n = nodes_[std::size_t(i)];
    return n.up && now_ >= n.frozen_until;
  }

  void start(int i) {
    node& n = nodes_[std::size_t(i)];
    n.up = true;
    ++n.incarnation;
    n.version = 0;
    n.fresh_until = time_point{};
    n.offset = seconds(1000 + std::int64_t(draw(100000)));
    n.drift = (double(draw(2001)) - 1000) / 1e6;
    n.assignment = std::make_unique<home_assignment>(n.name, timing);
    allowance_home_options options;
    options.lease = timing.lease;
    n.home = std::make_unique<allowance_home>(options, n.incarnation);
    home_assignment* assignment = n.assignment.get();
    allowance_lease_options lease_options;
    lease_options.resend = milliseconds(100);
    n.leases = std::make_unique<allowance_leases>(
        lease_options, [assignment](const std::string& organisation) {
          return assignment->home_of(organisation);
        });
    waiting_[i].clear();
  }

  // Asks control for the version; the answer takes time or is lost.
  void poll_control(int i) {
    if (now_ < control_cut_[i] || (plan_.faults && chance(0.1))) return;
    const time_point asked_at = nodes_[std::size_t(i)].local(now_);
    const std::uint64_t incarnation = nodes_[std::size_t(i)].incarnation;
    const std::uint64_t newest = versions_.size();
    const bool skips = plan_.faults && chance(0.1);
    const auto back = now_ + milliseconds(1 + draw(plan_.faults ? 400 : 3));
    at(back, [=] { learn(i, incarnation, newest, asked_at, skips); });
  }

  void learn(int i, std::uint64_t incarnation, std::uint64_t newest,
             time_point asked_at, bool skips) {
    node& n = nodes_[std::size_t(i)];
    if (!n.up || n.incarnation != incarnation) return;
    if (now_ < n.frozen_until) {
      at(n.frozen_until,
         [=] { learn(i, incarnation, newest, asked_at, skips); });
      return;
    }
    if (newest < n.version) return;
    if (n.version == 0 || skips) n.version = std::max(n.version, newest - 1);
    while (n.version < newest) configure(n, n.version + 1);
    n.fresh_until = std::max(n.fresh_until, asked_at + timing.freshness);
    n.home->authorise(n.fresh_until);
  }

  void configure(node& n, std::uint64_t version) {
    n.version = version;
    n.assignment->configure(version_of(version, versions_[version - 1]),
                            n.local(now_));
    for (const std::string& each : n.home->organisations()) {
      if (n.assignment->mine(each)) {
        n.home->renew(each, terms(n, each), n.local(now_));
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
    act(i, n.leases->tick(n.local(now_)));
    send_replies(n, n.home->serve(n.local(now_)));
  }

  void offer() {
    for (int tenant = 0; tenant < tenants; ++tenant) {
      const double mean = 10 + double(draw(180));
      if (!chance(plan_.offered * rate * 0.01 / 100)) continue;
      const int i = int(draw(fleet));
      if (!runs(i)) continue;
      node& n = nodes_[std::size_t(i)];
      const std::uint64_t id = ++last_id_;
      waiting_[i][id] = {tenant, mean};
      const auto deadline = n.local(now_) + seconds(plan_.faults ? 2 : 9);
      act(i, n.leases->acquire(id, fmt::format("o{}", tenant), mean, deadline,
                               n.local(now_)));
      if (plan_.faults && chance(0.1)) {
        at(now_ + milliseconds(draw(300)), [=] { leave(i, id); });
      }
    }
  }

  void leave(int i, std::uint64_t id) {
    if (!runs(i) || waiting_[i].erase(id) == 0) return;
    act(i, nodes_[std::size_t(i)].leases->abandon(id));
  }

  void act(int i, const lease_actions& actions) {
    node& n = nodes_[std::size_t(i)];
    for (const lease_action& each : actions) {
      if (const auto* sent = std::get_if<lease_send>(&each)) {
        std::visit([&](const auto& m) { send(i, sent->home, m); },
                   sent->message);
        continue;
      }
      const auto& answer = std::get<lease_answer>(each);
      const auto found = waiting_[i].find(answer.id);
      BOOST_REQUIRE(found != waiting_[i].end());
      const asked what = found->second;
      waiting_[i].erase(found);
      ++(answer.granted ? granted : refused);
      if (!answer.granted) continue;
      uses_[what.tenant].push_back({now_, what.tokens});
      if (!chance(plan_.unused_share)) continue;
      const std::size_t index = uses_[what.tenant].size() - 1;
      const std::uint64_t incarnation = n.incarnation;
      at(now_ + milliseconds(draw(2000)),
         [=] { give_back(i, incarnation, answer.id, what, index); });
    }
  }

  void give_back(int i, std::uint64_t incarnation, std::uint64_t id,
                 const asked& what, std::size_t index) {
    node& n = nodes_[std::size_t(i)];
    if (!runs(i) || n.incarnation != incarnation) return;
    const double unused = what.tokens * double(draw(100)) / 100;
    uses_[what.tenant][index].tokens -= unused;
    act(i, n.leases->give_back(id, unused, n.local(now_)));
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
    if (from != target && plan_.faults && chance(0.02)) return;
    // A session is between two incarnations, and ends with either.
    const session over{from, nodes_[std::size_t(from)].incarnation, target,
                       nodes_[std::size_t(target)].incarnation};
    const int copies = plan_.faults && chance(0.03) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const bool slow = plan_.faults && chance(0.05);
      const auto delay = microseconds(200 + draw(slow ? 900000 : 2000));
      at(now_ + delay, [=] { deliver(over, message); });
    }
  }

  void deliver(const session& over, const wire_message& message) {
    const int from = over.from;
    const int to = over.to;
    const std::uint64_t incarnation = over.from_incarnation;
    node& n = nodes_[std::size_t(to)];
    const auto cut = cut_.find(std::minmax(from, to));
    if (!n.up || n.incarnation != over.to_incarnation) return;
    if (cut != cut_.end() && now_ < cut->second) return;
    if (now_ < n.frozen_until) {
      at(n.frozen_until, [=] { deliver(over, message); });
      return;
    }
    const std::string sender = fmt::format("e{}", from);
    const time_point local = n.local(now_);
    if (const auto* ask = std::get_if<allowance_ask>(&message)) {
      if (!n.assignment->mine(ask->organisation)) return;
      send_replies(n, n.home->ask(sender, incarnation, *ask,
                                  terms(n, ask->organisation), local));
    } else if (const auto* s = std::get_if<allowance_settle>(&message)) {
      n.home->settle(sender, incarnation, *s, local);
    } else if (const auto* r = std::get_if<allowance_refund>(&message)) {
      n.home->refund(sender, incarnation, *r, local);
    } else if (const auto* c = std::get_if<allowance_cancel>(&message)) {
      n.home->cancel(sender, incarnation, *c);
    } else if (const auto* g = std::get_if<allowance_grant>(&message)) {
      act(to, n.leases->on_grant(sender, *g, local));
    } else {
      act(to, n.leases->on_refusal(sender, std::get<allowance_refusal>(message),
                                   local));
    }
  }

  void fault() {
    const int i = int(draw(fleet));
    node& n = nodes_[std::size_t(i)];
    const auto soon = now_ + milliseconds(draw(1500));
    switch (draw(40)) {
      case 0:
        n.up = false;
        at(soon, [=] { restart(i); });
        break;
      case 1:
        n.frozen_until = soon;
        break;
      case 2:
        cut_[std::minmax(i, int(draw(fleet)))] = soon;
        break;
      case 3:
        control_cut_[i] = now_ + milliseconds(draw(3000));
        break;
      case 4:
        versions_.push_back(1 + unsigned(draw(7)));
        break;
      case 5:
        if (!chance(0.1)) break;
        for (int each = 0; each < fleet; ++each) start(each);
        break;
      default:
        break;
    }
  }

  void restart(int i) {
    if (!nodes_[std::size_t(i)].up) start(i);
  }

  std::mt19937_64 random_;
  plan plan_;
  time_point now_{};
  std::uint64_t order_ = 0;
  std::uint64_t last_id_ = 0;
  std::priority_queue<event> events_;
  std::array<node, fleet> nodes_;
  std::map<int, std::map<std::uint64_t, asked>> waiting_;
  std::map<int, std::vector<use>> uses_{{0, {}}, {1, {}}};
  std::map<std::pair<int, int>, time_point> cut_;
  std::map<int, time_point> control_cut_;
  std::vector<unsigned> versions_{7};
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_ALLOWANCE_SIMULATION_H_
