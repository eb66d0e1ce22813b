#include "policy/allowance_ledger.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {
namespace {

constexpr double microseconds_per_second = 1e6;
// Bound of the rounding error of summed doubles.
constexpr double rounding_tolerance_tokens = 1e-6;
// Longer waits are reported as duration::max().
constexpr double max_finite_wait_us = 1e15;
// Closed leases are kept this long, so that refunds can be credited.
constexpr duration closed_lease_retention = seconds(120);
constexpr std::size_t max_closed_leases = 8192;
constexpr std::size_t max_headroom_entries = 4096;

}  // namespace

std::uint64_t headroom_history::record(double headroom) {
  while (!headroom_.empty() && headroom_.back().headroom >= headroom)
    headroom_.pop_back();
  headroom_.push_back({++last_mark_, headroom});
  if (headroom_.size() > max_headroom_entries) {
    last_discarded_mark_ = headroom_.front().mark;
    headroom_.pop_front();
  }
  return last_mark_;
}

double headroom_history::min_since(std::uint64_t mark) const {
  if (mark <= last_discarded_mark_) return 0;
  for (const entry& each : headroom_) {
    if (each.mark >= mark) return std::max(each.headroom, 0.0);
  }
  return 0;
}

void headroom_history::reduce_since(std::uint64_t mark, double tokens) {
  std::deque<entry> before;
  before.swap(headroom_);
  for (const entry& each : before) {
    const bool affected = each.mark >= mark;
    const double reduced = affected ? each.headroom - tokens : each.headroom;
    while (!headroom_.empty() && headroom_.back().headroom >= reduced)
      headroom_.pop_back();
    headroom_.push_back({each.mark, reduced});
  }
}

void headroom_history::clear() {
  headroom_.clear();
  last_discarded_mark_ = last_mark_;
}

allowance_ledger::allowance_ledger(allowance limit, duration lease,
                                   time_point starts_at)
    : limit_(limit),
      lease_duration_(lease),
      starts_at_(starts_at),
      accrued_until_(starts_at) {}

void allowance_ledger::accrue(time_point to) {
  if (to <= accrued_until_) return;
  const auto span = static_cast<double>((to - accrued_until_).count());
  const double gained =
      limit_.tokens_per_second * span / microseconds_per_second;
  const double capacity = std::max(0.0, limit_.burst_tokens - leased_tokens_);
  available_tokens_ = std::min(capacity, available_tokens_ + gained);
  accrued_until_ = to;
  headroom_.record(headroom());
}

void allowance_ledger::advance(time_point now) {
  while (!open_leases_.empty() && open_leases_.begin()->first <= now) {
    const auto [ends, key] = *open_leases_.begin();
    accrue(ends);
    close(key, leases_.at(key), 0);
  }
  accrue(now);
  discard_old_leases();
}

void allowance_ledger::close(const lease_key& key, lease_record& lease,
                             double unused) {
  open_leases_.erase({lease.ends, key});
  leased_tokens_ = open_leases_.empty() ? 0 : leased_tokens_ - lease.tokens;
  const double returned = std::clamp(unused, 0.0, lease.tokens);
  available_tokens_ += returned;
  lease.open = false;
  lease.spent = lease.tokens - returned;
  lease.closing_mark = headroom_.record(headroom());
  closed_leases_.emplace_back(accrued_until_, key);
}

void allowance_ledger::discard_old_leases() {
  while (!closed_leases_.empty() &&
         (closed_leases_.front().first + closed_lease_retention <=
              accrued_until_ ||
          closed_leases_.size() > max_closed_leases)) {
    leases_.erase(closed_leases_.front().second);
    closed_leases_.pop_front();
  }
}

void allowance_ledger::set_limit(allowance limit, time_point now) {
  advance(now);
  limit_ = limit;
  available_tokens_ = std::min(
      available_tokens_, std::max(0.0, limit_.burst_tokens - leased_tokens_));
  headroom_.clear();
  headroom_.record(headroom());
}

double allowance_ledger::available(time_point now) {
  advance(now);
  return available_tokens_;
}

void allowance_ledger::grant(const lease_key& key, double tokens,
                             time_point now) {
  advance(now);
  lease_record new_lease;
  new_lease.tokens = std::min(tokens, available_tokens_);
  new_lease.ends = std::max(now, accrued_until_) + lease_duration_;
  if (!leases_.emplace(key, new_lease).second) return;
  open_leases_.emplace(new_lease.ends, key);
  available_tokens_ -= new_lease.tokens;
  leased_tokens_ += new_lease.tokens;
}

void allowance_ledger::settle(const lease_key& key, double unused,
                              time_point now) {
  advance(now);
  const auto found = leases_.find(key);
  if (found == leases_.end() || !found->second.open) return;
  close(key, found->second, unused);
}

void allowance_ledger::refund(const lease_key& key, std::uint64_t sequence,
                              double tokens, time_point now) {
  advance(now);
  const auto found = leases_.find(key);
  if (found == leases_.end() || found->second.open) return;
  lease_record& lease = found->second;
  if (sequence <= lease.refund_sequence) return;
  lease.refund_sequence = sequence;
  const double refunded = std::clamp(tokens, 0.0, lease.spent);
  lease.spent -= refunded;
  const double credit =
      std::min(refunded, headroom_.min_since(lease.closing_mark));
  available_tokens_ += credit;
  headroom_.reduce_since(lease.closing_mark, credit);
}

duration allowance_ledger::wait_for(double tokens, time_point now) {
  advance(now);
  const duration before = std::max(duration::zero(), starts_at_ - now);
  const double shortfall = tokens - available_tokens_;
  if (shortfall <= rounding_tolerance_tokens) return before;
  if (limit_.tokens_per_second <= 0) return duration::max();
  const double wait_us =
      std::ceil(shortfall / limit_.tokens_per_second * microseconds_per_second);
  if (wait_us > max_finite_wait_us) return duration::max();
  return before + duration(static_cast<duration::rep>(wait_us));
}

std::optional<time_point> allowance_ledger::next_expiry() const {
  if (open_leases_.empty()) return std::nullopt;
  return open_leases_.begin()->first;
}

}  // namespace citronwharf
