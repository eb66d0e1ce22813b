#include "gateway/allowance_client.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

// A leader in the same region answers within a few milliseconds; a gateway
// that hears nothing for this long goes by its own part.
constexpr duration ask_timeout = milliseconds(60);
// How often overdue replies and a new leader are looked for.
constexpr duration sweep_interval = milliseconds(20);

}  // namespace

allowance_client::allowance_client(boost::asio::io_context& loop,
                                   peer_hub& peers, document_cluster& cluster,
                                   std::uint64_t seed, limit_of limits)
    : peers_(peers),
      cluster_(cluster),
      random_(seed),
      limits_(std::move(limits)),
      timer_(loop),
      queue_timer_(loop) {
  peers_.on<fleet_tokens_ask>([this, alive = alive_](
                                  const peer_id& from,
                                  const fleet_tokens_ask& in) {
    if (*alive) {
      peers_.send(from.name, make_frame(count(from.name, in))).IgnoreError();
    }
  });
  peers_.on<fleet_tokens_reply>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const fleet_tokens_reply& in) {
        if (*alive) {
          take_reply(in);
        }
      });
  peers_.on<fleet_tokens_refund>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const fleet_tokens_refund& in) {
        if (*alive && cluster_.leads()) {
          home_.refund(in, runtime_clock::now());
        }
      });
  peers_.on<fleet_tokens_spent>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const fleet_tokens_spent& in) {
        if (*alive && cluster_.leads()) {
          home_.charge(in, limits_(in.organisation), runtime_clock::now());
        }
      });
}

allowance_client::~allowance_client() {
  *alive_ = false;
}

fleet_tokens_reply allowance_client::count(const std::string& process,
                                           const fleet_tokens_ask& in) {
  const bool leads = cluster_.leads();
  if (leads && !led_) {
    home_.start_leading(runtime_clock::now());
  }
  led_ = leads;
  if (!leads) {
    fleet_tokens_reply out;
    out.id = in.id;
    return out;
  }
  const fleet_tokens_reply out =
      home_.ask(process, in, limits_(in.organisation), runtime_clock::now());
  if (out.queued) {
    arm_queue();
  }
  return out;
}

void allowance_client::arm_queue() {
  const time_point now = runtime_clock::now();
  const auto next = home_.next_decision(now);
  if (!next) {
    return;
  }
  queue_timer_.expires_after(std::max<duration>(milliseconds(1), *next - now));
  when_expired(queue_timer_, alive_, [this] { reply_to_queued(); });
}

// Queued requests of a leader that no longer leads ask the next one.
void allowance_client::reply_to_queued() {
  if (!cluster_.leads()) {
    return;
  }
  for (const auto& [process, reply] : home_.decide(runtime_clock::now())) {
    if (process.empty()) {
      take_reply(reply);
    } else {
      peers_.send(process, make_frame(reply)).IgnoreError();
    }
  }
  arm_queue();
}

// What a part gave for nothing is not worth a message.
void allowance_client::give_back(const std::string& organisation,
                                 const allowance_grant& of) {
  if (!of.by_leader || of.tokens <= 0) {
    return;
  }
  const time_point now = runtime_clock::now();
  const fleet_tokens_refund out{organisation, of.tokens,
                                to_microseconds(now - of.at)};
  if (cluster_.leads()) {
    home_.refund(out, now);
    return;
  }
  // Lost with the leader, which then starts to count anew.
  peers_.send(cluster_.follower().leader(), make_frame(out)).IgnoreError();
}

// A leader that can't be reached again doesn't count it either.
void allowance_client::tell_spent() {
  const time_point now = runtime_clock::now();
  for (const fleet_tokens_spent& each : share_.take_spent(now)) {
    if (cluster_.leads()) {
      home_.charge(each, limits_(each.organisation), now);
    } else {
      peers_.send(cluster_.follower().leader(), make_frame(each)).IgnoreError();
    }
  }
}

void allowance_client::take(const std::string& organisation, double tokens,
                            duration max_wait, done answer) {
  const time_point now = runtime_clock::now();
  if (share_.take_surplus(organisation, tokens, now)) {
    answer({true, {}, {}, "surplus"});
    return;
  }
  ask_or_decide(
      {organisation, tokens, now, now + max_wait, {}, std::move(answer)});
}

void allowance_client::ask_or_decide(pending_ask ask) {
  const time_point now = runtime_clock::now();
  const fleet_tokens_ask out{
      ++last_ask_, ask.organisation, ask.tokens,
      to_microseconds(std::max(duration{}, ask.until - now))};
  ask.deadline = now + ask_timeout;
  if (cluster_.leads()) {
    asks_[out.id] = std::move(ask);
    take_reply(count("", out));
    return;
  }
  const std::string leader = cluster_.follower().leader();
  if (leader.empty() || !share_.asks_leader(now) ||
      !peers_.send(leader, make_frame(out)).ok()) {
    decide_alone(std::move(ask));
    return;
  }
  asks_[out.id] = std::move(ask);
  arm();
}

void allowance_client::take_reply(const fleet_tokens_reply& in) {
  const auto found = asks_.find(in.id);
  if (found == asks_.end()) {
    return;
  }
  const time_point now = runtime_clock::now();
  share_.leader_answered(found->second.organisation, in, now);
  if (in.leads) {
    tell_spent();
  }
  if (in.queued) {
    found->second.deadline = now + from_microseconds(in.wait_us) + ask_timeout;
    arm();
    return;
  }
  pending_ask ask = std::move(found->second);
  asks_.erase(found);
  if (!in.leads) {
    decide_alone(std::move(ask));
    return;
  }
  if (in.surplus_tokens > 0) {
    share_.add_surplus(ask.organisation, in.surplus_tokens, now);
  }
  ask.answer(
      {in.granted, now - ask.asked, from_microseconds(in.wait_us), "leader"});
}

void allowance_client::decide_alone(pending_ask ask) {
  const time_point now = runtime_clock::now();
  const duration wait = share_.take_own_part(
      ask.organisation, limits_(ask.organisation), ask.tokens,
      cluster_.follower().processes(),
      std::uniform_real_distribution<double>(0, 1)(random_), now);
  if (wait == duration{} || now >= ask.until) {
    ask.answer({wait == duration{}, now - ask.asked, wait, "own_part", false});
    return;
  }
  parked_.push_back(std::move(ask));
  arm();
}

void allowance_client::arm() {
  if (armed_ || (asks_.empty() && parked_.empty())) {
    return;
  }
  armed_ = true;
  timer_.expires_after(sweep_interval);
  when_expired(timer_, alive_, [this] {
    armed_ = false;
    sweep();
  });
}

void allowance_client::sweep() {
  const time_point now = runtime_clock::now();
  std::vector<pending_ask> expired;
  for (auto each = asks_.begin(); each != asks_.end();) {
    if (now < each->second.deadline) {
      ++each;
      continue;
    }
    expired.push_back(std::move(each->second));
    each = asks_.erase(each);
  }
  if (!expired.empty()) {
    share_.leader_silent(now);
  }
  for (pending_ask& ask : expired) {
    decide_alone(std::move(ask));
  }
  for (pending_ask& ask : std::exchange(parked_, {})) {
    ask_or_decide(std::move(ask));
  }
  arm();
}

}  // namespace citronwharf
