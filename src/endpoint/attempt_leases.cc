#include "endpoint/attempt_leases.h"

#include <algorithm>

namespace citronwharf {

attempt_leases::record& attempt_leases::renew(const attempt_key& key,
                                              time_point now) {
  const auto [at, added] = records_.try_emplace(key);
  held_ += added ? 1 : 0;
  at->second.wanted = now;
  return at->second;
}

failure_reason attempt_leases::hold(const attempt_key& key, time_point now) {
  const auto found = records_.find(key);
  if (found != records_.end() && found->second.ended) {
    return failure_reason::cancelled;
  }
  renew(key, now);
  return failure_reason::none;
}

failure_reason attempt_leases::begin(const attempt_key& key, time_point now) {
  const auto found = records_.find(key);
  if (found != records_.end() && found->second.started) {
    return failure_reason::duplicate;
  }
  if (found != records_.end() && found->second.ended) {
    return failure_reason::cancelled;
  }
  renew(key, now).started = true;
  return failure_reason::none;
}

void attempt_leases::end(const attempt_key& key, time_point now) {
  record& one = renew(key, now);
  held_ -= one.ended ? 0 : 1;
  one.ended = true;
}

void attempt_leases::forget(const attempt_key& key) {
  const auto found = records_.find(key);
  if (found != records_.end() && !found->second.started &&
      !found->second.ended) {
    records_.erase(found);
    --held_;
  }
}

bool attempt_leases::adopt(const attempt_key& key, time_point now) {
  const auto found = records_.find(key);
  if (found != records_.end()) {
    return !found->second.ended;
  }
  renew(key, now).started = true;
  return true;
}

std::vector<attempt_key> attempt_leases::session(const std::string& entry,
                                                 std::uint64_t incarnation,
                                                 bool up, time_point now) {
  holder& one = holders_[entry];
  if (!up) {
    one.up = one.up && one.incarnation != incarnation;
    return {};
  }
  one = {incarnation, true, false};
  std::vector<attempt_key> gone;
  for (auto& [key, held] : records_) {
    if (key.entry != entry || held.ended) {
      continue;
    }
    if (key.incarnation != incarnation) {
      gone.push_back(key);
    } else {
      held.wanted = now;
    }
  }
  return gone;
}

void attempt_leases::claim(const wanted_attempts& claims, time_point now) {
  const auto found = holders_.find(claims.entry);
  if (found == holders_.end() ||
      found->second.incarnation != claims.incarnation) {
    return;
  }
  found->second.claims = true;
  for (const attempt_key& key : claims.wanted) {
    const auto held = records_.find(key);
    if (held != records_.end() && !held->second.ended) {
      held->second.wanted = now;
    }
  }
}

bool attempt_leases::wants_all(const attempt_key& key) const {
  const auto found = holders_.find(key.entry);
  return found != holders_.end() && found->second.up && !found->second.claims &&
         found->second.incarnation == key.incarnation;
}

std::vector<attempt_key> attempt_leases::sweep(time_point now) {
  const duration gap = swept_ == time_point{} ? duration(0) : now - swept_;
  const duration frozen = gap > options_.longest_gap ? gap : duration(0);
  swept_ = now;
  std::vector<attempt_key> gone;
  for (auto at = records_.begin(); at != records_.end();) {
    record& one = at->second;
    if (one.ended) {
      const bool old = now - one.wanted > options_.retention;
      at = old ? records_.erase(at) : std::next(at);
      continue;
    }
    one.wanted =
        wants_all(at->first) ? now : std::min(now, one.wanted + frozen);
    if (now - one.wanted > options_.lease) {
      gone.push_back(at->first);
    }
    ++at;
  }
  return gone;
}

bool attempt_leases::holds(const attempt_key& key) const {
  const auto found = records_.find(key);
  return found != records_.end() && !found->second.ended;
}

}  // namespace citronwharf
