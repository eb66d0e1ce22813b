#include "policy/allowance_lease.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

// Bound of the rounding error of summed doubles.
constexpr double rounding_tolerance_tokens = 1e-6;
// Retry-after when the home did not answer. A restarted home grants again after
// about this time.
constexpr duration unresponsive_home_retry_after = seconds(4);

acquire_result granted_result(std::uint64_t id) {
  return {id, true, true, duration::zero()};
}

}  // namespace

allowance_leases::allowance_leases(allowance_lease_options options,
                                   home_lookup home_of)
    : options_(options), home_of_(std::move(home_of)) {}

lease_actions allowance_leases::acquire(std::uint64_t id,
                                        const std::string& organisation,
                                        double tokens, time_point deadline,
                                        time_point now) {
  lease_actions actions;
  if (spend(id, organisation, tokens, now)) {
    actions.emplace_back(granted_result(id));
    return actions;
  }
  pending_ask ask;
  ask.acquire = id;
  ask.organisation = organisation;
  ask.tokens = tokens;
  ask.wanted = tokens * options_.prefetch_factor;
  ask.deadline = deadline;
  start_ask(std::move(ask), now, actions);
  return actions;
}

bool allowance_leases::spend(std::uint64_t acquire,
                             const std::string& organisation, double tokens,
                             time_point now) {
  const auto found = leases_.find(organisation);
  if (found == leases_.end()) return false;
  lease& from = found->second;
  const bool enough = from.remaining + rounding_tolerance_tokens >= tokens;
  if (now >= from.expires_at || !enough) return false;
  from.remaining = std::max(0.0, from.remaining - tokens);
  record_charge(acquire, organisation, from, tokens);
  return true;
}

void allowance_leases::record_charge(std::uint64_t acquire,
                                     const std::string& organisation,
                                     const lease& from, double tokens) {
  charges_[acquire] = {organisation,          from.home,  from.id,
                       from.home_incarnation, from.epoch, tokens};
  if (charges_.size() > options_.max_charges) {
    charges_.erase(charges_.begin());
  }
}

void allowance_leases::start_ask(pending_ask ask, time_point now,
                                 lease_actions& actions) {
  ask.home = home_of_(ask.organisation);
  ask.first_sent = now;
  ask.last_sent = now;
  const std::uint64_t id = ++last_ask_;
  if (!ask.home.empty()) actions.emplace_back(make_ask(id, ask, now));
  asks_.emplace(id, std::move(ask));
}

lease_message allowance_leases::make_ask(std::uint64_t id,
                                         const pending_ask& ask,
                                         time_point now) {
  allowance_ask request_copy;
  request_copy.organisation = ask.organisation;
  request_copy.id = id;
  request_copy.needed = ask.tokens;
  request_copy.wanted = ask.wanted;
  request_copy.deadline_us = to_microseconds(ask.deadline - now);
  request_copy.age_us = to_microseconds(now - ask.first_sent);
  return {ask.home, request_copy};
}

lease_message allowance_leases::make_settle(const std::string& organisation,
                                            const lease& closed) {
  allowance_settle request;
  request.organisation = organisation;
  request.id = closed.id;
  request.home_incarnation = closed.home_incarnation;
  request.epoch = closed.epoch;
  request.unused = closed.remaining;
  return {closed.home, request};
}

lease_actions allowance_leases::abandon(std::uint64_t id) {
  lease_actions actions;
  for (auto each = asks_.begin(); each != asks_.end(); ++each) {
    if (each->second.acquire != id) continue;
    allowance_cancel request;
    request.organisation = each->second.organisation;
    request.id = each->first;
    if (!each->second.home.empty()) {
      actions.emplace_back(lease_message{each->second.home, request});
    }
    record_dropped_ask(each->first);
    asks_.erase(each);
    break;
  }
  return actions;
}

lease_actions allowance_leases::give_back(std::uint64_t id, double tokens,
                                          time_point now) {
  lease_actions actions;
  const auto found = charges_.find(id);
  if (found == charges_.end()) return actions;
  const charge from = found->second;
  charges_.erase(found);
  const double unused = std::clamp(tokens, 0.0, from.tokens);
  const auto held = leases_.find(from.organisation);
  const bool still_held = held != leases_.end() &&
                          held->second.id == from.lease_id &&
                          now < held->second.expires_at;
  if (still_held) {
    held->second.remaining += unused;
    return actions;
  }
  allowance_refund request;
  request.organisation = from.organisation;
  request.id = from.lease_id;
  request.home_incarnation = from.home_incarnation;
  request.epoch = from.epoch;
  request.sequence = ++last_refund_;
  request.tokens = unused;
  actions.emplace_back(lease_message{from.home, request});
  return actions;
}

