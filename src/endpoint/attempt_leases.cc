#include "endpoint/attempt_leases.h"

#include <algorithm>

namespace citronwharf {

attempt_leases::lease_record& attempt_leases::renew_lease(
    const attempt_key& key, time_point now) {
  const auto [position, inserted] = records_.try_emplace(key);
  held_count_ += inserted ? 1 : 0;
  position->second.last_wanted = now;
  return position->second;
}

failure_reason attempt_leases::hold(const attempt_key& key, time_point now) {
  const auto found = records_.find(key);
  if (found != records_.end() && found->second.ended) {
    return failure_reason::cancelled;
  }
  renew_lease(key, now);
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
  renew_lease(key, now).started = true;
  return failure_reason::none;
}

void attempt_leases::end(const attempt_key& key, time_point now) {
  lease_record& record = renew_lease(key, now);
  held_count_ -= record.ended ? 0 : 1;
  record.ended = true;
}

void attempt_leases::forget(const attempt_key& key) {
  const auto found = records_.find(key);
  if (found != records_.end() && !found->second.started &&
      !found->second.ended) {
    records_.erase(found);
    --held_count_;
  }
}

bool attempt_leases::adopt(const attempt_key& key, time_point now) {
  const auto found = records_.find(key);
  if (found != records_.end()) {
    return !found->second.ended;
  }
  renew_lease(key, now).started = true;
  return true;
}

std::vector<attempt_key> attempt_leases::update_session(
    const std::string& entry, std::uint64_t incarnation, bool connected,
    time_point now) {
  holder_session& current = holders_[entry];
  if (!connected) {
    current.connected = current.connected && current.incarnation != incarnation;
    return {};
  }
  current = {incarnation, true, false};
  std::vector<attempt_key> to_cancel;
  for (auto& [key, held_record] : records_) {
    if (key.entry != entry || held_record.ended) {
      continue;
    }
    if (key.incarnation != incarnation) {
      to_cancel.push_back(key);
    } else {
      held_record.last_wanted = now;
    }
  }
  return to_cancel;
}

void attempt_leases::claim(const wanted_attempts& claims, time_point now) {
  const auto found = holders_.find(claims.entry);
  if (found == holders_.end() ||
      found->second.incarnation != claims.incarnation) {
    return;
  }
  found->second.has_claimed = true;
  for (const attempt_key& key : claims.wanted) {
    const auto held_record = records_.find(key);
    if (held_record != records_.end() && !held_record->second.ended) {
      held_record->second.last_wanted = now;
    }
  }
}

bool attempt_leases::is_implicitly_claimed(const attempt_key& key) const {
  const auto found = holders_.find(key.entry);
  return found != holders_.end() && found->second.connected &&
         !found->second.has_claimed &&
         found->second.incarnation == key.incarnation;
}

std::vector<attempt_key> attempt_leases::sweep(time_point now) {
  const duration sweep_gap =
      last_sweep_ == time_point{} ? duration(0) : now - last_sweep_;
  const duration suspended_time =
      sweep_gap > options_.max_sweep_gap ? sweep_gap : duration(0);
  last_sweep_ = now;
  std::vector<attempt_key> to_cancel;
  for (auto position = records_.begin(); position != records_.end();) {
    lease_record& record = position->second;
    if (record.ended) {
      const bool is_past_retention =
          now - record.last_wanted > options_.retention;
      position =
          is_past_retention ? records_.erase(position) : std::next(position);
      continue;
    }
    record.last_wanted =
        is_implicitly_claimed(position->first)
            ? now
            : std::min(now, record.last_wanted + suspended_time);
    if (now - record.last_wanted > options_.lease) {
      to_cancel.push_back(position->first);
    }
    ++position;
  }
  return to_cancel;
}

bool attempt_leases::holds(const attempt_key& key) const {
  const auto found = records_.find(key);
  return found != records_.end() && !found->second.ended;
}

}  // namespace citronwharf
