// Carries the decisions of allowance_home and allowance_leases over sessions.
#include "entry/allowance_service.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "observe/event.h"
#include "policy/allowance_home.h"
#include "policy/allowance_lease.h"
#include "policy/home_assignment.h"

namespace citronwharf {
namespace {

// The timer never waits longer, since authority may come or end meanwhile.
constexpr duration longest_wait = milliseconds(50);
constexpr duration shortest_wait = milliseconds(1);

constexpr const char* refused_metric =
    "citronwharf_allowance_refused_within_rate_total";
constexpr const char* unsent_metric = "citronwharf_allowance_unsent_total";

struct waiting_acquire {
  std::string organisation;
  double tokens = 0;
  allowance_service::acquired done;
};

const organisation* find_organisation(const configuration& in,
                                      const std::string& name) {
  // Sorted by name once accepted.
  const auto found =
      std::lower_bound(in.organisations.begin(), in.organisations.end(), name,
                       [](const organisation& each, const std::string& wanted) {
                         return each.name < wanted;
                       });
  const bool known = found != in.organisations.end() && found->name == name;
  return known ? &*found : nullptr;
}

class shared_allowance_service final : public allowance_service {
 public:
  explicit shared_allowance_service(process_context& process)
      : process_(process),
        timer_(process.loop),
        assignment_(process.options.process, home_timing{}),
        home_(allowance_home_options{}, process.incarnation),
        leases_(allowance_lease_options{}, [this](const std::string& of) {
          return assignment_.home_of(of);
        }) {
    listen();
    configure(*process_.view.current());
    process_.view.subscribe(
        [this](const configuration& next) { configure(next); });
  }

  std::uint64_t acquire(const std::string& organisation, double tokens,
                        time_point deadline, acquired done) override {
    const std::uint64_t id = ++last_id_;
    waiting_[id] = {organisation, tokens, std::move(done)};
    // From the loop's next turn, so that a lease is checked just before use.
    boost::asio::post(process_.loop,
                      [this, id, deadline] { start(id, deadline); });
    return id;
  }

  void abandon(std::uint64_t id) override {
    waiting_.erase(id);
    perform(leases_.abandon(id));
  }

  void give_back(std::uint64_t id, double tokens) override {
    perform(leases_.give_back(id, tokens, runtime_clock::now()));
  }

 private:
  void listen() {
    peer_hub& hub = process_.peers;
    hub.on<allowance_ask>(
        [this](const peer_id& from, const auto& in) { take_ask(from, in); });
    hub.on<allowance_settle>([this](const peer_id& from, const auto& in) {
      home_.settle(from.name, from.incarnation, in, runtime_clock::now());
      serve_waiting();
    });
    hub.on<allowance_refund>([this](const peer_id& from, const auto& in) {
      home_.refund(from.name, from.incarnation, in, runtime_clock::now());
      serve_waiting();
    });
    hub.on<allowance_cancel>([this](const peer_id& from, const auto& in) {
      home_.cancel(from.name, from.incarnation, in);
    });
    hub.on<allowance_grant>([this](const peer_id& from, const auto& in) {
      perform(leases_.on_grant(from.name, in, runtime_clock::now()));
    });
    hub.on_session([this](const peer_id& peer, bool up) {
      if (members_.count(peer.name) == 0) return;
      leases_.set_home_reachable(peer.name, up, runtime_clock::now());
      arm();
    });
    hub.on<allowance_refusal>([this](const peer_id& from, const auto& in) {
      perform(leases_.on_refusal(from.name, in, runtime_clock::now()));
    });
  }

  void configure(const configuration& next) {
    if (next.version == 0) return;
    const time_point now = runtime_clock::now();
    assignment_.configure(next, now);
    meet_members(next.entries);
    for (const std::string& each : home_.organisations()) {
      const auto terms = terms_of(each);
      if (terms && assignment_.is_home_of(each)) {
        home_.update_terms(each, *terms, now);
      } else {
        send(home_.resign(each));
      }
    }
    arm();
  }

  void meet_members(const std::vector<entry_member>& members) {
    std::set<std::string> names;
    for (const entry_member& each : members) {
      names.insert(each.name);
      if (each.name == process_.options.process) continue;
      process_.peers.connect(each.name, each.address);
      const bool up = process_.peers.session_incarnation(each.name) != 0;
      leases_.set_home_reachable(each.name, up, runtime_clock::now());
    }
    if (names == members_) return;
    members_ = std::move(names);
    log_event(events::allowance_home_changed, absl::StrJoin(members_, ", "));
  }

