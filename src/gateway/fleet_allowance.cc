#include "gateway/fleet_allowance.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronwharf {
namespace {

// Share of the burst that an account of a new leader starts with.
constexpr double initial_burst_share = 0.25;
// Share of the burst that a gateway gets in addition to what it asked for, and
// the fill level of the bucket above which it does. An unused surplus is lost,
// so it is only granted where tokens would soon overflow the bucket.
constexpr double surplus_share = 1.0 / 32;
constexpr double surplus_min_fill = 0.9;
// Requests of up to this share of the burst don't queue behind larger ones.
constexpr double small_request_share = 1.0 / 64;
// A surplus expires this long after the latest addition.
constexpr duration surplus_lifetime = milliseconds(500);
// After a timeout the leader is not asked for this long, which is about the
// duration of an election.
constexpr duration leader_retry_delay = milliseconds(500);
// An organisation with less than this share of its burst left counts as near
// its limit. A gateway remembers that for about as long as the window over
// which an organisation's use is bounded.
constexpr double scarce_share = 0.5;
constexpr duration scarcity_lifetime = seconds(8);
// Upper bound of computed waits. A request that needs more than the whole burst
// waits for a full bucket.
constexpr duration max_accrual_wait = seconds(5);
// Lower bound of the wait for a part that does not suffice: zero means granted,
// and a missing fraction of a token would round to it.
constexpr duration min_accrual_wait = milliseconds(1);
// Share of an account's rate that the gateways together grant at random without
// a leader. The rest covers the variance of their sum.
constexpr double random_grant_share = 0.6;
// Bounds of the interval between decisions while requests of several urgencies
// wait.
constexpr duration min_shares_check = milliseconds(2);
constexpr duration max_shares_check = milliseconds(25);
// Time without requests of an urgency after which it is no longer in use.
constexpr duration several_lifetime = seconds(10);
// Prefixes of the names of accounts.
constexpr const char* organisation_prefix = "organisation:";
constexpr const char* server_prefix = "server:";

std::optional<std::string> remove_prefix(const std::string& account,
                                         const std::string& prefix) {
  return account.compare(0, prefix.size(), prefix) == 0
             ? std::optional<std::string>(account.substr(prefix.size()))
             : std::nullopt;
}

}  // namespace

std::string organisation_account(const std::string& organisation) {
  return organisation_prefix + organisation;
}

std::string server_account(const std::string& server) {
  return server_prefix + server;
}

std::optional<std::string> find_organisation(const std::string& account) {
  return remove_prefix(account, organisation_prefix);
}

std::optional<std::string> find_server(const std::string& account) {
  return remove_prefix(account, server_prefix);
}

allowance to_allowance(double tokens_per_second, double burst_tokens) {
  allowance out;
  out.tokens_per_second = tokens_per_second;
  out.burst_tokens = std::max(burst_tokens, 1.0);
  return out;
}

reserving_bucket::reserving_bucket(allowance limit, double tokens,
                                   time_point now)
    : limit_(limit),
      tokens_(std::min(tokens, limit.burst_tokens)),
      accrued_at_(now) {}

void reserving_bucket::accrue_until(time_point now) {
  if (now <= accrued_at_) {
    return;
  }
  const double gained =
      limit_.tokens_per_second * to_seconds(now - accrued_at_);
  tokens_ = std::min(limit_.burst_tokens, tokens_ + gained);
  accrued_at_ = now;
}

void reserving_bucket::set_limit(allowance limit, time_point now) {
  accrue_until(now);
  limit_ = limit;
  tokens_ = std::min(tokens_, limit.burst_tokens);
}

duration reserving_bucket::accrual_time(double tokens) const {
  if (tokens <= 0) {
    return {};
  }
  if (limit_.tokens_per_second <= 0) {
    return max_accrual_wait;
  }
  return std::min(max_accrual_wait,
                  from_seconds(tokens / limit_.tokens_per_second));
}

