#include "policy/allowance_ledger.h"

#include <algorithm>
#include <cmath>

namespace citronwharf {
namespace {

constexpr double microseconds_per_second = 1e6;
// Sums of doubles differ from the true sum by less than this.
constexpr double rounding_tokens = 1e-6;
// Longer waits are reported as never.
constexpr double longest_wait_us = 1e15;
// A lease is remembered this long after its end, for refunds.
constexpr duration refund_window = seconds(120);
constexpr std::size_t most_closed = 8192;
constexpr std::size_t most_rooms = 4096;

}  // namespace

std::uint64_t room_history::note(double room) {
  while (!rooms_.empty() && rooms_.back().room >= room) rooms_.pop_back();
  rooms_.push_back({++last_mark_, room});
  if (rooms_.size() > most_rooms) {
    forgotten_ = rooms_.front().mark;
    rooms_.pop_front();
  }
  return last_mark_;
}

double room_history::least_since(std::uint64_t mark) const {
  if (mark <= forgotten_) return 0;
  for (const entry& each : rooms_) {
    if (each.mark >= mark) return std::max(each.room, 0.0);
  }
  return 0;
}

void room_history::fill(std::uint64_t mark, double tokens) {
  std::deque<entry> before;
  before.swap(rooms_);
  for (const entry& each : before) {
    const bool since = each.mark >= mark;
    const double filled = since ? each.room - tokens : each.room;
    while (!rooms_.empty() && rooms_.back().room >= filled) rooms_.pop_back();
    rooms_.push_back({each.mark, filled});
  }
}

void room_history::clear() {
  rooms_.clear();
  forgotten_ = last_mark_;
}

allowance_ledger::allowance_ledger(allowance limit, duration lease,
                                   time_point starts_at)
    : limit_(limit), lease_(lease), starts_at_(starts_at), at_(starts_at) {}

void allowance_ledger::accrue(time_point to) {
  if (to <= at_) return;
  const auto span = static_cast<double>((to - at_).count());
  const double gained =
      limit_.tokens_per_second * span / microseconds_per_second;
  const double most = std::max(0.0, limit_.burst_tokens - leased_);
  free_ = std::min(most, free_ + gained);
  at_ = to;
  rooms_.note(room());
}

void allowance_ledger::advance(time_point now) {
  while (!open_.empty() && open_.begin()->first <= now) {
    const auto [ends, key] = *open_.begin();
    accrue(ends);
    close(key, leases_.at(key), 0);
  }
  accrue(now);
  forget_old();
}

void allowance_ledger::close(const lease_key& key, lease_record& lease,
                             double unused) {
  open_.erase({lease.ends, key});
  leased_ = open_.empty() ? 0 : leased_ - lease.tokens;
  const double kept = std::clamp(unused, 0.0, lease.tokens);
  free_ += kept;
  lease.open = false;
  lease.spent = lease.tokens - kept;
  lease.closed = rooms_.note(room());
  closed_.emplace_back(at_, key);
}

void allowance_ledger::forget_old() {
  while (!closed_.empty() && (closed_.front().first + refund_window <= at_ ||
                              closed_.size() > most_closed)) {
    leases_.erase(closed_.front().second);
    closed_.pop_front();
  }
}

void allowance_ledger::set_limit(allowance limit, time_point now) {
  advance(now);
  limit_ = limit;
  free_ = std::min(free_, std::max(0.0, limit_.burst_tokens - leased_));
  rooms_.clear();
  rooms_.note(room());
}

double allowance_ledger::free(time_point now) {
  advance(now);
  return free_;
}

void allowance_ledger::grant(const lease_key& key, double tokens,
                             time_point now) {
  advance(now);
  lease_record made;
  made.tokens = std::min(tokens, free_);
  made.ends = std::max(now, at_) + lease_;
  if (!leases_.emplace(key, made).second) return;
  open_.emplace(made.ends, key);
  free_ -= made.tokens;
  leased_ += made.tokens;
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
  const double claimed = std::clamp(tokens, 0.0, lease.spent);
  lease.spent -= claimed;
  const double credit = std::min(claimed, rooms_.least_since(lease.closed));
  free_ += credit;
  rooms_.fill(lease.closed, credit);
}

duration allowance_ledger::wait_for(double tokens, time_point now) {
  advance(now);
  const duration before = std::max(duration::zero(), starts_at_ - now);
  const double missing = tokens - free_;
  if (missing <= rounding_tokens) return before;
  if (limit_.tokens_per_second <= 0) return duration::max();
  const double wait_us =
      std::ceil(missing / limit_.tokens_per_second * microseconds_per_second);
  if (wait_us > longest_wait_us) return duration::max();
  return before + duration(static_cast<duration::rep>(wait_us));
}

std::optional<time_point> allowance_ledger::next_expiry() const {
  if (open_.empty()) return std::nullopt;
  return open_.begin()->first;
}

}  // namespace citronwharf
