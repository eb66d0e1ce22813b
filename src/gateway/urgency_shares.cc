#include "gateway/urgency_shares.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {
namespace {

// Time over which demand is averaged: several requests of an organisation that
// sends a few large ones a second, and a part of a burst of 3 to 5 s.
constexpr double demand_span_s = 2;
// Time over which sizes are averaged. Their distribution changes little.
constexpr double size_span_s = 8;
// Lower bound of the observed time that an average is taken over.
constexpr double min_demand_span_s = 0.3;
// Each urgency is guaranteed this share of what the next more urgent one gets
// on average, so that the third one still stays above the required quarter.
constexpr double guaranteed_share = 0.6;
// What more urgent requests need within this time, and what is saved for their
// large ones, is left to them, up to a share of the burst.
constexpr double reserve_span_s = 0.25;
constexpr double max_reserve_share = 0.6;
// Fill level of the bucket above which its content is not reserved.
constexpr double open_fill = 0.9;
// A credit holds at most this many requests of mean size.
constexpr double max_credit_requests = 3.4;
constexpr double max_credit_share = 0.4;
// An urgency is short of tokens if it asks for this multiple of its rate. Less
// is within the variance of the demand.
constexpr double min_shortage = 1.05;
// The size of a large request is a multiple of the mean: the largest tenth is
// 1.9 times the mean or more. The more is asked for per token that accrues, the
// fewer large requests are served otherwise.
constexpr double large_size_base = 0.6;
constexpr double large_size_slope = 1.2;
constexpr double max_large_size = 3.6;
// Shares of the burst and of a full credit that it doesn't exceed.
constexpr double most_of_credit = 0.95;
constexpr double max_large_share = 0.6;

}  // namespace

void urgency_shares::record_ask(std::size_t urgency, double tokens,
                                time_point now) {
  const std::size_t at = std::min(urgency, max_urgencies - 1);
  if (levels_.size() <= at) {
    levels_.resize(at + 1);
  }
  if (started_at_ == time_point{}) {
    started_at_ = now;
    updated_at_ = now;
  }
  level& own = levels_[at];
  own.asked += tokens;
  own.sized_tokens += tokens;
  own.sized_count += 1;
}

void urgency_shares::update(const allowance& limit, time_point now) {
  limit_ = limit;
  const double elapsed_s =
      std::max(0.0, to_seconds(now - std::min(updated_at_, now)));
  updated_at_ = now;
  const double decay = std::exp(-elapsed_s / demand_span_s);
  const double size_decay = std::exp(-elapsed_s / size_span_s);
  const double observed_s = std::max(
      min_demand_span_s,
      demand_span_s *
          (1 - std::exp(-to_seconds(now - started_at_) / demand_span_s)));
  double asked = 0;
  for (level& each : levels_) {
    each.credit += each.guaranteed * elapsed_s;
    each.asked *= decay;
    each.sized_tokens *= size_decay;
    each.sized_count *= size_decay;
    each.rate = each.asked / observed_s;
    asked += each.rate;
  }
  const double served =
      asked > limit.tokens_per_second ? limit.tokens_per_second / asked : 1;
  for (std::size_t at = 1; at < levels_.size(); ++at) {
    level& each = levels_[at];
    each.guaranteed = std::pow(guaranteed_share, at) * served * each.rate;
    each.credit = std::min(each.credit, max_credit(each));
  }
}

double urgency_shares::max_credit(const level& of) const {
  return std::min(max_credit_requests * of.mean_size(),
                  max_credit_share * limit_.burst_tokens);
}

double urgency_shares::credits() const {
  double out = 0;
  for (const level& each : levels_) {
    out += each.credit;
  }
  return out;
}

double urgency_shares::available(std::size_t urgency, double content,
                                 bool urgent_waits) const {
  const std::size_t at = std::min(urgency, levels_.size() - 1);
  const double shared = content - credits();
  // Tokens that would soon overflow the bucket are for everybody.
  const double excess =
      std::max(0.0, content - open_fill * limit_.burst_tokens);
  if (at == 0) {
    return std::max(shared, excess);
  }
  const double own = levels_[at].credit;
  if (urgent_waits) {
    return std::min(content, own + excess);
  }
  double reserve = 0;
  for (std::size_t other = 0; other < at; ++other) {
    const level& urgent = levels_[other];
    reserve +=
        (urgent.rate - urgent.guaranteed) * reserve_span_s + large_size(other);
  }
  reserve = std::min(reserve, limit_.burst_tokens * max_reserve_share);
  return std::min(content, own + std::max(excess, shared - reserve));
}

double urgency_shares::rate(std::size_t urgency) const {
  const std::size_t at = std::min(urgency, levels_.size() - 1);
  double left = limit_.tokens_per_second;
  for (const level& each : levels_) {
    left -= each.guaranteed;
  }
  for (std::size_t other = 0; other < at; ++other) {
    left -= levels_[other].rate - levels_[other].guaranteed;
  }
  return levels_[at].guaranteed + std::max(0.0, left);
}

// Returns whether an urgency asks for more than it is likely to get.
bool urgency_shares::short_of_tokens(std::size_t urgency) const {
  return levels_[std::min(urgency, levels_.size() - 1)].rate >
         min_shortage * rate(urgency);
}

// Returns the size of the large requests of an urgency that is short of tokens,
// for which tokens are left; else 0.
double urgency_shares::large_size(std::size_t urgency) const {
  const level& own = levels_[std::min(urgency, levels_.size() - 1)];
  if (!short_of_tokens(urgency)) {
    return 0;
  }
  const double shortage = own.rate / std::max(rate(urgency), 1.0);
  const double ratio = std::min(
      max_large_size, large_size_base + large_size_slope * (shortage - 1));
  // Less urgent requests are served from what can be saved as a credit.
  const double most = urgency == 0 ? limit_.burst_tokens * max_large_share
                                   : most_of_credit * max_credit(own);
  return std::min(most, ratio * own.mean_size());
}

void urgency_shares::take(std::size_t urgency, double tokens) {
  double& credit = levels_[std::min(urgency, levels_.size() - 1)].credit;
  credit -= std::min(credit, tokens);
}

}  // namespace citronwharf
