#include "gateway/allowance_client.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

// A leader in the same region replies within a few milliseconds. A gateway that
// gets no reply for this long uses its own part.
constexpr duration reply_timeout = milliseconds(60);
// Interval of checks for overdue replies and for a new leader.
constexpr duration check_interval = milliseconds(20);
constexpr duration min_queue_wait = milliseconds(1);
// Share of the less urgent requests that don't wait for more urgent ones while
// there is no leader, so that none are starved.
constexpr double unyielding_share = 0.25;

}  // namespace

allowance_client::allowance_client(boost::asio::io_context& loop,
                                   peer_hub& peers, document_cluster& cluster,
                                   std::uint64_t seed, limit_lookup limits)
    : peers_(peers),
      cluster_(cluster),
      random_(seed),
      limits_(std::move(limits)),
      check_timer_(loop),
      queue_timer_(loop),
      last_ask_(random_()) {
  peers_.on<fleet_tokens_ask>(
      [this, alive = alive_](const peer_id& from, const fleet_tokens_ask& in) {
        if (*alive) {
          peers_.send(from.name, make_frame(answer_ask(from.name, in)))
              .IgnoreError();
        }
      });
  peers_.on<fleet_tokens_reply>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const fleet_tokens_reply& in) {
        if (*alive) {
          on_reply(in);
        }
      });
  peers_.on<fleet_tokens_refund>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const fleet_tokens_refund& in) {
        if (*alive && cluster_.leads()) {
          leader_accounts_.refund(in, runtime_clock::now());
        }
      });
  peers_.on<fleet_tokens_spent>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const fleet_tokens_spent& in) {
        if (*alive && cluster_.leads()) {
          leader_accounts_.charge(in, limits_(in.account).limit,
                                  runtime_clock::now());
        }
      });
}

allowance_client::~allowance_client() {
  *alive_ = false;
}

// Returns whether this process leads.
bool allowance_client::update_leadership() {
  const bool leads = cluster_.leads();
  if (leads && !was_leading_) {
    leader_accounts_.start_leading(runtime_clock::now());
  }
  was_leading_ = leads;
  return leads;
}

bool allowance_client::has_tokens(const std::string& account, double tokens) {
  update_leadership();
  return leader_accounts_.has_tokens(account, tokens, limits_(account).limit,
                                     runtime_clock::now());
}

void allowance_client::take_as_leader(const std::string& account,
                                      double tokens) {
  update_leadership();
  leader_accounts_.take(account, tokens, limits_(account).limit,
                        runtime_clock::now());
}

fleet_tokens_reply allowance_client::answer_ask(const std::string& process,
                                                const fleet_tokens_ask& in) {
  if (!update_leadership()) {
    fleet_tokens_reply out;
    out.id = in.id;
    return out;
  }
  const fleet_tokens_reply out = leader_accounts_.ask(
      process, in, limits_(in.account), runtime_clock::now());
  if (out.queued) {
    schedule_queue_replies();
  }
  return out;
}

void allowance_client::schedule_queue_replies() {
  const time_point now = runtime_clock::now();
  const auto next = leader_accounts_.next_decision(now);
  if (!next) {
    return;
  }
  const time_point due = std::max(*next, now + min_queue_wait);
  if (queue_timer_.expires_by(due)) {
    return;
  }
  queue_timer_.expires_at(due);
  when_expired(queue_timer_, alive_, [this] { reply_to_queued(); });
}

// After a change of leader the old one does not reply to its queued requests.
// They time out at their gateways, which use their own part or ask the new one.
void allowance_client::reply_to_queued() {
  if (!cluster_.leads()) {
    return;
  }
  for (const auto& [process, reply] :
       leader_accounts_.decide(runtime_clock::now())) {
    if (process.empty()) {
      on_reply(reply);
    } else {
      peers_.send(process, make_frame(reply)).IgnoreError();
    }
  }
  schedule_queue_replies();
}

// Tokens from the own part are not returned: they are not worth a message.
void allowance_client::return_tokens(const std::string& account,
                                     const allowance_grant& grant) {
  if (!grant.by_leader || grant.tokens <= 0) {
    return;
  }
  const time_point now = runtime_clock::now();
  const fleet_tokens_refund out{account, grant.tokens,
                                to_microseconds(now - grant.at)};
  if (cluster_.leads()) {
    leader_accounts_.refund(out, now);
    return;
  }
  // If the leader is gone, the refund is lost; the next leader starts with new
  // accounts.
  peers_.send(cluster_.follower().leader(), make_frame(out)).IgnoreError();
}

// If the leader has become unreachable again, the report is lost and the tokens
// are not charged.
void allowance_client::report_spent() {
  const time_point now = runtime_clock::now();
  for (const fleet_tokens_spent& each : share_.take_spent(now)) {
    if (cluster_.leads()) {
      leader_accounts_.charge(each, limits_(each.account).limit, now);
    } else {
      peers_.send(cluster_.follower().leader(), make_frame(each)).IgnoreError();
    }
  }
}

