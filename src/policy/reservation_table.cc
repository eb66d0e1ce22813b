#include "policy/reservation_table.h"

#include <algorithm>
#include <map>
#include <optional>

namespace citronwharf {
namespace {

// A request that outlives its prediction is predicted anew this much later at
// least, and the longer it is overdue the later.
constexpr duration least_overdue = milliseconds(20);
// Told when no release is known.
constexpr duration unknown_release = milliseconds(250);

struct promise {
  std::int32_t pieces = 0;
  time_point lease_end{};
  reservation_decision answer;
};

struct holding {
  std::int32_t pieces = 0;
  time_point predicted_release{};
};

// Memory and batch places that get free at a time.
struct release_event {
  time_point at;
  std::int32_t pieces;
};

}  // namespace

class reservation_table::impl {
 public:
  explicit impl(reservation_options options) : options_(options) {}

  reservation_decision reserve(const attempt_key& key, std::int32_t pieces,
                               duration ready_in, time_point now) {
    if (holdings_.count(key) != 0) return granted(duration::zero());
    const auto known = promises_.find(key);
    if (known != promises_.end()) return known->second.answer;
    if (options_.policy == promise_policy::none) {
      return granted(duration::zero());
    }
    const std::optional<duration> room_in = wait_for_room(pieces, now);
    if (!room_in) return refused(unknown_release);
    const duration wait = *room_in;
    const bool ahead = options_.policy == promise_policy::ahead;
    const duration allowed = ahead ? ready_in : duration::zero();
    if (wait > allowed) return refused(wait - allowed);
    const reservation_decision answer = granted(wait);
    const time_point lease_end = now + ready_in + options_.lease;
    promises_.emplace(key, promise{pieces, lease_end, answer});
    promised_ += pieces;
    return answer;
  }

  bool start(const attempt_key& key, std::int32_t pieces,
             time_point predicted_release) {
    if (holdings_.count(key) != 0) return true;
    const auto known = promises_.find(key);
    const bool had_promise = known != promises_.end();
    if (!fits(pieces, had_promise)) return false;
    if (had_promise) {
      promised_ -= known->second.pieces;
      promises_.erase(known);
    }
    holdings_.emplace(key, holding{pieces, predicted_release});
    held_ += pieces;
    return true;
  }

  void predict(const attempt_key& key, time_point predicted_release) {
    const auto found = holdings_.find(key);
    if (found == holdings_.end()) return;
    found->second.predicted_release = predicted_release;
  }

  bool release(const attempt_key& key) {
    const auto promised = promises_.find(key);
    if (promised != promises_.end()) {
      promised_ -= promised->second.pieces;
      promises_.erase(promised);
      return true;
    }
    const auto held = holdings_.find(key);
    if (held == holdings_.end()) return false;
    held_ -= held->second.pieces;
    holdings_.erase(held);
    return true;
  }

  std::vector<attempt_key> expire(time_point now) {
    std::vector<attempt_key> ended;
    for (const auto& [key, promised] : promises_) {
      if (promised.lease_end <= now) ended.push_back(key);
    }
    for (const attempt_key& key : ended) release(key);
    return ended;
  }

  std::int32_t held() const { return held_; }
  std::int32_t promised() const { return promised_; }
  std::int32_t free() const {
    return std::max(0, options_.pieces_total - held_ - promised_);
  }
  std::int32_t running() const {
    return static_cast<std::int32_t>(holdings_.size());
  }

 private:
  static reservation_decision granted(duration wait) {
    return {true, wait, duration::zero()};
  }
  static reservation_decision refused(duration wait) {
    return {false, duration::zero(), wait};
  }

  // Whether an import may start on what is free now. Others' promises count
  // only against those that have none.
  bool fits(std::int32_t pieces, bool had_promise) const {
    const bool promises_count =
        !had_promise && options_.policy != promise_policy::none;
    const std::int32_t taken = held_ + (promises_count ? promised_ : 0);
    const std::size_t waiting = promises_count ? promises_.size() : 0;
    const auto places = static_cast<std::size_t>(options_.max_running);
    return taken + pieces <= options_.pieces_total &&
           holdings_.size() + waiting < places;
  }

  // The span until `pieces` and a batch place are predicted free, with every
  // promise honoured first; nothing when no release that is known brings it.
  std::optional<duration> wait_for_room(std::int32_t pieces,
                                        time_point now) const {
    std::int32_t room = options_.pieces_total - held_ - promised_;
    std::int32_t places = options_.max_running - running() -
                          static_cast<std::int32_t>(promises_.size());
    if (room >= pieces && places > 0) return duration::zero();
    for (const release_event& next : releases(now)) {
      room += next.pieces;
      ++places;
      if (room >= pieces && places > 0) return next.at - now;
    }
    return std::nullopt;
  }

  std::vector<release_event> releases(time_point now) const {
    std::vector<release_event> events;
    events.reserve(holdings_.size());
    for (const auto& [key, held] : holdings_) {
      const duration overdue = now - held.predicted_release;
      const bool late = overdue >= duration::zero();
      const time_point at = late ? now + std::max(overdue, least_overdue)
                                 : held.predicted_release;
      events.push_back({at, held.pieces});
    }
    std::sort(events.begin(), events.end(),
              [](const release_event& lhs, const release_event& rhs) {
                return lhs.at < rhs.at;
              });
    return events;
  }

  reservation_options options_;
  std::map<attempt_key, promise> promises_;
  std::map<attempt_key, holding> holdings_;
  std::int32_t held_ = 0;
  std::int32_t promised_ = 0;
};

reservation_table::reservation_table(reservation_options options)
    : impl_(std::make_unique<impl>(options)) {}
reservation_table::~reservation_table() = default;
reservation_table::reservation_table(reservation_table&&) noexcept = default;
reservation_table& reservation_table::operator=(reservation_table&&) noexcept =
    default;

reservation_decision reservation_table::reserve(const attempt_key& key,
                                                std::int32_t pieces,
                                                duration ready_in,
                                                time_point now) {
  return impl_->reserve(key, pieces, ready_in, now);
}

bool reservation_table::start(const attempt_key& key, std::int32_t pieces,
                              time_point predicted_release,
                              time_point /*now*/) {
  return impl_->start(key, pieces, predicted_release);
}

void reservation_table::predict(const attempt_key& key,
                                time_point predicted_release) {
  impl_->predict(key, predicted_release);
}

bool reservation_table::release(const attempt_key& key) {
  return impl_->release(key);
}

std::vector<attempt_key> reservation_table::expire(time_point now) {
  return impl_->expire(now);
}

std::int32_t reservation_table::held() const {
  return impl_->held();
}
std::int32_t reservation_table::promised() const {
  return impl_->promised();
}
std::int32_t reservation_table::free() const {
  return impl_->free();
}
std::int32_t reservation_table::running() const {
  return impl_->running();
}

}  // namespace citronwharf
