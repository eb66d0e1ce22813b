#include "gateway/fleet_allowance.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronwharf {
namespace {

// Share of the burst that a new leader starts with.
constexpr double initial_share = 0.25;
// Share of the burst that one gateway gets beside what it asked for, while this
// share of the burst is there. An unused surplus is lost, so that it is only
// given where tokens would soon overflow the bucket.
constexpr double surplus_share = 1.0 / 32;
constexpr double surplus_threshold = 0.9;
// Requests of up to this share of the burst don't queue behind larger ones.
constexpr double small_share = 1.0 / 64;
// A surplus that isn't used by then is given up.
constexpr duration surplus_lifetime = milliseconds(500);
// A leader that was silent is asked again after this; an election takes about
// as long.
constexpr duration silence_lifetime = milliseconds(500);
// An organisation that has less than this share of its burst left is near its
// limit, and stays so for about a window of the bound on its use.
constexpr double scarce_share = 0.5;
constexpr duration scarce_lifetime = seconds(8);
// A request that needs more than the whole burst waits for a full bucket.
constexpr duration max_wait = seconds(5);

}  // namespace

allowance to_allowance(double tokens_per_second, double burst_tokens) {
  allowance out;
  out.tokens_per_second = tokens_per_second;
  out.burst_tokens = std::max(burst_tokens, 1.0);
  return out;
}

reserving_bucket::reserving_bucket(allowance limit, double tokens,
                                   time_point now)
    : limit_(limit), tokens_(std::min(tokens, limit.burst_tokens)), at_(now) {}

void reserving_bucket::accrue(time_point now) {
  if (now <= at_) {
    return;
  }
  const double gained = limit_.tokens_per_second * to_seconds(now - at_);
  tokens_ = std::min(limit_.burst_tokens, tokens_ + gained);
  at_ = now;
}

void reserving_bucket::set_limit(allowance limit, time_point now) {
  accrue(now);
  limit_ = limit;
  tokens_ = std::min(tokens_, limit.burst_tokens);
}

duration reserving_bucket::span_for(double tokens) const {
  if (tokens <= 0) {
    return {};
  }
  if (limit_.tokens_per_second <= 0) {
    return max_wait;
  }
  return std::min(max_wait, from_seconds(tokens / limit_.tokens_per_second));
}

std::optional<duration> reserving_bucket::take(double tokens, duration longest,
                                               time_point now) {
  accrue(now);
  const duration wait = span_for(tokens - tokens_);
  if (wait > longest) {
    return std::nullopt;
  }
  tokens_ -= tokens;
  return wait;
}

void reserving_bucket::put_back(double tokens, time_point now) {
  accrue(now);
  tokens_ = std::min(limit_.burst_tokens, tokens_ + std::max(tokens, 0.0));
}

void reserving_bucket::empty(time_point now) {
  accrue(now);
  tokens_ = std::min(tokens_, 0.0);
}

duration reserving_bucket::wait_for(double tokens, time_point now) {
  accrue(now);
  return span_for(tokens - tokens_);
}

double reserving_bucket::available(time_point now) {
  accrue(now);
  return tokens_;
}

void fleet_allowance_leader::ask_queue::push(queued_ask ask) {
  tokens += ask.tokens;
  asks.push_back(std::move(ask));
}

fleet_allowance_leader::queued_ask fleet_allowance_leader::ask_queue::pop() {
  queued_ask out = std::move(asks.front());
  asks.pop_front();
  tokens = asks.empty() ? 0 : tokens - out.tokens;
  return out;
}

fleet_allowance_leader::account& fleet_allowance_leader::account_of(
    const std::string& organisation, const allowance& limit, time_point now) {
  auto found = accounts_.find(organisation);
  if (found == accounts_.end()) {
    reserving_bucket bucket(limit, limit.burst_tokens * initial_share,
                            leads_since_);
    found = accounts_.emplace(organisation, account{bucket, {}, {}, {}}).first;
  }
  reserving_bucket& bucket = found->second.bucket;
  if (!(bucket.limit() == limit)) {
    bucket.set_limit(limit, now);
  }
  return found->second;
}