lease_actions allowance_leases::on_grant(const std::string& home,
                                         const allowance_grant& response,
                                         time_point now) {
  lease_actions actions;
  lease granted_lease;
  granted_lease.home = home;
  granted_lease.id = response.id;
  granted_lease.home_incarnation = response.home_incarnation;
  granted_lease.epoch = response.epoch;
  granted_lease.remaining = response.tokens;
  const auto found = asks_.find(response.id);
  if (found == asks_.end() || found->second.home != home) {
    const bool unused = dropped_asks_.erase(response.id) != 0;
    if (unused)
      actions.emplace_back(make_settle(response.organisation, granted_lease));
    return actions;
  }
  pending_ask ask = std::move(found->second);
  asks_.erase(found);
  const duration span =
      from_microseconds(response.waited_us + response.lease_us);
  const duration margin = span / options_.margin_divisor;
  granted_lease.expires_at =
      ask.first_sent + from_microseconds(response.age_us) + span - margin;
  if (now >= granted_lease.expires_at) {
    start_ask(std::move(ask), now, actions);
    return actions;
  }
  granted_lease.remaining = std::max(0.0, response.tokens - ask.tokens);
  record_charge(ask.acquire, ask.organisation, granted_lease, ask.tokens);
  actions.emplace_back(granted_result(ask.acquire));
  store_lease(ask.organisation, std::move(granted_lease), actions);
  return actions;
}

void allowance_leases::record_dropped_ask(std::uint64_t ask_id) {
  dropped_asks_.insert(ask_id);
  if (dropped_asks_.size() > options_.max_dropped_asks) {
    dropped_asks_.erase(dropped_asks_.begin());
  }
}

void allowance_leases::store_lease(const std::string& organisation,
                                   lease candidate, lease_actions& actions) {
  if (candidate.remaining <= rounding_tolerance_tokens) {
    actions.emplace_back(make_settle(organisation, candidate));
    return;
  }
  const auto found = leases_.find(organisation);
  if (found == leases_.end()) {
    leases_.emplace(organisation, std::move(candidate));
    return;
  }
  if (found->second.remaining < candidate.remaining)
    std::swap(found->second, candidate);
  actions.emplace_back(make_settle(organisation, candidate));
}

lease_actions allowance_leases::on_refusal(const std::string& home,
                                           const allowance_refusal& response,
                                           time_point now) {
  lease_actions actions;
  const auto found = asks_.find(response.id);
  if (found == asks_.end() || found->second.home != home) return actions;
  if (response.wrong_home) {
    // tick() sends the ask to the home that the configuration names by then.
    found->second.last_sent = now;
    found->second.home.clear();
    return actions;
  }
  actions.emplace_back(
      acquire_result{found->second.acquire, false, response.within_rate,
                     from_microseconds(response.retry_after_us)});
  asks_.erase(found);
  return actions;
}

void allowance_leases::set_home_reachable(const std::string& home, bool is_up,
                                          time_point now) {
  if (is_up) {
    unreachable_since_.erase(home);
  } else {
    unreachable_since_.emplace(home, now);
  }
}

time_point allowance_leases::give_up_time(const pending_ask& ask) const {
  const auto unreachable = unreachable_since_.find(ask.home);
  if (unreachable == unreachable_since_.end()) return ask.deadline;
  return std::min(ask.deadline,
                  unreachable->second + options_.unreachable_timeout);
}

lease_actions allowance_leases::tick(time_point now) {
  lease_actions actions;
  for (auto each = leases_.begin(); each != leases_.end();) {
    if (now < each->second.expires_at) {
      ++each;
      continue;
    }
    actions.emplace_back(make_settle(each->first, each->second));
    each = leases_.erase(each);
  }
  std::vector<pending_ask> reassigned;
  for (auto each = asks_.begin(); each != asks_.end();) {
    pending_ask& ask = each->second;
    if (now >= give_up_time(ask)) {
      actions.emplace_back(acquire_result{ask.acquire, false, true,
                                          unresponsive_home_retry_after});
      record_dropped_ask(each->first);
      each = asks_.erase(each);
      continue;
    }
    if (now - ask.last_sent >= options_.resend_interval) {
      if (ask.home != home_of_(ask.organisation)) {
        reassigned.push_back(std::move(ask));
        record_dropped_ask(each->first);
        each = asks_.erase(each);
        continue;
      }
      ask.last_sent = now;
      if (!ask.home.empty())
        actions.emplace_back(make_ask(each->first, ask, now));
    }
    ++each;
  }
  for (pending_ask& ask : reassigned) start_ask(std::move(ask), now, actions);
  return actions;
}

std::optional<time_point> allowance_leases::next_tick() const {
  std::optional<time_point> next;
  const auto consider = [&next](time_point time) {
    next = next ? std::min(*next, time) : time;
  };
  for (const auto& [organisation, each] : leases_) consider(each.expires_at);
  for (const auto& [id, each] : asks_) {
    consider(std::min(give_up_time(each),
                      each.last_sent + options_.resend_interval));
  }
  return next;
}

}  // namespace citronwharf