std::optional<duration> reserving_bucket::take(double tokens,
                                               duration longest_wait,
                                               time_point now) {
  accrue_until(now);
  const duration wait = accrual_time(tokens - tokens_);
  if (wait > longest_wait) {
    return std::nullopt;
  }
  tokens_ -= tokens;
  return wait;
}

void reserving_bucket::put_back(double tokens, time_point now) {
  accrue_until(now);
  tokens_ = std::min(limit_.burst_tokens, tokens_ + std::max(tokens, 0.0));
}

void reserving_bucket::discard_accrued(time_point now) {
  accrue_until(now);
  tokens_ = std::min(tokens_, 0.0);
}

duration reserving_bucket::wait_until_accrued(double tokens, time_point now) {
  accrue_until(now);
  return accrual_time(tokens - tokens_);
}

double reserving_bucket::available(time_point now) {
  accrue_until(now);
  return tokens_;
}

void fleet_allowance_leader::ask_queue::push(queued_ask ask, bool by_deadline) {
  tokens += ask.tokens;
  const auto at =
      by_deadline
          ? std::upper_bound(asks.begin(), asks.end(), ask,
                             [](const queued_ask& lhs, const queued_ask& rhs) {
                               return lhs.deadline < rhs.deadline;
                             })
          : asks.end();
  asks.insert(at, std::move(ask));
}

fleet_allowance_leader::queued_ask fleet_allowance_leader::ask_queue::pop() {
  queued_ask out = std::move(asks.front());
  asks.pop_front();
  tokens = asks.empty() ? 0 : tokens - out.tokens;
  return out;
}

fleet_allowance_leader::account& fleet_allowance_leader::find_or_add_account(
    const std::string& name, const allowance& limit, time_point now) {
  auto found = accounts_.find(name);
  if (found == accounts_.end()) {
    const double initial_tokens = limit.burst_tokens * initial_burst_share;
    const reserving_bucket bucket(limit, initial_tokens, leads_since_);
    found =
        accounts_
            .emplace(
                name,
                account{
                    bucket, initial_tokens, std::vector<ask_level>(1), {}, {}})
            .first;
  }
  reserving_bucket& bucket = found->second.bucket;
  if (!(bucket.limit() == limit)) {
    bucket.set_limit(limit, now);
  }
  return found->second;
}

bool fleet_allowance_leader::account::has_queued_before(
    std::size_t level) const {
  return std::any_of(levels.begin(),
                     levels.begin() + static_cast<std::ptrdiff_t>(level),
                     [](const ask_level& each) { return each.has_queued(); });
}

// Precondition: shares.
double fleet_allowance_leader::account::available(std::size_t level,
                                                  time_point now) {
  const double content = bucket.available(now);
  shares->update(bucket.limit(), now);
  return shares->available(level, content, has_queued_before(level));
}

bool fleet_allowance_leader::account::take(std::size_t level, double tokens,
                                           time_point now) {
  if ((shares && available(level, now) < tokens) ||
      !bucket.take(tokens, {}, now)) {
    return false;
  }
  if (shares) {
    shares->take(level, tokens);
  }
  return true;
}

double fleet_allowance_leader::account::rate(std::size_t level) const {
  return shares ? shares->rate(level) : bucket.limit().tokens_per_second;
}

duration fleet_allowance_leader::account::wait_until_available(
    std::size_t level, double tokens, time_point now) {
  if (!shares) {
    return bucket.wait_until_accrued(tokens, now);
  }
  const double missing = tokens - available(level, now);
  if (missing <= 0) {
    return {};
  }
  const double own_rate = rate(level);
  return own_rate <= 0
             ? max_accrual_wait
             : std::min(max_accrual_wait, from_seconds(missing / own_rate));
}

