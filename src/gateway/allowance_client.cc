#include "gateway/allowance_client.h"

#include <utility>

namespace citronwharf {
namespace {

// A leader in the same region answers within a few milliseconds; a gateway
// that hears nothing for this long goes by its own part.
constexpr duration ask_timeout = milliseconds(60);

}  // namespace

allowance_client::allowance_client(boost::asio::io_context& loop,
                                   peer_hub& peers, document_cluster& cluster,
                                   limit_of limits)
    : peers_(peers),
      cluster_(cluster),
      limits_(std::move(limits)),
      timer_(loop) {
  peers_.on<fleet_tokens_ask>(
      [this, alive = alive_](const peer_id& from, const fleet_tokens_ask& in) {
        if (*alive) {
          peers_.send(from.name, make_frame(count(in))).IgnoreError();
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
}

allowance_client::~allowance_client() {
  *alive_ = false;
}

fleet_tokens_reply allowance_client::count(const fleet_tokens_ask& in) {
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
  return home_.ask(in, limits_(in.organisation), runtime_clock::now());
}

void allowance_client::give_back(const std::string& organisation,
                                 double tokens) {
  const fleet_tokens_refund out{organisation, tokens};
  if (cluster_.leads()) {
    home_.refund(out, runtime_clock::now());
    return;
  }
  // Lost with the leader, which then starts to count anew.
  peers_.send(cluster_.follower().leader(), make_frame(out)).IgnoreError();
}

void allowance_client::take(const std::string& organisation, double tokens,
                            duration max_wait, done answer) {
  const time_point now = runtime_clock::now();
  if (share_.take_surplus(organisation, tokens, now)) {
    answer({true, {}, "surplus"});
    return;
  }
  const fleet_tokens_ask out{++last_ask_, organisation, tokens,
                             to_microseconds(max_wait)};
  pending_ask ask{organisation, tokens, now + ask_timeout, std::move(answer)};
  if (cluster_.leads()) {
    asks_[out.id] = std::move(ask);
    take_reply(count(out));
    return;
  }
  const std::string leader = cluster_.follower().leader();
  if (leader.empty() || !share_.asks_leader(now) ||
      !peers_.send(leader, make_frame(out)).ok()) {
    decide_alone(ask);
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
  const pending_ask ask = std::move(found->second);
  asks_.erase(found);
  share_.leader_answered();
  if (!in.leads) {
    decide_alone(ask);
    return;
  }
  if (in.surplus_tokens > 0) {
    share_.add_surplus(ask.organisation, in.surplus_tokens,
                       runtime_clock::now());
  }
  ask.answer({in.granted, from_microseconds(in.wait_us), "leader"});
}

void allowance_client::decide_alone(const pending_ask& ask) {
  const duration wait = share_.take_own_part(
      ask.organisation, limits_(ask.organisation), ask.tokens,
      cluster_.follower().processes(), runtime_clock::now());
  ask.answer({wait == duration{}, wait, "own_part"});
}

void allowance_client::arm() {
  if (armed_ || asks_.empty()) {
    return;
  }
  armed_ = true;
  timer_.expires_after(ask_timeout);
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
  for (const pending_ask& ask : expired) {
    decide_alone(ask);
  }
  arm();
}

}  // namespace citronwharf
