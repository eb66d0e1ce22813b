#include "policy/allowance_home.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronwharf {
namespace {

// Tokens beyond the need of a request are leased only above this fraction of
// the burst.
constexpr double reserved_burst_fraction = 0.5;
// Bound of the rounding error of summed doubles.
constexpr double rounding_tolerance_tokens = 1e-6;
// Retry-after for asks that exceed the burst; also the longest predicted wait.
constexpr duration max_retry_after = seconds(60);

allowance_refusal make_refusal(const allowance_ask& request, bool within_rate,
                               duration wait) {
  allowance_refusal result;
  result.organisation = request.organisation;
  result.id = request.id;
  result.within_rate = within_rate;
  result.retry_after_us = to_microseconds(wait);
  return result;
}

home_reply reply_to(const lease_key& key, allowance_grant message) {
  return {key.entry, key.incarnation, std::move(message)};
}
home_reply reply_to(const lease_key& key, allowance_refusal message) {
  return {key.entry, key.incarnation, std::move(message)};
}

}  // namespace

allowance_home::allowance_home(allowance_home_options options,
                               std::uint64_t own_incarnation)
    : options_(options), own_incarnation_(own_incarnation) {}

allowance_home::organisation_account& allowance_home::open_account(
    const std::string& organisation, const home_terms& terms, time_point now) {
  const auto found = accounts_.find(organisation);
  if (found != accounts_.end()) {
    update_terms(organisation, terms, now);
    return found->second;
  }
  organisation_account result{
      allowance_ledger(terms.limit, options_.lease, terms.starts_at),
      ++last_epoch_,
      terms.entries,
      {},
      0,
      {},
      {}};
  return accounts_.emplace(organisation, std::move(result)).first->second;
}

void allowance_home::update_terms(const std::string& organisation,
                                  const home_terms& terms, time_point now) {
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end()) return;
  organisation_account& account = found->second;
  account.entries = terms.entries;
  if (account.ledger.starts_at() != terms.starts_at) {
    account.ledger =
        allowance_ledger(terms.limit, options_.lease, terms.starts_at);
    account.epoch = ++last_epoch_;
    account.recent_grants.clear();
    account.recent_grant_times.clear();
  } else if (account.ledger.limit() != terms.limit) {
    account.ledger.set_limit(terms.limit, now);
  }
}

home_replies allowance_home::resign(const std::string& organisation) {
  home_replies replies;
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end()) return replies;
  for (const waiting_ask& each : found->second.waiting) {
    allowance_refusal response =
        make_refusal(each.request, true, duration::zero());
    response.wrong_home = true;
    replies.push_back(reply_to(each.key, std::move(response)));
  }
  accounts_.erase(found);
  waiting_organisations_.erase(organisation);
  return replies;
}

bool allowance_home::update_waiting(organisation_account& account,
                                    const lease_key& key,
                                    const allowance_ask& request,
                                    time_point now) {
  for (waiting_ask& each : account.waiting) {
    if (each.key < key || key < each.key) continue;
    each.request = request;
    each.received = now;
    return true;
  }
  return false;
}

home_replies allowance_home::ask(const std::string& entry,
                                 std::uint64_t incarnation,
                                 const allowance_ask& request,
                                 const home_terms& terms, time_point now) {
  const lease_key key{entry, incarnation, request.id};
  organisation_account& account =
      open_account(request.organisation, terms, now);
  discard_old_grants(account, now);
  const auto repeated = account.recent_grants.find(key);
  if (repeated != account.recent_grants.end())
    return {reply_to(key, repeated->second)};
  if (update_waiting(account, key, request, now)) return {};
  const duration time_left = from_microseconds(request.deadline_us);
  const bool fits =
      request.needed <= terms.limit.burst_tokens + rounding_tolerance_tokens;
  if (!fits)
    return {reply_to(key, make_refusal(request, false, max_retry_after))};
  const duration wait =
      predicted_wait(account, account.waiting_tokens + request.needed, now);
  if (wait > time_left || account.waiting.size() >= options_.max_waiting) {
    const bool not_started = now < account.ledger.starts_at();
    return {reply_to(key, make_refusal(request, not_started, wait))};
  }
  account.waiting.push_back({key, request, now, now + time_left});
  account.waiting_tokens += request.needed;
  home_replies replies;
  serve_account(account, now, replies);
  if (!account.waiting.empty())
    waiting_organisations_.insert(request.organisation);
  return replies;
}

duration allowance_home::predicted_wait(organisation_account& account,
                                        double tokens, time_point now) {
  const duration wait = account.ledger.wait_for(tokens, now);
  return std::min(wait, max_retry_after);
}

