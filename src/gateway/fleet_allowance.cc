#include "gateway/fleet_allowance.h"

#include <algorithm>

namespace citronwharf {
namespace {

// Share of the burst that a new leader starts with.
constexpr double initial_share = 0.25;
// Share of the burst that one gateway gets beside what it asked for.
constexpr double surplus_share = 1.0 / 32;
// A surplus that isn't used by then is given up.
constexpr duration surplus_lifetime = milliseconds(500);
// A leader that was silent is asked again after this; an election takes about
// as long.
constexpr duration silence_lifetime = milliseconds(500);
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

duration reserving_bucket::wait_for(double tokens, time_point now) {
  accrue(now);
  return span_for(tokens - tokens_);
}

double reserving_bucket::available(time_point now) {
  accrue(now);
  return tokens_;
}

fleet_tokens_reply fleet_allowance_home::ask(const fleet_tokens_ask& in,
                                             const allowance& limit,
                                             time_point now) {
  const double burst = limit.burst_tokens;
  auto found = buckets_.find(in.organisation);
  if (found == buckets_.end()) {
    found = buckets_
                .emplace(in.organisation,
                         reserving_bucket(limit, burst * initial_share,
                                          leads_since_))
                .first;
  }
  reserving_bucket& bucket = found->second;
  if (!(bucket.limit() == limit)) {
    bucket.set_limit(limit, now);
  }
  const double tokens = std::min(in.tokens, burst);
  fleet_tokens_reply out;
  out.id = in.id;
  out.leads = true;
  const auto wait = bucket.take(tokens, from_microseconds(in.max_wait_us), now);
  out.granted = wait.has_value();
  if (!out.granted) {
    out.wait_us = to_microseconds(bucket.wait_for(tokens, now));
    return out;
  }
  out.wait_us = to_microseconds(*wait);
  const double surplus = burst * surplus_share;
  if (bucket.available(now) > burst / 2) {
    bucket.take(surplus, {}, now);
    out.surplus_tokens = surplus;
  }
  return out;
}

void fleet_allowance_home::refund(const fleet_tokens_refund& in,
                                  time_point now) {
  const auto found = buckets_.find(in.organisation);
  if (found != buckets_.end()) {
    found->second.put_back(in.tokens, now);
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

duration fleet_allowance_share::take_own_part(const std::string& organisation,
                                              const allowance& limit,
                                              double tokens,
                                              std::size_t processes,
                                              time_point now) {
  const auto parts = static_cast<double>(std::max<std::size_t>(1, processes));
  const allowance part =
      to_allowance(limit.tokens_per_second / parts, limit.burst_tokens / parts);
  auto found = own_part_.find(organisation);
  if (found == own_part_.end()) {
    found = own_part_
                .emplace(organisation,
                         reserving_bucket(part, part.burst_tokens, now))
                .first;
  }
  reserving_bucket& bucket = found->second;
  if (!(bucket.limit() == part)) {
    bucket.set_limit(part, now);
  }
  // A request may be larger than a part's burst: it needs all of that, and what
  // it takes beyond has to accrue before the next one.
  const double needed = std::min(tokens, part.burst_tokens);
  if (bucket.available(now) < needed) {
    return bucket.wait_for(needed, now);
  }
  bucket.take(tokens, duration::max(), now);
  return {};
}

}  // namespace citronwharf