// Callers that are refused one after the other return one after the other, as
// the tokens for each accrue.
duration fleet_allowance_leader::suggest_return(account& of, double tokens,
                                                time_point now) {
  const duration first =
      of.bucket.wait_for(of.small.tokens + of.large.tokens + tokens, now);
  const duration booked = std::max(duration{}, of.returns_until - now);
  const double rate = of.bucket.limit().tokens_per_second;
  const duration own = rate > 0 ? from_seconds(tokens / rate) : max_wait;
  const duration wait = std::min(max_wait, std::max(first, booked + own));
  of.returns_until = now + wait;
  return wait;
}

fleet_tokens_reply fleet_allowance_leader::ask(const std::string& process,
                                               const fleet_tokens_ask& in,
                                               const allowance& limit,
                                               time_point now) {
  const double burst = limit.burst_tokens;
  account& of = account_of(in.organisation, limit, now);
  const double tokens = std::min(in.tokens, burst);
  const bool small = tokens <= burst * small_share;
  const bool first = small ? of.small.asks.empty() : !of.waits();
  fleet_tokens_reply out;
  out.id = in.id;
  out.leads = true;
  out.scarce =
      of.waits() || of.bucket.available(now) - tokens < burst * scarce_share;
  if (first && of.bucket.take(tokens, {}, now)) {
    out.granted = true;
    if (!of.waits() && of.bucket.available(now) > burst * surplus_threshold) {
      out.surplus_tokens = burst * surplus_share;
      of.bucket.take(out.surplus_tokens, {}, now);
    }
    return out;
  }
  const double ahead = of.small.tokens + (small ? 0 : of.large.tokens);
  const duration wait = of.bucket.wait_for(ahead + tokens, now);
  const duration bearable = from_microseconds(in.max_wait_us);
  if (wait > bearable) {
    out.wait_us = to_microseconds(suggest_return(of, tokens, now));
    return out;
  }
  out.queued = true;
  out.wait_us = to_microseconds(wait);
  (small ? of.small : of.large).push({process, in.id, tokens, now + bearable});
  waiting_.insert(in.organisation);
  return out;
}

std::vector<fleet_tokens_decision> fleet_allowance_leader::decide(
    time_point now) {
  std::vector<fleet_tokens_decision> out;
  for (auto name = waiting_.begin(); name != waiting_.end();) {
    account& of = accounts_.at(*name);
    while (of.waits()) {
      ask_queue& queue = of.next();
      const queued_ask& front = queue.asks.front();
      fleet_tokens_reply reply;
      reply.id = front.id;
      reply.leads = true;
      reply.scarce = true;
      if (of.bucket.take(front.tokens, {}, now)) {
        reply.granted = true;
      } else if (now >= front.until) {
        // Small requests that came later went first.
        reply.wait_us = to_microseconds(suggest_return(of, front.tokens, now));
      } else {
        break;
      }
      out.push_back({queue.pop().process, reply});
    }
    name = of.waits() ? std::next(name) : waiting_.erase(name);
  }
  return out;
}

std::optional<time_point> fleet_allowance_leader::next_decision(
    time_point now) {
  std::optional<time_point> out;
  for (const std::string& name : waiting_) {
    account& of = accounts_.at(name);
    const queued_ask& front = of.next().asks.front();
    const time_point due =
        std::min(front.until, now + of.bucket.wait_for(front.tokens, now));
    out = out ? std::min(*out, due) : due;
  }
  return out;
}

void fleet_allowance_leader::refund(const fleet_tokens_refund& in,
                                    time_point now) {
  const auto found = accounts_.find(in.organisation);
  if (found != accounts_.end() &&
      now - from_microseconds(in.age_us) >= leads_since_) {
    found->second.bucket.put_back(in.tokens, now);
  }
}