void allowance_client::take(const std::string& account, double tokens,
                            std::int64_t urgency, duration max_wait,
                            decision_handler answer) {
  const time_point now = runtime_clock::now();
  if (share_.take_surplus(account, tokens, now)) {
    answer({true, {}, {}, "surplus"});
    return;
  }
  const bool yields = urgency > 0 && std::uniform_real_distribution<double>(
                                         0, 1)(random_) >= unyielding_share;
  ask_leader_or_decide({account,
                        tokens,
                        urgency,
                        yields,
                        now,
                        now + max_wait,
                        {},
                        std::move(answer)});
}

void allowance_client::ask_leader_or_decide(pending_ask ask) {
  const time_point now = runtime_clock::now();
  const fleet_tokens_ask out{
      ++last_ask_, ask.account, ask.tokens,
      to_microseconds(std::max(duration{}, ask.wait_deadline - now)),
      ask.urgency};
  ask.reply_deadline = now + reply_timeout;
  if (cluster_.leads()) {
    pending_asks_[out.id] = std::move(ask);
    on_reply(answer_ask("", out));
    return;
  }
  const std::string leader = cluster_.follower().leader();
  if (leader.empty() || !share_.should_ask_leader(now) ||
      !peers_.send(leader, make_frame(out)).ok()) {
    decide_locally(std::move(ask));
    return;
  }
  pending_asks_[out.id] = std::move(ask);
  schedule_check();
}

void allowance_client::on_reply(const fleet_tokens_reply& in) {
  const auto found = pending_asks_.find(in.id);
  if (found == pending_asks_.end()) {
    return;
  }
  const time_point now = runtime_clock::now();
  share_.on_leader_reply(found->second.account, in, now);
  if (in.leads) {
    report_spent();
  }
  if (in.queued) {
    found->second.reply_deadline =
        now + from_microseconds(in.wait_us) + reply_timeout;
    schedule_check();
    return;
  }
  pending_ask ask = std::move(found->second);
  pending_asks_.erase(found);
  if (!in.leads) {
    decide_locally(std::move(ask));
    return;
  }
  if (in.surplus_tokens > 0) {
    share_.add_surplus(ask.account, in.surplus_tokens, now);
  }
  ask.answer({in.granted, now - ask.asked_at, from_microseconds(in.wait_us),
              "leader"});
}

// Returns whether a more urgent request of the account waits for the own part.
bool allowance_client::is_preceded(const pending_ask& ask) const {
  return ask.yields &&
         std::any_of(undecided_asks_.begin(), undecided_asks_.end(),
                     [&ask](const pending_ask& other) {
                       return other.account == ask.account &&
                              other.urgency < ask.urgency;
                     });
}

void allowance_client::decide_locally(pending_ask ask) {
  const time_point now = runtime_clock::now();
  if (now < ask.wait_deadline && is_preceded(ask)) {
    undecided_asks_.push_back(std::move(ask));
    schedule_check();
    return;
  }
  const account_limit terms = limits_(ask.account);
  const std::size_t processes = cluster_.follower().processes();
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  const duration wait =
      terms.single_requests
          ? share_.take_own_part_at_random(ask.account, terms.limit, ask.tokens,
                                           processes, draw, now)
          : share_.take_own_part(ask.account, terms.limit, ask.tokens,
                                 processes, draw, now);
  if (wait == duration{} || now >= ask.wait_deadline) {
    ask.answer(
        {wait == duration{}, now - ask.asked_at, wait, "own_part", false});
    return;
  }
  undecided_asks_.push_back(std::move(ask));
  schedule_check();
}

void allowance_client::schedule_check() {
  if (check_scheduled_ || (pending_asks_.empty() && undecided_asks_.empty())) {
    return;
  }
  check_scheduled_ = true;
  check_timer_.expires_after(check_interval);
  when_expired(check_timer_, alive_, [this] {
    check_scheduled_ = false;
    check_deadlines();
  });
}

void allowance_client::check_deadlines() {
  const time_point now = runtime_clock::now();
  std::vector<pending_ask> expired;
  for (auto each = pending_asks_.begin(); each != pending_asks_.end();) {
    if (now < each->second.reply_deadline) {
      ++each;
      continue;
    }
    expired.push_back(std::move(each->second));
    each = pending_asks_.erase(each);
  }
  if (!expired.empty()) {
    share_.leader_silent(now);
  }
  for (pending_ask& ask : expired) {
    decide_locally(std::move(ask));
  }
  std::vector<pending_ask> undecided = std::exchange(undecided_asks_, {});
  std::stable_sort(undecided.begin(), undecided.end(),
                   [](const pending_ask& lhs, const pending_ask& rhs) {
                     return lhs.urgency < rhs.urgency;
                   });
  for (pending_ask& ask : undecided) {
    ask_leader_or_decide(std::move(ask));
  }
  schedule_check();
}

}  // namespace citronwharf