// Spreads the retries of refused callers: each one is told to retry when the
// tokens for those refused before it and for itself have accrued.
duration fleet_allowance_leader::suggest_retry_wait(account& owner,
                                                    std::size_t level,
                                                    double tokens,
                                                    time_point now) {
  ask_level& queues = owner.levels[level];
  const duration queue_wait = owner.wait_until_available(
      level, queues.small.tokens + queues.large.tokens + tokens, now);
  const duration earlier_retries_wait =
      std::max(duration{}, queues.retries_until - now);
  const double rate = owner.rate(level);
  const duration own_wait =
      rate > 0 ? std::min(max_accrual_wait, from_seconds(tokens / rate))
               : max_accrual_wait;
  const duration wait = std::min(
      max_accrual_wait, std::max(queue_wait, earlier_retries_wait + own_wait));
  queues.retries_until = now + wait;
  return wait;
}

// Records the request's urgency and returns the level that it belongs to. There
// is one level unless requests of several urgencies were seen lately. Small
// requests without an urgency, such as those to plain services, precede the
// others of the first level and say nothing about urgencies.
std::size_t fleet_allowance_leader::note_urgency(account& owner,
                                                 const fleet_tokens_ask& in,
                                                 double tokens, bool small,
                                                 time_point now) {
  if (small && in.urgency == 0) {
    return 0;
  }
  const auto level = static_cast<std::size_t>(std::clamp<std::int64_t>(
      in.urgency, 0, urgency_shares::max_urgencies - 1));
  owner.last_asked[level] = now;
  const auto in_use =
      std::count_if(owner.last_asked.begin(), owner.last_asked.end(),
                    [now](const std::optional<time_point>& each) {
                      return each && now - *each < several_lifetime;
                    });
  if (in_use < 2) {
    const bool one_queue =
        std::none_of(std::next(owner.levels.begin()), owner.levels.end(),
                     [](const ask_level& each) { return each.has_queued(); });
    if (one_queue) {
      owner.shares.reset();
      owner.levels.resize(1);
      return 0;
    }
  }
  if (!owner.shares) {
    owner.shares.emplace();
  }
  if (owner.levels.size() <= level) {
    owner.levels.resize(level + 1);
  }
  owner.shares->record_ask(level, tokens, now);
  return level;
}

fleet_tokens_reply fleet_allowance_leader::ask(const std::string& process,
                                               const fleet_tokens_ask& in,
                                               const account_limit& terms,
                                               time_point now) {
  const double burst = terms.limit.burst_tokens;
  account& owner = find_or_add_account(in.account, terms.limit, now);
  const double tokens = std::min(in.tokens, burst);
  const bool small = tokens <= burst * small_request_share;
  const std::size_t level = note_urgency(owner, in, tokens, small, now);
  ask_level& queues = owner.levels[level];
  const bool at_head = small ? queues.small.asks.empty() : !queues.has_queued();
  fleet_tokens_reply out;
  out.id = in.id;
  out.leads = true;
  out.scarce = owner.has_queued() ||
               owner.bucket.available(now) - tokens < burst * scarce_share;
  const double tokens_ahead =
      queues.small.tokens + (small ? 0 : queues.large.tokens);
  const duration allowed_wait = from_microseconds(in.max_wait_us);
  if (at_head && owner.take(level, tokens, now)) {
    out.granted = true;
    if (!owner.has_queued() &&
        owner.bucket.available(now) > burst * surplus_min_fill) {
      out.surplus_tokens = burst * surplus_share;
      owner.bucket.take(out.surplus_tokens, {}, now);
    }
    return out;
  }
  const duration wait =
      owner.wait_until_available(level, tokens_ahead + tokens, now);
  if (wait > allowed_wait) {
    out.wait_us = to_microseconds(
        terms.single_requests ? wait
                              : suggest_retry_wait(owner, level, tokens, now));
    return out;
  }
  out.queued = true;
  out.wait_us = to_microseconds(wait);
  (small ? queues.small : queues.large)
      .push({process, in.id, tokens, now + allowed_wait},
            owner.shares.has_value());
  accounts_with_queue_.insert(in.account);
  return out;
}

