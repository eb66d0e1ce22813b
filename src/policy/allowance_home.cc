#include "policy/allowance_home.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronwharf {
namespace {

// Only what is above this share of the burst is leased ahead of need.
constexpr double reserved_share = 0.5;
// Sums of doubles differ from the true sum by less than this.
constexpr double rounding_tokens = 1e-6;
// Told when the organisation asks for more than ever fits its burst.
constexpr duration never_fits_retry = seconds(60);

allowance_refusal refusal(const allowance_ask& in, bool within_rate,
                          duration wait) {
  allowance_refusal made;
  made.organisation = in.organisation;
  made.id = in.id;
  made.within_rate = within_rate;
  made.retry_after_us = to_microseconds(wait);
  return made;
}

home_reply reply_to(const lease_key& key, allowance_grant message) {
  return {key.entry, key.incarnation, std::move(message)};
}
home_reply reply_to(const lease_key& key, allowance_refusal message) {
  return {key.entry, key.incarnation, std::move(message)};
}

}  // namespace

allowance_home::allowance_home(allowance_home_options options,
                               std::uint64_t self)
    : options_(options), self_(self) {}

allowance_home::account& allowance_home::open(const std::string& organisation,
                                              const home_terms& terms,
                                              time_point now) {
  const auto found = accounts_.find(organisation);
  if (found != accounts_.end()) {
    renew(organisation, terms, now);
    return found->second;
  }
  account made{allowance_ledger(terms.limit, options_.lease, terms.starts_at),
               ++last_epoch_,
               terms.entries,
               {},
               0,
               {},
               {}};
  return accounts_.emplace(organisation, std::move(made)).first->second;
}

void allowance_home::renew(const std::string& organisation,
                           const home_terms& terms, time_point now) {
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end()) return;
  account& of = found->second;
  of.entries = terms.entries;
  if (of.ledger.starts_at() != terms.starts_at) {
    of.ledger = allowance_ledger(terms.limit, options_.lease, terms.starts_at);
    of.epoch = ++last_epoch_;
    of.granted.clear();
    of.granted_ends.clear();
  } else if (of.ledger.limit() != terms.limit) {
    of.ledger.set_limit(terms.limit, now);
  }
}

home_replies allowance_home::resign(const std::string& organisation) {
  home_replies replies;
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end()) return replies;
  for (const waiting_ask& each : found->second.waiting) {
    allowance_refusal sent = refusal(each.in, true, duration::zero());
    sent.wrong_home = true;
    replies.push_back(reply_to(each.key, std::move(sent)));
  }
  accounts_.erase(found);
  busy_.erase(organisation);
  return replies;
}

bool allowance_home::refresh(account& of, const lease_key& key,
                             const allowance_ask& in, time_point now) {
  for (waiting_ask& each : of.waiting) {
    if (each.key < key || key < each.key) continue;
    each.in = in;
    each.received = now;
    return true;
  }
  return false;
}

home_replies allowance_home::ask(const std::string& entry,
                                 std::uint64_t incarnation,
                                 const allowance_ask& in,
                                 const home_terms& terms, time_point now) {
  const lease_key key{entry, incarnation, in.id};
  account& of = open(in.organisation, terms, now);
  forget_granted(of, now);
  const auto known = of.granted.find(key);
  if (known != of.granted.end()) return {reply_to(key, known->second)};
  if (refresh(of, key, in, now)) return {};
  const duration left = from_microseconds(in.deadline_us);
  const bool fits = in.needed <= terms.limit.burst_tokens + rounding_tokens;
  if (!fits) return {reply_to(key, refusal(in, false, never_fits_retry))};
  const duration wait = predicted_wait(of, of.waiting_tokens + in.needed, now);
  if (wait > left || of.waiting.size() >= options_.max_waiting) {
    const bool starting = now < of.ledger.starts_at();
    return {reply_to(key, refusal(in, starting, wait))};
  }
  of.waiting.push_back({key, in, now, now + left});
  of.waiting_tokens += in.needed;
  home_replies replies;
  serve_one(of, now, replies);
  if (!of.waiting.empty()) busy_.insert(in.organisation);
  return replies;
}

duration allowance_home::predicted_wait(account& of, double tokens,
                                        time_point now) {
  const duration wait = of.ledger.wait_for(tokens, now);
  return std::min(wait, never_fits_retry);
}

