// Sends the messages of allowance_home and allowance_leases over peer sessions.
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

// Upper limit of a timer wait: the freshness that authorises grants can begin
// or end at any time.
constexpr duration max_timer_wait = milliseconds(50);
constexpr duration min_timer_wait = milliseconds(1);

constexpr const char* refused_metric =
    "citronwharf_allowance_refused_within_rate_total";
constexpr const char* unsent_metric = "citronwharf_allowance_unsent_total";

struct waiting_acquire {
  std::string organisation;
  double tokens = 0;
  allowance_service::acquire_callback done;
};

const organisation* find_organisation(const configuration& in,
                                      const std::string& name) {
  // Organisations of an accepted configuration are sorted by name.
  const auto found =
      std::lower_bound(in.organisations.begin(), in.organisations.end(), name,
                       [](const organisation& each, const std::string& wanted) {
                         return each.name < wanted;
                       });
  const bool is_found = found != in.organisations.end() && found->name == name;
  return is_found ? &*found : nullptr;
}

class peer_allowance_service final : public allowance_service {
 public:
  explicit peer_allowance_service(process_context& process)
      : process_(process),
        timer_(process.loop),
        assignment_(process.options.process, home_timing{}),
        home_(allowance_home_options{}, process.incarnation),
        leases_(allowance_lease_options{},
                [this](const std::string& organisation_name) {
                  return assignment_.home_of(organisation_name);
                }) {
    subscribe_to_messages();
    configure(*process_.view.current());
    process_.view.subscribe(
        [this](const configuration& next) { configure(next); });
  }

  std::uint64_t acquire(const std::string& organisation, double tokens,
                        time_point deadline, acquire_callback done) override {
    const std::uint64_t id = ++last_id_;
    waiting_[id] = {organisation, tokens, std::move(done)};
    // Starts in a later loop iteration, so that a lease is checked immediately
    // before its use.
    boost::asio::post(process_.loop,
                      [this, id, deadline] { start_acquire(id, deadline); });
    return id;
  }

  void abandon(std::uint64_t id) override {
    waiting_.erase(id);
    perform_actions(leases_.abandon(id));
  }

  void give_back(std::uint64_t id, double tokens) override {
    perform_actions(leases_.give_back(id, tokens, runtime_clock::now()));
  }