// Dequeues the due requests of one level.
void fleet_allowance_leader::decide_level(
    account& owner, std::size_t level, time_point now,
    std::vector<fleet_tokens_decision>& out) {
  while (owner.levels[level].has_queued()) {
    ask_queue& queue = owner.levels[level].next_queue();
    const queued_ask& front = queue.asks.front();
    fleet_tokens_reply reply;
    reply.id = front.id;
    reply.leads = true;
    reply.scarce = true;
    if (owner.take(level, front.tokens, now)) {
      reply.granted = true;
    } else if (now >= front.deadline) {
      // Small or more urgent requests that arrived later were served first.
      reply.wait_us =
          to_microseconds(suggest_retry_wait(owner, level, front.tokens, now));
    } else {
      return;
    }
    out.push_back({queue.pop().process, reply});
  }
}

std::vector<fleet_tokens_decision> fleet_allowance_leader::decide(
    time_point now) {
  std::vector<fleet_tokens_decision> out;
  for (auto name = accounts_with_queue_.begin();
       name != accounts_with_queue_.end();) {
    account& owner = accounts_.at(*name);
    for (std::size_t level = 0; level < owner.levels.size(); ++level) {
      decide_level(owner, level, now, out);
    }
    name =
        owner.has_queued() ? std::next(name) : accounts_with_queue_.erase(name);
  }
  return out;
}

std::optional<time_point> fleet_allowance_leader::next_decision(
    time_point now) {
  std::optional<time_point> out;
  for (const std::string& name : accounts_with_queue_) {
    account& owner = accounts_.at(name);
    for (std::size_t level = 0; level < owner.levels.size(); ++level) {
      if (!owner.levels[level].has_queued()) {
        continue;
      }
      const queued_ask& front = owner.levels[level].next_queue().asks.front();
      duration wait = owner.wait_until_available(level, front.tokens, now);
      if (owner.shares) {
        // The rate of an urgency changes with what others ask for.
        wait = std::clamp(wait, min_shares_check, max_shares_check);
      }
      const time_point due = std::min(front.deadline, now + wait);
      out = out ? std::min(*out, due) : due;
    }
  }
  return out;
}

bool fleet_allowance_leader::has_tokens(const std::string& name, double tokens,
                                        const allowance& limit,
                                        time_point now) {
  account& owner = find_or_add_account(name, limit, now);
  return !owner.has_queued() && owner.bucket.available(now) >= tokens;
}

void fleet_allowance_leader::take(const std::string& name, double tokens,
                                  const allowance& limit, time_point now) {
  find_or_add_account(name, limit, now)
      .bucket.take(tokens, duration::max(), now);
}

void fleet_allowance_leader::refund(const fleet_tokens_refund& in,
                                    time_point now) {
  const auto found = accounts_.find(in.account);
  if (found != accounts_.end() &&
      now - from_microseconds(in.age_us) >= leads_since_) {
    found->second.bucket.put_back(in.tokens, now);
  }
}

void fleet_allowance_leader::charge(const fleet_tokens_spent& in,
                                    const allowance& limit, time_point now) {
  account& owner = find_or_add_account(in.account, limit, now);
  double charged = in.tokens;
  if (now - from_microseconds(in.age_us) < leads_since_) {
    charged = std::min(charged, owner.initial_tokens);
    owner.initial_tokens -= charged;
  }
  owner.bucket.take(charged, duration::max(), now);
}

bool fleet_allowance_share::take_surplus(const std::string& name, double tokens,
                                         time_point now) {
  const auto found = surplus_.find(name);
  if (found == surplus_.end() || now >= found->second.expires_at ||
      found->second.tokens < tokens) {
    return false;
  }
  found->second.tokens -= tokens;
  return true;
}

void fleet_allowance_share::add_surplus(const std::string& name, double tokens,
                                        time_point now) {
  surplus& held = surplus_[name];
  if (now >= held.expires_at) {
    held.tokens = 0;
  }
  held.tokens += tokens;
  held.expires_at = now + surplus_lifetime;
}

void fleet_allowance_share::leader_silent(time_point now) {
  next_ask_at_ = now + leader_retry_delay;
}