void allowance_home::settle(const std::string& entry, std::uint64_t incarnation,
                            const allowance_settle& in, time_point now) {
  const auto found = accounts_.find(in.organisation);
  if (found == accounts_.end() || in.home_incarnation != self_) return;
  if (found->second.epoch != in.epoch) return;
  found->second.ledger.settle({entry, incarnation, in.id}, in.unused, now);
}

void allowance_home::refund(const std::string& entry, std::uint64_t incarnation,
                            const allowance_refund& in, time_point now) {
  const auto found = accounts_.find(in.organisation);
  if (found == accounts_.end() || in.home_incarnation != self_) return;
  if (found->second.epoch != in.epoch) return;
  found->second.ledger.refund({entry, incarnation, in.id}, in.sequence,
                              in.tokens, now);
}

void allowance_home::cancel(const std::string& entry, std::uint64_t incarnation,
                            const allowance_cancel& in) {
  const auto found = accounts_.find(in.organisation);
  if (found == accounts_.end()) return;
  const lease_key key{entry, incarnation, in.id};
  account& of = found->second;
  const auto same = [&key](const waiting_ask& each) {
    return !(each.key < key) && !(key < each.key);
  };
  const auto at = std::find_if(of.waiting.begin(), of.waiting.end(), same);
  if (at == of.waiting.end()) return;
  of.waiting_tokens -= at->in.needed;
  of.waiting.erase(at);
}

home_replies allowance_home::serve(time_point now) {
  home_replies replies;
  for (auto name = busy_.begin(); name != busy_.end();) {
    account& of = accounts_.at(*name);
    serve_one(of, now, replies);
    name = of.waiting.empty() ? busy_.erase(name) : std::next(name);
  }
  return replies;
}

void allowance_home::serve_one(account& of, time_point now,
                               home_replies& replies) {
  while (!of.waiting.empty()) {
    const waiting_ask& first = of.waiting.front();
    const bool silent = now - first.received > options_.silence_limit;
    const bool late = now >= first.deadline;
    if (!silent && !late) {
      if (now >= authorised_until_) return;
      const double free = of.ledger.free(now);
      if (free + rounding_tokens < first.in.needed) return;
      replies.push_back(reply_to(first.key, give(of, first, now)));
    } else if (late && !silent) {
      const duration wait = predicted_wait(of, of.waiting_tokens, now);
      replies.push_back(reply_to(first.key, refusal(first.in, true, wait)));
    }
    of.waiting_tokens -= first.in.needed;
    of.waiting.pop_front();
    if (of.waiting.empty()) of.waiting_tokens = 0;
  }
}

allowance_grant allowance_home::give(account& of, const waiting_ask& to,
                                     time_point now) {
  const double free = of.ledger.free(now);
  const double reserved = of.ledger.limit().burst_tokens * reserved_share;
  const double spare = std::max(0.0, free - to.in.needed - reserved);
  const double share = spare / static_cast<double>(of.entries);
  const double ahead = std::max(0.0, to.in.wanted - to.in.needed);
  allowance_grant made;
  made.organisation = to.in.organisation;
  made.id = to.in.id;
  made.home_incarnation = self_;
  made.epoch = of.epoch;
  made.tokens = to.in.needed + std::min(share, ahead);
  made.age_us = to.in.age_us;
  made.waited_us = to_microseconds(now - to.received);
  made.lease_us = to_microseconds(options_.lease);
  of.ledger.grant(to.key, made.tokens, now);
  of.granted.emplace(to.key, made);
  of.granted_ends.emplace_back(now, to.key);
  return made;
}

void allowance_home::forget_granted(account& of, time_point now) const {
  while (!of.granted_ends.empty() &&
         of.granted_ends.front().first + options_.repeat_window <= now) {
    of.granted.erase(of.granted_ends.front().second);
    of.granted_ends.pop_front();
  }
}

std::optional<time_point> allowance_home::next_serve(time_point now) {
  std::optional<time_point> next;
  for (const std::string& name : busy_) {
    account& of = accounts_.at(name);
    if (of.waiting.empty()) continue;
    const waiting_ask& first = of.waiting.front();
    const duration wait = predicted_wait(of, first.in.needed, now);
    time_point due = std::min(first.deadline, now + wait);
    const auto expiry = of.ledger.next_expiry();
    if (expiry) due = std::min(due, *expiry);
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

std::vector<std::string> allowance_home::organisations() const {
  std::vector<std::string> names;
  names.reserve(accounts_.size());
  for (const auto& [name, of] : accounts_) names.push_back(name);
  return names;
}

}  // namespace citronwharf