void fleet_allowance_leader::charge(const fleet_tokens_spent& in,
                                    const allowance& limit, time_point now) {
  if (now - from_microseconds(in.age_us) >= leads_since_) {
    account_of(in.organisation, limit, now)
        .bucket.take(in.tokens, duration::max(), now);
  }
}

bool fleet_allowance_share::take_surplus(const std::string& organisation,
                                         double tokens, time_point now) {
  const auto found = surplus_.find(organisation);
  if (found == surplus_.end() || now >= found->second.until ||
      found->second.tokens < tokens) {
    return false;
  }
  found->second.tokens -= tokens;
  return true;
}

void fleet_allowance_share::add_surplus(const std::string& organisation,
                                        double tokens, time_point now) {
  surplus& of = surplus_[organisation];
  if (now >= of.until) {
    of.tokens = 0;
  }
  of.tokens += tokens;
  of.until = now + surplus_lifetime;
}

void fleet_allowance_share::leader_silent(time_point now) {
  asks_again_at_ = now + silence_lifetime;
}

// What accrued until the leader's last word was the leader's to give.
void fleet_allowance_share::leader_answered(const std::string& organisation,
                                            const fleet_tokens_reply& reply,
                                            time_point now) {
  asks_again_at_ = time_point{};
  if (!reply.leads) {
    return;
  }
  if (!reply.scarce) {
    scarce_.erase(organisation);
    return;
  }
  scarce_[organisation] = now;
  const auto part = own_part_.find(organisation);
  if (part != own_part_.end()) {
    part->second.empty(now);
  }
}

bool fleet_allowance_share::is_scarce(const std::string& organisation,
                                      time_point now) const {
  const auto found = scarce_.find(organisation);
  return found != scarce_.end() && now - found->second < scarce_lifetime;
}

std::vector<fleet_tokens_spent> fleet_allowance_share::take_spent(
    time_point now) {
  std::vector<fleet_tokens_spent> out;
  for (const auto& [organisation, each] : std::exchange(spent_, {})) {
    out.push_back({organisation, each.tokens, to_microseconds(now - each.at)});
  }
  return out;
}

duration fleet_allowance_share::take_own_part(const std::string& organisation,
                                              const allowance& limit,
                                              double tokens,
                                              std::size_t processes,
                                              double draw, time_point now) {
  const auto parts = static_cast<double>(std::max<std::size_t>(1, processes));
  const allowance part =
      to_allowance(limit.tokens_per_second / parts, limit.burst_tokens / parts);
  const bool scarce = is_scarce(organisation, now);
  auto found = own_part_.find(organisation);
  if (found == own_part_.end()) {
    const reserving_bucket made =
        scarce ? reserving_bucket(part, 0, scarce_.at(organisation))
               : reserving_bucket(part, part.burst_tokens, now);
    found = own_part_.emplace(organisation, made).first;
  }
  reserving_bucket& bucket = found->second;
  if (!(bucket.limit() == part)) {
    bucket.set_limit(part, now);
  }
  // A request may be larger than a part's burst. Where tokens are scarce, it
  // gets those of the fleet with the share of them that it stakes here. Else it
  // needs all of the part, and what it takes beyond has to accrue before the
  // next one.
  const double needed = std::min(tokens, part.burst_tokens);
  const double here = bucket.available(now);
  if (scarce && here < tokens) {
    bucket.empty(now);
    if (draw * tokens >= here) {
      return bucket.wait_for(needed, now);
    }
  } else if (here < needed) {
    return bucket.wait_for(needed, now);
  } else {
    bucket.take(tokens, duration::max(), now);
  }
  spending& spent = spent_[organisation];
  spent.tokens += tokens;
  spent.at = now;
  return {};
}

}  // namespace citronwharf