  // Nothing for an organisation that is unknown or has no rate.
  std::optional<home_terms> terms_of(const std::string& name) const {
    const auto* known = find_organisation(*process_.view.current(), name);
    if (known == nullptr || known->limit.tokens_per_second <= 0) {
      return std::nullopt;
    }
    const std::size_t entries = std::max<std::size_t>(1, members_.size());
    return home_terms{known->limit, assignment_.starts_at(name), entries};
  }

  void start(std::uint64_t id, time_point deadline) {
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) return;
    const waiting_acquire& asked = found->second;
    if (!terms_of(asked.organisation)) {
      finish({id, true, true, duration::zero()});
      return;
    }
    perform(leases_.acquire(id, asked.organisation, asked.tokens, deadline,
                            runtime_clock::now()));
  }

  void take_ask(const peer_id& from, const allowance_ask& in) {
    const auto terms = terms_of(in.organisation);
    if (!terms || !assignment_.is_home_of(in.organisation)) {
      allowance_refusal wrong;
      wrong.organisation = in.organisation;
      wrong.id = in.id;
      wrong.wrong_home = true;
      send({{from.name, from.incarnation, wrong}});
      return;
    }
    home_.authorise(process_.view.fresh_until());
    send(home_.ask(from.name, from.incarnation, in, *terms,
                   runtime_clock::now()));
    arm();
  }

  void serve_waiting() {
    home_.authorise(process_.view.fresh_until());
    send(home_.serve_waiting(runtime_clock::now()));
    arm();
  }

  void send(const home_replies& replies) {
    for (const home_reply& each : replies) {
      // Identifiers are counted by the incarnation that asked.
      const bool same =
          process_.peers.session_incarnation(each.entry) == each.incarnation;
      if (!same && each.entry != process_.options.process) continue;
      std::visit([&](const auto& message) { post(each.entry, message); },
                 each.message);
    }
  }

  // Lost messages are asked for again, or end with their lease.
  template <typename Message>
  void post(const std::string& to, const Message& message) {
    const absl::Status sent = process_.peers.send(to, make_frame(message));
    if (!sent.ok()) {
      process_.metrics.add(unsent_metric, {});
    }
  }

  void perform(const lease_actions& actions) {
    for (const lease_action& each : actions) {
      if (const auto* sent = std::get_if<lease_message>(&each)) {
        std::visit([&](const auto& message) { post(sent->home, message); },
                   sent->message);
      } else {
        finish(std::get<acquire_result>(each));
      }
    }
    arm();
  }

  void finish(const acquire_result& answer) {
    const auto found = waiting_.find(answer.id);
    if (found == waiting_.end()) return;
    waiting_acquire asked = std::move(found->second);
    waiting_.erase(found);
    if (!answer.granted && answer.within_rate) {
      process_.metrics.add(refused_metric, {});
    }
    asked.done({answer.granted, answer.within_rate, answer.retry_after});
  }

  void tick() {
    perform(leases_.tick(runtime_clock::now()));
    serve_waiting();
  }

  // Sets the timer for what is due next, unless it is set for sooner.
  void arm() {
    const time_point now = runtime_clock::now();
    std::optional<time_point> due = leases_.next_tick();
    const auto serve_at = home_.next_serve_time(now);
    if (serve_at) due = due ? std::min(*due, *serve_at) : *serve_at;
    if (!due) return;
    const time_point at =
        std::clamp(*due, now + shortest_wait, now + longest_wait);
    if (armed_ && timer_.expiry() <= at) return;
    armed_ = true;
    timer_.expires_at(at);
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      armed_ = false;
      tick();
    });
  }

  process_context& process_;
  runtime_timer timer_;
  bool armed_ = false;
  home_assignment assignment_;
  allowance_home home_;
  allowance_leases leases_;
  std::set<std::string> members_;
  std::map<std::uint64_t, waiting_acquire> waiting_;
  std::uint64_t last_id_ = 0;
};

}  // namespace

std::unique_ptr<allowance_service> make_allowance_service(
    process_context& process) {
  return std::make_unique<shared_allowance_service>(process);
}

}  // namespace citronwharf