void allowance_home::settle(const std::string& entry, std::uint64_t incarnation,
                            const allowance_settle& request, time_point now) {
  const auto found = accounts_.find(request.organisation);
  if (found == accounts_.end() || request.home_incarnation != own_incarnation_)
    return;
  if (found->second.epoch != request.epoch) return;
  found->second.ledger.settle({entry, incarnation, request.id}, request.unused,
                              now);
}

void allowance_home::refund(const std::string& entry, std::uint64_t incarnation,
                            const allowance_refund& request, time_point now) {
  const auto found = accounts_.find(request.organisation);
  if (found == accounts_.end() || request.home_incarnation != own_incarnation_)
    return;
  if (found->second.epoch != request.epoch) return;
  found->second.ledger.refund({entry, incarnation, request.id},
                              request.sequence, request.tokens, now);
}

void allowance_home::cancel(const std::string& entry, std::uint64_t incarnation,
                            const allowance_cancel& request) {
  const auto found = accounts_.find(request.organisation);
  if (found == accounts_.end()) return;
  const lease_key key{entry, incarnation, request.id};
  organisation_account& account = found->second;
  const auto is_same_ask = [&key](const waiting_ask& each) {
    return !(each.key < key) && !(key < each.key);
  };
  const auto position =
      std::find_if(account.waiting.begin(), account.waiting.end(), is_same_ask);
  if (position == account.waiting.end()) return;
  account.waiting_tokens -= position->request.needed;
  account.waiting.erase(position);
}

home_replies allowance_home::serve_waiting(time_point now) {
  home_replies replies;
  for (auto name = waiting_organisations_.begin();
       name != waiting_organisations_.end();) {
    organisation_account& account = accounts_.at(*name);
    serve_account(account, now, replies);
    name = account.waiting.empty() ? waiting_organisations_.erase(name)
                                   : std::next(name);
  }
  return replies;
}

void allowance_home::serve_account(organisation_account& account,
                                   time_point now, home_replies& replies) {
  while (!account.waiting.empty()) {
    const waiting_ask& first = account.waiting.front();
    const bool abandoned = now - first.received > options_.resend_timeout;
    const bool late = now >= first.deadline;
    if (!abandoned && !late) {
      if (now >= authorised_until_) return;
      const double available = account.ledger.available(now);
      if (available + rounding_tolerance_tokens < first.request.needed) return;
      replies.push_back(reply_to(first.key, make_grant(account, first, now)));
    } else if (late && !abandoned) {
      const duration wait =
          predicted_wait(account, account.waiting_tokens, now);
      replies.push_back(
          reply_to(first.key, make_refusal(first.request, true, wait)));
    }
    account.waiting_tokens -= first.request.needed;
    account.waiting.pop_front();
    if (account.waiting.empty()) account.waiting_tokens = 0;
  }
}

allowance_grant allowance_home::make_grant(organisation_account& account,
                                           const waiting_ask& target,
                                           time_point now) {
  const double available = account.ledger.available(now);
  const double reserved =
      account.ledger.limit().burst_tokens * reserved_burst_fraction;
  const double surplus =
      std::max(0.0, available - target.request.needed - reserved);
  const double share = surplus / static_cast<double>(account.entries);
  const double extra_wanted =
      std::max(0.0, target.request.wanted - target.request.needed);
  allowance_grant result;
  result.organisation = target.request.organisation;
  result.id = target.request.id;
  result.home_incarnation = own_incarnation_;
  result.epoch = account.epoch;
  result.tokens = target.request.needed + std::min(share, extra_wanted);
  result.age_us = target.request.age_us;
  result.waited_us = to_microseconds(now - target.received);
  result.lease_us = to_microseconds(options_.lease);
  account.ledger.grant(target.key, result.tokens, now);
  account.recent_grants.emplace(target.key, result);
  account.recent_grant_times.emplace_back(now, target.key);
  return result;
}

void allowance_home::discard_old_grants(organisation_account& account,
                                        time_point now) const {
  while (!account.recent_grant_times.empty() &&
         account.recent_grant_times.front().first + options_.grant_retention <=
             now) {
    account.recent_grants.erase(account.recent_grant_times.front().second);
    account.recent_grant_times.pop_front();
  }
}

std::optional<time_point> allowance_home::next_serve_time(time_point now) {
  std::optional<time_point> next;
  for (const std::string& name : waiting_organisations_) {
    organisation_account& account = accounts_.at(name);
    if (account.waiting.empty()) continue;
    const waiting_ask& first = account.waiting.front();
    const duration wait = predicted_wait(account, first.request.needed, now);
    time_point due = std::min(first.deadline, now + wait);
    const auto expiry = account.ledger.next_expiry();
    if (expiry) due = std::min(due, *expiry);
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

std::vector<std::string> allowance_home::organisations() const {
  std::vector<std::string> names;
  names.reserve(accounts_.size());
  for (const auto& [name, account] : accounts_) names.push_back(name);
  return names;
}

}  // namespace citronwharf
