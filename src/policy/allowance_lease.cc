#include "policy/allowance_lease.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

// Sums of doubles differ from the true sum by less than this.
constexpr double rounding_tokens = 1e-6;
// Told when the home did not answer: a home that restarts grants again after
// about so long.
constexpr duration silent_home_retry = seconds(4);

lease_answer granted(std::uint64_t id) {
  return {id, true, true, duration::zero()};
}

}  // namespace

allowance_leases::allowance_leases(allowance_lease_options options,
                                   find_home home_of)
    : options_(options), home_of_(std::move(home_of)) {}

lease_actions allowance_leases::acquire(std::uint64_t id,
                                        const std::string& organisation,
                                        double tokens, time_point deadline,
                                        time_point now) {
  lease_actions out;
  if (spend(id, organisation, tokens, now)) {
    out.emplace_back(granted(id));
    return out;
  }
  pending_ask ask;
  ask.acquire = id;
  ask.organisation = organisation;
  ask.tokens = tokens;
  ask.wanted = tokens * options_.prefetch;
  ask.deadline = deadline;
  start_ask(std::move(ask), now, out);
  return out;
}

bool allowance_leases::spend(std::uint64_t acquire,
                             const std::string& organisation, double tokens,
                             time_point now) {
  const auto found = leases_.find(organisation);
  if (found == leases_.end()) return false;
  lease& from = found->second;
  const bool enough = from.left + rounding_tokens >= tokens;
  if (now >= from.ends || !enough) return false;
  from.left = std::max(0.0, from.left - tokens);
  remember(acquire, organisation, from, tokens);
  return true;
}

void allowance_leases::remember(std::uint64_t acquire,
                                const std::string& organisation,
                                const lease& from, double tokens) {
  charges_[acquire] = {organisation,          from.home,  from.id,
                       from.home_incarnation, from.epoch, tokens};
  if (charges_.size() > options_.most_charges) {
    charges_.erase(charges_.begin());
  }
}

void allowance_leases::start_ask(pending_ask ask, time_point now,
                                 lease_actions& out) {
  ask.home = home_of_(ask.organisation);
  ask.first_sent = now;
  ask.last_sent = now;
  const std::uint64_t id = ++last_ask_;
  if (!ask.home.empty()) out.emplace_back(copy_of(id, ask, now));
  asks_.emplace(id, std::move(ask));
}

lease_send allowance_leases::copy_of(std::uint64_t id, const pending_ask& ask,
                                     time_point now) {
  allowance_ask copy;
  copy.organisation = ask.organisation;
  copy.id = id;
  copy.needed = ask.tokens;
  copy.wanted = ask.wanted;
  copy.deadline_us = to_microseconds(ask.deadline - now);
  copy.age_us = to_microseconds(now - ask.first_sent);
  return {ask.home, copy};
}

lease_send allowance_leases::settle_of(const std::string& organisation,
                                       const lease& over) {
  allowance_settle sent;
  sent.organisation = organisation;
  sent.id = over.id;
  sent.home_incarnation = over.home_incarnation;
  sent.epoch = over.epoch;
  sent.unused = over.left;
  return {over.home, sent};
}

lease_actions allowance_leases::abandon(std::uint64_t id) {
  lease_actions out;
  for (auto each = asks_.begin(); each != asks_.end(); ++each) {
    if (each->second.acquire != id) continue;
    allowance_cancel sent;
    sent.organisation = each->second.organisation;
    sent.id = each->first;
    if (!each->second.home.empty()) {
      out.emplace_back(lease_send{each->second.home, sent});
    }
    drop(each->first);
    asks_.erase(each);
    break;
  }
  return out;
}

lease_actions allowance_leases::give_back(std::uint64_t id, double tokens,
                                          time_point now) {
  lease_actions out;
  const auto found = charges_.find(id);
  if (found == charges_.end()) return out;
  const charge from = found->second;
  charges_.erase(found);
  const double unused = std::clamp(tokens, 0.0, from.tokens);
  const auto open = leases_.find(from.organisation);
  const bool same = open != leases_.end() && open->second.id == from.lease_id &&
                    now < open->second.ends;
  if (same) {
    open->second.left += unused;
    return out;
  }
  allowance_refund sent;
  sent.organisation = from.organisation;
  sent.id = from.lease_id;
  sent.home_incarnation = from.home_incarnation;
  sent.epoch = from.epoch;
  sent.sequence = ++last_refund_;
  sent.tokens = unused;
  out.emplace_back(lease_send{from.home, sent});
  return out;
}

