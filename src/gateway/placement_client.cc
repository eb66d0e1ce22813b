#include "gateway/placement_client.h"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "observe/event.h"

namespace citronwharf {
namespace {

// A leader in the same region answers within a few milliseconds; a gateway that
// hears nothing for this long decides alone.
constexpr duration ask_timeout = milliseconds(80);
// A leader that was silent is asked again after this; an election takes about
// as long.
constexpr duration silence_lifetime = milliseconds(500);
// How often replies are looked for while some are due, and whether requests
// that wait fit an engine by now.
constexpr duration busy_interval = milliseconds(20);
// How often a change of the leader is looked for.
constexpr duration idle_interval = milliseconds(200);
// How often the leader says that it still counts what waits, and how long its
// word holds: a leader that lost power is silent for seconds before its
// sessions are.
constexpr duration alive_interval = milliseconds(100);
constexpr duration alive_timeout = milliseconds(350);
// Of the line that tells how full the engines are.
constexpr duration log_interval = seconds(1);

}  // namespace

placement_client::placement_client(process_context& process,
                                   document_cluster& cluster)
    : process_(process),
      cluster_(cluster),
      timer_(process.loop),
      scheduler_(engine_scheduler_options{}) {}

placement_client::~placement_client() {
  *alive_ = false;
}

void placement_client::start() {
  set_handlers();
  tick();
}

void placement_client::set_handlers() {
  peer_hub& peers = process_.peers;
  peers.on<placement_ask>(
      [this, alive = alive_](const peer_id& from, const placement_ask& in) {
        if (!*alive) {
          return;
        }
        take_lead();
        if (!led_) {
          placement_grant out;
          out.id = in.id;
          deliver({from.name, out});
          return;
        }
        const bool idle = !scheduler_.waiting();
        scheduler_.ask(from.name, in, runtime_clock::now());
        pump();
        if (idle && scheduler_.waiting()) {
          schedule_tick();
        }
      });
  peers.on<placement_grant>([this, alive = alive_](const peer_id& /*from*/,
                                                   const placement_grant& in) {
    if (*alive) {
      take_grant(in);
    }
  });
  peers.on<placement_alive>(
      [this, alive = alive_](const peer_id& from, const placement_alive&) {
        if (*alive && from.name == cluster_.follower().leader()) {
          leader_is_alive();
        }
      });
  peers.on<placement_release>(
      [this, alive = alive_](const peer_id& from, const placement_release& in) {
        if (*alive) {
          take_lead();
          scheduler_.release(from.name, in);
          pump();
        }
      });
  peers.on<engine_observation>(
      [this, alive = alive_](const peer_id& from,
                             const engine_observation& in) {
        if (!*alive) {
          return;
        }
        const auto ejected = scheduler_.observe(in, runtime_clock::now());
        if (ejected && led_) {
          log_event(events::engine_left_alone, in.server,
                    nlohmann::json(in.sign).get<std::string>(),
                    std::chrono::duration_cast<milliseconds>(*ejected).count(),
                    from.name);
        }
      });
  peers.on<placement_claims>(
      [this, alive = alive_](const peer_id& from, const placement_claims& in) {
        if (*alive) {
          take_lead();
          scheduler_.claim(from.name, in, runtime_clock::now());
        }
      });
  peers.on_session([this, alive = alive_](const peer_id& peer, bool up) {
    if (!*alive) {
      return;
    }
    // A session that another one replaced is no loss.
    if (!up &&
        process_.peers.session_incarnation(peer.name) != peer.incarnation) {
      scheduler_.forget(peer.name);
    }
    if (peer.name == cluster_.follower().leader()) {
      claimed_at_.clear();
    }
  });
}

void placement_client::set_engines(const std::vector<listed_server>& listed) {
  scheduler_.set_engines(listed);
}

void placement_client::set_profile(const std::string& service,
                                   const engine_profile& profile) {
  scheduler_.set_profile(service, profile);
}

void placement_client::switching(const std::string& engine,
                                 const announced_switch& in) {
  scheduler_.switching(engine, in);
}

void placement_client::mark_outlier(const std::string& engine, duration span) {
  scheduler_.mark_outlier(engine, span, runtime_clock::now());
}

engine_load placement_client::load(const std::string& service) {
  return scheduler_.load(service, runtime_clock::now());
}

std::set<std::string> placement_client::failing(
    const std::string& service) const {
  return scheduler_.failing(service, runtime_clock::now());
}

template <typename Message>
void placement_client::tell_leader(const Message& out) {
  // What a lost message would have said is made good by claims.
  process_.peers.send(cluster_.follower().leader(), make_frame(out))
      .IgnoreError();
}

std::uint64_t placement_client::ask(placement_ask in, done answer) {
  const time_point now = runtime_clock::now();
  in.id = ++last_id_;
  const bool idle = asks_.empty();
  asks_[in.id] = {std::move(answer), now + ask_timeout};
  const std::string& leader = cluster_.follower().leader();
  if (leader.empty() || now < asks_again_at_ ||
      !process_.peers.send(leader, make_frame(in)).ok()) {
    boost::asio::post(process_.loop, [this, alive = alive_, id = in.id] {
      if (*alive) {
        decide_alone(id);
      }
    });
    return in.id;
  }
  if (idle) {
    schedule_tick();
  }
  placement_claim claim;
  claim.id = in.id;
  claim.service = in.service;
  claim.prompt_tokens = in.prompt_tokens;
  claim.output_tokens = in.output_tokens;
  running_[in.id] = {std::move(claim), now};
  return in.id;
}

std::uint64_t placement_client::claim(placement_claim in) {
  in.id = ++last_id_;
  const std::uint64_t id = in.id;
  in.age_us = 0;
  tell_leader(placement_claims{{in}});
  running_[id] = {std::move(in), runtime_clock::now()};
  return id;
}

void placement_client::release(std::uint64_t id, std::int64_t output_tokens,
                               duration span) {
  forget(placement_release{id, output_tokens, to_microseconds(span), false});
}

void placement_client::give_back(std::uint64_t id) {
  forget(placement_release{id, 0, 0, true});
}

void placement_client::forget(const placement_release& in) {
  asks_.erase(in.id);
  if (running_.erase(in.id) != 0) {
    tell_leader(in);
  }
}

void placement_client::observe(const engine_observation& in) {
  tell_leader(in);
}

void placement_client::take_lead() {
  const bool leads = cluster_.leads();
  if (leads && !led_) {
    scheduler_.reset();
  }
  led_ = leads;
}

void placement_client::pump() {
  if (!led_) {
    return;
  }
  for (const placement_decision& each :
       scheduler_.decide(runtime_clock::now())) {
    deliver(each);
  }
}

// A gateway that misses its grant decides alone after its timeout; the lease
// goes with its session or its release.
void placement_client::deliver(const placement_decision& decision) {
  process_.peers.send(decision.process, make_frame(decision.grant))
      .IgnoreError();
}

void placement_client::take_grant(const placement_grant& in) {
  const auto found = asks_.find(in.id);
  if (found == asks_.end()) {
    return;
  }
  asks_again_at_ = time_point{};
  switch (in.outcome) {
    case placement_outcome::queued:
      found->second.waiting = true;
      found->second.deadline = runtime_clock::now() + alive_timeout;
      return;
    case placement_outcome::not_leading:
      decide_alone(in.id);
      return;
    case placement_outcome::refused:
      running_.erase(in.id);
      break;
    case placement_outcome::placed:
      if (const auto running = running_.find(in.id);
          running != running_.end()) {
        running->second.claim.server = in.decode.id;
        running->second.placed_at = runtime_clock::now();
      }
      break;
  }
  const done answer = std::move(found->second.answer);
  asks_.erase(found);
  answer(in);
}

void placement_client::decide_alone(std::uint64_t id) {
  const auto found = asks_.find(id);
  if (found == asks_.end()) {
    return;
  }
  const done answer = std::move(found->second.answer);
  asks_.erase(found);
  if (running_.erase(id) != 0) {
    // The leader may have placed it meanwhile.
    tell_leader(placement_release{id, 0, 0, true});
  }
  placement_grant out;
  out.id = id;
  answer(out);
}

void placement_client::claim_all() {
  const time_point now = runtime_clock::now();
  placement_claims out;
  for (const auto& [id, each] : running_) {
    if (!each.claim.server.empty()) {
      out.claims.push_back(each.claim);
      out.claims.back().age_us = to_microseconds(now - each.placed_at);
    }
  }
  if (!out.claims.empty()) {
    tell_leader(out);
  }
}

void placement_client::log_state(time_point now) {
  if (!led_ || now - state_logged_at_ < log_interval) {
    return;
  }
  state_logged_at_ = now;
  for (const engine_census& each : scheduler_.census(now)) {
    log_event(events::placement_state, each.service, each.decode, each.prefill,
              each.unusable, each.running, each.waiting, each.held_tokens,
              each.memory_tokens);
  }
}

void placement_client::tell_waiting(time_point now) {
  if (!led_ || now - told_waiting_at_ < alive_interval) {
    return;
  }
  told_waiting_at_ = now;
  const frame out = make_frame(placement_alive{});
  for (const std::string& process : scheduler_.waiting_processes()) {
    // Who misses some of them decides alone.
    process_.peers.send(process, out).IgnoreError();
  }
}

void placement_client::leader_is_alive() {
  const time_point until = runtime_clock::now() + alive_timeout;
  for (auto& [id, each] : asks_) {
    if (each.waiting) {
      each.deadline = until;
    }
  }
}

void placement_client::tick() {
  const time_point now = runtime_clock::now();
  take_lead();
  pump();
  log_state(now);
  tell_waiting(now);
  const std::string leader = cluster_.follower().leader();
  const bool leader_changed = leader != claimed_at_ && !leader.empty() &&
                              process_.peers.session_incarnation(leader) != 0;
  std::vector<std::uint64_t> unanswered;
  for (const auto& [id, each] : asks_) {
    // What waits at a leader that is gone is asked for elsewhere.
    if (now >= each.deadline || (each.waiting && leader_changed)) {
      unanswered.push_back(id);
    }
  }
  if (!unanswered.empty() && !leader_changed) {
    asks_again_at_ = now + silence_lifetime;
  }
  for (const std::uint64_t id : unanswered) {
    decide_alone(id);
  }
  if (leader_changed) {
    claimed_at_ = leader;
    claim_all();
  }
  schedule_tick();
}

void placement_client::schedule_tick() {
  const bool busy = !asks_.empty() || (led_ && scheduler_.waiting());
  timer_.expires_after(busy ? busy_interval : idle_interval);
  when_expired(timer_, alive_, [this] { tick(); });
}

}  // namespace citronwharf
