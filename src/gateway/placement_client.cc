#include "gateway/placement_client.h"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "observe/event.h"

namespace citronwharf {
namespace {

// A leader in the same region answers within a few milliseconds; a gateway that
// gets no answer for this long decides locally.
constexpr duration ask_timeout = milliseconds(80);
// Delay until a leader that did not answer is asked again; an election takes
// about as long.
constexpr duration leader_retry_delay = milliseconds(500);
// Interval of checks for overdue replies and, at the leader, for queued
// requests that fit an engine by now.
constexpr duration busy_interval = milliseconds(20);
// Interval of checks for a change of the leader.
constexpr duration idle_interval = milliseconds(200);
// Interval of the keepalives that a leader sends while requests are queued, and
// time after which it is considered dead without one. A leader that lost power
// is silent for seconds before its sessions end.
constexpr duration keepalive_interval = milliseconds(100);
constexpr duration keepalive_timeout = milliseconds(350);
// Interval of the log lines on the usage of the engines.
constexpr duration log_interval = seconds(1);

}  // namespace

placement_client::placement_client(process_context& process,
                                   document_cluster& cluster,
                                   engine_limit_hooks limits)
    : process_(process),
      cluster_(cluster),
      timer_(process.loop),
      scheduler_(engine_scheduler_options{}, std::move(limits)) {}

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
        update_leadership();
        if (!leading_) {
          placement_grant out;
          out.id = in.id;
          send_grant({from.name, out});
          return;
        }
        const bool idle = !scheduler_.has_waiting();
        scheduler_.ask(from.name, in, runtime_clock::now());
        send_decisions();
        if (idle && scheduler_.has_waiting()) {
          schedule_tick();
        }
      });
  peers.on<placement_grant>([this, alive = alive_](const peer_id& /*from*/,
                                                   const placement_grant& in) {
    if (*alive) {
      handle_grant(in);
    }
  });
  peers.on<placement_alive>(
      [this, alive = alive_](const peer_id& from, const placement_alive&) {
        if (*alive && from.name == cluster_.follower().leader()) {
          handle_keepalive();
        }
      });
  peers.on<placement_release>(
      [this, alive = alive_](const peer_id& from, const placement_release& in) {
        if (*alive) {
          update_leadership();
          scheduler_.release(from.name, in);
          send_decisions();
        }
      });
  peers.on<engine_observation>(
      [this, alive = alive_](const peer_id& from,
                             const engine_observation& in) {
        if (!*alive) {
          return;
        }
        const auto ejected = scheduler_.observe(in, runtime_clock::now());
        if (ejected && leading_) {
          log_event(events::engine_left_alone, in.server,
                    nlohmann::json(in.sign).get<std::string>(),
                    std::chrono::duration_cast<milliseconds>(*ejected).count(),
                    from.name);
        }
      });
  peers.on<placement_claims>(
      [this, alive = alive_](const peer_id& from, const placement_claims& in) {
        if (*alive) {
          update_leadership();
          scheduler_.add_claims(from.name, in, runtime_clock::now());
        }
      });
  peers.on_session([this, alive = alive_](const peer_id& peer, bool up) {
    if (!*alive) {
      return;
    }
    // The process is not gone if another session has replaced this one.
    if (!up &&
        process_.peers.session_incarnation(peer.name) != peer.incarnation) {
      scheduler_.remove_process(peer.name);
    }
    if (peer.name == cluster_.follower().leader()) {
      claims_sent_to_.clear();
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

void placement_client::begin_switch(const std::string& engine,
                                    const announced_switch& in) {
  scheduler_.begin_switch(engine, in);
}

void placement_client::mark_outlier(const std::string& engine, duration span) {
  scheduler_.set_outlier(engine, span, runtime_clock::now());
}

engine_demand placement_client::demand(const std::string& service) {
  return scheduler_.demand(service, runtime_clock::now());
}

std::set<std::string> placement_client::failing(
    const std::string& service) const {
  return scheduler_.failing(service, runtime_clock::now());
}

template <typename Message>
void placement_client::send_to_leader(const Message& out) {
  // A lost message is made up for by the next claims.
  process_.peers.send(cluster_.follower().leader(), make_frame(out))
      .IgnoreError();
}

std::uint64_t placement_client::ask(placement_ask in, grant_handler on_grant) {
  const time_point now = runtime_clock::now();
  in.id = ++last_id_;
  const bool idle = pending_.empty();
  pending_[in.id] = {std::move(on_grant), now + ask_timeout};
  const std::string& leader = cluster_.follower().leader();
  if (leader.empty() || now < leader_retry_at_ ||
      !process_.peers.send(leader, make_frame(in)).ok()) {
    boost::asio::post(process_.loop, [this, alive = alive_, id = in.id] {
      if (*alive) {
        decide_locally(id);
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
  send_to_leader(placement_claims{{in}});
  running_[id] = {std::move(in), runtime_clock::now()};
  return id;
}

void placement_client::release(std::uint64_t id, std::int64_t output_tokens,
                               duration span) {
  end_request(
      placement_release{id, output_tokens, to_microseconds(span), false});
}

void placement_client::release_unused(std::uint64_t id) {
  end_request(placement_release{id, 0, 0, true});
}

void placement_client::end_request(const placement_release& in) {
  pending_.erase(in.id);
  if (running_.erase(in.id) != 0) {
    send_to_leader(in);
  }
}

void placement_client::observe(const engine_observation& in) {
  send_to_leader(in);
}

void placement_client::add_prefill(const std::string& service,
                                   std::int64_t tokens, duration span) {
  prefills_.emplace(service, prefill_speed({}))
      .first->second.add_sample(tokens, span);
}

duration placement_client::predicted_prefill(const std::string& service,
                                             std::int64_t tokens) const {
  const auto found = prefills_.find(service);
  return found == prefills_.end() ? prefill_speed({}).predict(tokens)
                                  : found->second.predict(tokens);
}

void placement_client::update_leadership() {
  const bool leads = cluster_.leads();
  if (leads && !leading_) {
    scheduler_.reset();
  }
  leading_ = leads;
}

void placement_client::send_decisions() {
  if (!leading_) {
    return;
  }
  for (const placement_decision& each :
       scheduler_.decide(runtime_clock::now())) {
    send_grant(each);
  }
}

// A gateway that does not get its grant decides locally after its timeout; the
// lease ends with its session or its release.
void placement_client::send_grant(const placement_decision& decision) {
  process_.peers.send(decision.process, make_frame(decision.grant))
      .IgnoreError();
}

void placement_client::handle_grant(const placement_grant& in) {
  const auto found = pending_.find(in.id);
  if (found == pending_.end()) {
    return;
  }
  leader_retry_at_ = time_point{};
  switch (in.outcome) {
    case placement_outcome::queued:
      found->second.queued_at_leader = true;
      found->second.deadline = runtime_clock::now() + keepalive_timeout;
      return;
    case placement_outcome::not_leading:
      decide_locally(in.id);
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
  const grant_handler on_grant = std::move(found->second.on_grant);
  pending_.erase(found);
  on_grant(in);
}

void placement_client::decide_locally(std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  const grant_handler on_grant = std::move(found->second.on_grant);
  pending_.erase(found);
  if (running_.erase(id) != 0) {
    // The leader may have placed the request meanwhile.
    send_to_leader(placement_release{id, 0, 0, true});
  }
  placement_grant out;
  out.id = id;
  on_grant(out);
}

void placement_client::send_claims() {
  const time_point now = runtime_clock::now();
  placement_claims out;
  for (const auto& [id, each] : running_) {
    if (!each.claim.server.empty()) {
      out.claims.push_back(each.claim);
      out.claims.back().age_us = to_microseconds(now - each.placed_at);
    }
  }
  if (!out.claims.empty()) {
    send_to_leader(out);
  }
}

void placement_client::log_usage(time_point now) {
  if (!leading_ || now - usage_logged_at_ < log_interval) {
    return;
  }
  usage_logged_at_ = now;
  log_speeds();
  for (const engine_usage& each : scheduler_.usage(now)) {
    log_event(events::placement_state, each.service, each.decode, each.prefill,
              each.unusable, each.running, each.waiting, each.held_tokens,
              each.memory_tokens);
  }
}

void placement_client::log_speeds() {
  constexpr const char* unequal_metric = "citronwharf_gateway_engines_unequal";
  std::set<std::string> unequal = scheduler_.unequal_services();
  for (const std::string& service : unequal) {
    if (unequal_services_.count(service) == 0) {
      log_event(events::engine_speeds, service, "unequal");
      process_.metrics.set(unequal_metric, {{"service", service}}, 1);
    }
  }
  for (const std::string& service : unequal_services_) {
    if (unequal.count(service) == 0) {
      log_event(events::engine_speeds, service, "equal");
      process_.metrics.set(unequal_metric, {{"service", service}}, 0);
    }
  }
  unequal_services_ = std::move(unequal);
}

void placement_client::send_keepalives(time_point now) {
  if (!leading_ || now - keepalives_sent_at_ < keepalive_interval) {
    return;
  }
  keepalives_sent_at_ = now;
  const frame out = make_frame(placement_alive{});
  for (const std::string& process : scheduler_.waiting_processes()) {
    // A gateway that misses several keepalives decides locally.
    process_.peers.send(process, out).IgnoreError();
  }
}

void placement_client::handle_keepalive() {
  const time_point until = runtime_clock::now() + keepalive_timeout;
  for (auto& [id, each] : pending_) {
    if (each.queued_at_leader) {
      each.deadline = until;
    }
  }
}

void placement_client::tick() {
  const time_point now = runtime_clock::now();
  update_leadership();
  send_decisions();
  log_usage(now);
  send_keepalives(now);
  const std::string leader = cluster_.follower().leader();
  const bool leader_changed = leader != claims_sent_to_ && !leader.empty() &&
                              process_.peers.session_incarnation(leader) != 0;
  std::vector<std::uint64_t> timed_out;
  for (const auto& [id, each] : pending_) {
    // Requests that are queued at a former leader are requested again
    // elsewhere.
    if (now >= each.deadline || (each.queued_at_leader && leader_changed)) {
      timed_out.push_back(id);
    }
  }
  if (!timed_out.empty() && !leader_changed) {
    leader_retry_at_ = now + leader_retry_delay;
  }
  for (const std::uint64_t id : timed_out) {
    decide_locally(id);
  }
  if (leader_changed) {
    claims_sent_to_ = leader;
    send_claims();
  }
  schedule_tick();
}

void placement_client::schedule_tick() {
  const bool busy = !pending_.empty() || (leading_ && scheduler_.has_waiting());
  const time_point due =
      runtime_clock::now() + (busy ? busy_interval : idle_interval);
  if (timer_.expires_by(due)) {
    return;
  }
  timer_.expires_at(due);
  when_expired(timer_, alive_, [this] { tick(); });
}

}  // namespace citronwharf