// Tokens that accrued until the leader's last reply were available for the
// leader to grant, so they are removed from the own part.
void fleet_allowance_share::on_leader_reply(const std::string& name,
                                            const fleet_tokens_reply& reply,
                                            time_point now) {
  next_ask_at_ = time_point{};
  if (!reply.leads) {
    return;
  }
  random_parts_.erase(name);
  if (!reply.scarce) {
    last_scarce_at_.erase(name);
    return;
  }
  last_scarce_at_[name] = now;
  const auto part = own_part_.find(name);
  if (part != own_part_.end()) {
    part->second.bucket.discard_accrued(now);
  }
}

bool fleet_allowance_share::is_scarce(const std::string& name,
                                      time_point now) const {
  const auto found = last_scarce_at_.find(name);
  return found != last_scarce_at_.end() &&
         now - found->second < scarcity_lifetime;
}

std::vector<fleet_tokens_spent> fleet_allowance_share::take_spent(
    time_point now) {
  std::vector<fleet_tokens_spent> out;
  for (const auto& [name, each] : std::exchange(unreported_spending_, {})) {
    out.push_back({name, each.tokens, to_microseconds(now - each.last_at)});
  }
  return out;
}

duration fleet_allowance_share::take_own_part(const std::string& name,
                                              const allowance& limit,
                                              double tokens,
                                              std::size_t processes,
                                              double draw, time_point now) {
  const auto parts = static_cast<double>(std::max<std::size_t>(1, processes));
  const allowance part =
      to_allowance(limit.tokens_per_second / parts, limit.burst_tokens / parts);
  auto found = own_part_.find(name);
  if (found == own_part_.end()) {
    const reserving_bucket new_bucket =
        is_scarce(name, now)
            ? reserving_bucket(part, 0, last_scarce_at_.at(name))
            : reserving_bucket(part, part.burst_tokens, now);
    found = own_part_.emplace(name, own_part{new_bucket, {}, {}}).first;
  }
  own_part& own = found->second;
  const bool near_limit =
      is_scarce(name, now) ||
      (own.last_short_at && now - *own.last_short_at < scarcity_lifetime);
  double burst = part.burst_tokens;
  if (!own.needed_share) {
    own.needed_share = draw;
  } else if (near_limit) {
    burst = std::max(burst, own.bucket.limit().burst_tokens);
  }
  // A request may be larger than the burst of a part. A full part suffices for
  // it once; after that the part accrues up to what it needs.
  const double needed = near_limit ? *own.needed_share * tokens
                                   : std::min(tokens, part.burst_tokens);
  own.bucket.set_limit(
      to_allowance(part.tokens_per_second, std::max(burst, needed)), now);
  const double available_here = own.bucket.available(now);
  if (available_here < tokens) {
    own.last_short_at = now;
  }
  if (available_here < needed) {
    return std::max(min_accrual_wait,
                    own.bucket.wait_until_accrued(needed, now));
  }
  own.bucket.take(tokens, duration::max(), now);
  if (available_here < tokens) {
    own.needed_share.reset();
  }
  add_spending(name, tokens, now);
  return {};
}

void fleet_allowance_share::add_spending(const std::string& name, double tokens,
                                         time_point now) {
  spending& spent = unreported_spending_[name];
  spent.tokens += tokens;
  spent.last_at = now;
}

duration fleet_allowance_share::take_own_part_at_random(
    const std::string& name, const allowance& limit, double tokens,
    std::size_t processes, double draw, time_point now) {
  const auto parts = static_cast<double>(std::max<std::size_t>(1, processes));
  allowance part;
  part.tokens_per_second = limit.tokens_per_second * random_grant_share / parts;
  part.burst_tokens = limit.burst_tokens / parts;
  reserving_bucket& bucket =
      random_parts_.emplace(name, reserving_bucket(part, 0, now)).first->second;
  bucket.set_limit(part, now);
  const double available = std::min(tokens, bucket.available(now));
  bucket.take(available, duration::max(), now);
  if (draw * tokens < available) {
    add_spending(name, tokens, now);
    return {};
  }
  return std::max(
      min_accrual_wait,
      bucket.wait_until_accrued(std::min(tokens, part.burst_tokens), now));
}

}  // namespace citronwharf