 private:
  void subscribe_to_messages() {
    peer_hub& hub = process_.peers;
    hub.on<allowance_ask>(
        [this](const peer_id& from, const auto& in) { handle_ask(from, in); });
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
      perform_actions(leases_.on_grant(from.name, in, runtime_clock::now()));
    });
    hub.on_session([this](const peer_id& peer, bool is_up) {
      if (members_.count(peer.name) == 0) return;
      leases_.set_home_reachable(peer.name, is_up, runtime_clock::now());
      schedule_tick();
    });
    hub.on<allowance_refusal>([this](const peer_id& from, const auto& in) {
      perform_actions(leases_.on_refusal(from.name, in, runtime_clock::now()));
    });
  }

  void configure(const configuration& next) {
    if (next.version == 0) return;
    const time_point now = runtime_clock::now();
    assignment_.configure(next, now);
    connect_members(next.entries);
    for (const std::string& each : home_.organisations()) {
      const auto terms = find_terms(each);
      if (terms && assignment_.is_home_of(each)) {
        home_.update_terms(each, *terms, now);
      } else {
        send_replies(home_.resign(each));
      }
    }
    schedule_tick();
  }

  void connect_members(const std::vector<entry_member>& members) {
    std::set<std::string> member_names;
    for (const entry_member& each : members) {
      member_names.insert(each.name);
      if (each.name == process_.options.process) continue;
      process_.peers.connect(each.name, each.address);
      const bool is_up = process_.peers.session_incarnation(each.name) != 0;
      leases_.set_home_reachable(each.name, is_up, runtime_clock::now());
    }
    if (member_names == members_) return;
    members_ = std::move(member_names);
    log_event(events::allowance_home_changed, absl::StrJoin(members_, ", "));
  }

  // Returns nothing for an organisation that is unknown or has no rate limit.
  std::optional<home_terms> find_terms(const std::string& name) const {
    const auto* found_organisation =
        find_organisation(*process_.view.current(), name);
    if (found_organisation == nullptr ||
        found_organisation->limit.tokens_per_second <= 0) {
      return std::nullopt;
    }
    const std::size_t entries = std::max<std::size_t>(1, members_.size());
    return home_terms{found_organisation->limit, assignment_.starts_at(name),
                      entries};
  }

  void start_acquire(std::uint64_t id, time_point deadline) {
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) return;
    const waiting_acquire& pending = found->second;
    if (!find_terms(pending.organisation)) {
      complete_acquire({id, true, true, duration::zero()});
      return;
    }
    perform_actions(leases_.acquire(id, pending.organisation, pending.tokens,
                                    deadline, runtime_clock::now()));
  }

  void handle_ask(const peer_id& from, const allowance_ask& in) {
    const auto terms = find_terms(in.organisation);
    if (!terms || !assignment_.is_home_of(in.organisation)) {
      allowance_refusal refusal;
      refusal.organisation = in.organisation;
      refusal.id = in.id;
      refusal.wrong_home = true;
      send_replies({{from.name, from.incarnation, refusal}});
      return;
    }
    home_.authorise(process_.view.fresh_until());
    send_replies(home_.ask(from.name, from.incarnation, in, *terms,
                           runtime_clock::now()));
    schedule_tick();
  }

  void serve_waiting() {
    home_.authorise(process_.view.fresh_until());
    send_replies(home_.serve_waiting(runtime_clock::now()));
    schedule_tick();
  }

  void send_replies(const home_replies& replies) {
    for (const home_reply& each : replies) {
      // Ids are unique only within the incarnation that sent the ask.
      const bool is_same_incarnation =
          process_.peers.session_incarnation(each.entry) == each.incarnation;
      if (!is_same_incarnation && each.entry != process_.options.process)
        continue;
      std::visit(
          [&](const auto& message) { send_message(each.entry, message); },
          each.message);
    }
  }

  // Lost asks are sent again; other lost messages are made up for by the expiry
  // of the lease.
  template <typename Message>
  void send_message(const std::string& to, const Message& message) {
    const absl::Status status = process_.peers.send(to, make_frame(message));
    if (!status.ok()) {
      process_.metrics.add(unsent_metric, {});
    }
  }

  void perform_actions(const lease_actions& actions) {
    for (const lease_action& each : actions) {
      if (const auto* lease_request = std::get_if<lease_message>(&each)) {
        std::visit(
            [&](const auto& message) {
              send_message(lease_request->home, message);
            },
            lease_request->message);
      } else {
        complete_acquire(std::get<acquire_result>(each));
      }
    }
    schedule_tick();
  }

  void complete_acquire(const acquire_result& result) {
    const auto found = waiting_.find(result.id);
    if (found == waiting_.end()) return;
    waiting_acquire completed = std::move(found->second);
    waiting_.erase(found);
    if (!result.granted && result.within_rate) {
      process_.metrics.add(refused_metric, {});
    }
    completed.done({result.granted, result.within_rate, result.retry_after});
  }

  void tick() {
    perform_actions(leases_.tick(runtime_clock::now()));
    serve_waiting();
  }

  // Sets the timer to the next due time unless it expires earlier already.
  void schedule_tick() {
    const time_point now = runtime_clock::now();
    std::optional<time_point> due_at = leases_.next_tick();
    const auto serve_at = home_.next_serve_time(now);
    if (serve_at) due_at = due_at ? std::min(*due_at, *serve_at) : *serve_at;
    if (!due_at) return;
    const time_point at =
        std::clamp(*due_at, now + min_timer_wait, now + max_timer_wait);
    if (tick_scheduled_ && timer_.expiry() <= at) return;
    tick_scheduled_ = true;
    timer_.expires_at(at);
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      tick_scheduled_ = false;
      tick();
    });
  }

  process_context& process_;
  runtime_timer timer_;
  bool tick_scheduled_ = false;
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
  return std::make_unique<peer_allowance_service>(process);
}

}  // namespace citronwharf