lease_actions allowance_leases::on_grant(const std::string& home,
                                         const allowance_grant& in,
                                         time_point now) {
  lease_actions out;
  lease given;
  given.home = home;
  given.id = in.id;
  given.home_incarnation = in.home_incarnation;
  given.epoch = in.epoch;
  given.left = in.tokens;
  const auto found = asks_.find(in.id);
  if (found == asks_.end() || found->second.home != home) {
    const bool unused = dropped_.erase(in.id) != 0;
    if (unused) out.emplace_back(settle_of(in.organisation, given));
    return out;
  }
  pending_ask ask = std::move(found->second);
  asks_.erase(found);
  const duration span = from_microseconds(in.waited_us + in.lease_us);
  const duration margin = span / options_.margin_divisor;
  given.ends = ask.first_sent + from_microseconds(in.age_us) + span - margin;
  if (now >= given.ends) {
    start_ask(std::move(ask), now, out);
    return out;
  }
  given.left = std::max(0.0, in.tokens - ask.tokens);
  remember(ask.acquire, ask.organisation, given, ask.tokens);
  out.emplace_back(granted(ask.acquire));
  keep(ask.organisation, std::move(given), out);
  return out;
}

void allowance_leases::drop(std::uint64_t ask_id) {
  dropped_.insert(ask_id);
  if (dropped_.size() > options_.most_dropped) {
    dropped_.erase(dropped_.begin());
  }
}

void allowance_leases::keep(const std::string& organisation, lease next,
                            lease_actions& out) {
  if (next.left <= rounding_tokens) {
    out.emplace_back(settle_of(organisation, next));
    return;
  }
  const auto found = leases_.find(organisation);
  if (found == leases_.end()) {
    leases_.emplace(organisation, std::move(next));
    return;
  }
  if (found->second.left < next.left) std::swap(found->second, next);
  out.emplace_back(settle_of(organisation, next));
}

lease_actions allowance_leases::on_refusal(const std::string& home,
                                           const allowance_refusal& in,
                                           time_point now) {
  lease_actions out;
  const auto found = asks_.find(in.id);
  if (found == asks_.end() || found->second.home != home) return out;
  if (in.wrong_home) {
    // tick() asks again, of whom the configuration names by then.
    found->second.last_sent = now;
    found->second.home.clear();
    return out;
  }
  out.emplace_back(lease_answer{found->second.acquire, false, in.within_rate,
                                from_microseconds(in.retry_after_us)});
  asks_.erase(found);
  return out;
}

void allowance_leases::home_reachable(const std::string& home, bool up,
                                      time_point now) {
  if (up) {
    lost_.erase(home);
  } else {
    lost_.emplace(home, now);
  }
}

time_point allowance_leases::given_up_at(const pending_ask& ask) const {
  const auto lost = lost_.find(ask.home);
  if (lost == lost_.end()) return ask.deadline;
  return std::min(ask.deadline, lost->second + options_.unreachable_limit);
}

lease_actions allowance_leases::tick(time_point now) {
  lease_actions out;
  for (auto each = leases_.begin(); each != leases_.end();) {
    if (now < each->second.ends) {
      ++each;
      continue;
    }
    out.emplace_back(settle_of(each->first, each->second));
    each = leases_.erase(each);
  }
  std::vector<pending_ask> moved;
  for (auto each = asks_.begin(); each != asks_.end();) {
    pending_ask& ask = each->second;
    if (now >= given_up_at(ask)) {
      out.emplace_back(
          lease_answer{ask.acquire, false, true, silent_home_retry});
      drop(each->first);
      each = asks_.erase(each);
      continue;
    }
    if (now - ask.last_sent >= options_.resend) {
      if (ask.home != home_of_(ask.organisation)) {
        moved.push_back(std::move(ask));
        drop(each->first);
        each = asks_.erase(each);
        continue;
      }
      ask.last_sent = now;
      if (!ask.home.empty()) out.emplace_back(copy_of(each->first, ask, now));
    }
    ++each;
  }
  for (pending_ask& ask : moved) start_ask(std::move(ask), now, out);
  return out;
}

std::optional<time_point> allowance_leases::next_tick() const {
  std::optional<time_point> next;
  const auto consider = [&next](time_point at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [organisation, each] : leases_) consider(each.ends);
  for (const auto& [id, each] : asks_) {
    consider(std::min(given_up_at(each), each.last_sent + options_.resend));
  }
  return next;
}

}  // namespace citronwharf
