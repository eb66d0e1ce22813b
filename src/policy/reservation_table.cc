#include "policy/reservation_table.h"

#include <algorithm>
#include <map>
#include <optional>

namespace citronwharf {
namespace {

// A request that runs past its predicted release is expected to run for as long
// again as it is already overdue, but for at least this long.
constexpr duration min_overdue = milliseconds(20);
// Used when no release is predicted.
constexpr duration default_retry_after = milliseconds(250);

struct reservation {
  std::int32_t pieces = 0;
  time_point lease_end{};
  reservation_decision decision;
};

struct held_memory {
  std::int32_t pieces = 0;
  time_point predicted_release{};
};

// Pieces and one batch slot that become free at a time.
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
    if (held_memory_.count(key) != 0) return granted(duration::zero());
    const auto existing = reservations_.find(key);
    if (existing != reservations_.end()) return existing->second.decision;
    if (options_.policy == reservation_policy::none) {
      return granted(duration::zero());
    }
    const std::optional<duration> capacity_in = wait_for_capacity(pieces, now);
    if (!capacity_in) return refused(default_retry_after);
    const duration wait = *capacity_in;
    const bool predicted_free =
        options_.policy == reservation_policy::predicted_free;
    const duration max_wait = predicted_free ? ready_in : duration::zero();
    if (wait > max_wait) return refused(wait - max_wait);
    const reservation_decision decision = granted(wait);
    const time_point lease_end = now + ready_in + options_.lease;
    reservations_.emplace(key, reservation{pieces, lease_end, decision});
    reserved_pieces_ += pieces;
    return decision;
  }

  bool start(const attempt_key& key, std::int32_t pieces,
             time_point predicted_release) {
    if (held_memory_.count(key) != 0) return true;
    const auto existing = reservations_.find(key);
    const bool has_reservation = existing != reservations_.end();
    if (!fits(pieces, has_reservation)) return false;
    if (has_reservation) {
      reserved_pieces_ -= existing->second.pieces;
      reservations_.erase(existing);
    }
    held_memory_.emplace(key, held_memory{pieces, predicted_release});
    held_pieces_ += pieces;
    return true;
  }

  void update_predicted_release(const attempt_key& key,
                                time_point predicted_release) {
    const auto found = held_memory_.find(key);
    if (found == held_memory_.end()) return;
    found->second.predicted_release = predicted_release;
  }

  bool release(const attempt_key& key) {
    const auto reserved = reservations_.find(key);
    if (reserved != reservations_.end()) {
      reserved_pieces_ -= reserved->second.pieces;
      reservations_.erase(reserved);
      return true;
    }
    const auto held = held_memory_.find(key);
    if (held == held_memory_.end()) return false;
    held_pieces_ -= held->second.pieces;
    held_memory_.erase(held);
    return true;
  }

  std::vector<attempt_key> expire(time_point now) {
    std::vector<attempt_key> expired;
    for (const auto& [key, reserved] : reservations_) {
      if (reserved.lease_end <= now) expired.push_back(key);
    }
    for (const attempt_key& key : expired) release(key);
    return expired;
  }

  std::int32_t held() const { return held_pieces_; }
  std::int32_t reserved() const { return reserved_pieces_; }
  std::int32_t free() const {
    return std::max(0, options_.pieces_total - held_pieces_ - reserved_pieces_);
  }
  std::int32_t running() const {
    return static_cast<std::int32_t>(held_memory_.size());
  }

 private:
  static reservation_decision granted(duration wait) {
    return {true, wait, duration::zero()};
  }
  static reservation_decision refused(duration wait) {
    return {false, duration::zero(), wait};
  }

  // Returns whether an import may start now. Reservations of other requests
  // count only against a request that has none.
  bool fits(std::int32_t pieces, bool has_reservation) const {
    const bool count_reservations =
        !has_reservation && options_.policy != reservation_policy::none;
    const std::int32_t used_pieces =
        held_pieces_ + (count_reservations ? reserved_pieces_ : 0);
    const std::size_t reserved_slots =
        count_reservations ? reservations_.size() : 0;
    const auto slots = static_cast<std::size_t>(options_.max_running);
    return used_pieces + pieces <= options_.pieces_total &&
           held_memory_.size() + reserved_slots < slots;
  }

  // Returns the time until `pieces` and a batch slot are predicted free after
  // all reservations are served; nothing if the known releases do not suffice.
  std::optional<duration> wait_for_capacity(std::int32_t pieces,
                                            time_point now) const {
    std::int32_t free_pieces =
        options_.pieces_total - held_pieces_ - reserved_pieces_;
    std::int32_t free_slots = options_.max_running - running() -
                              static_cast<std::int32_t>(reservations_.size());
    if (free_pieces >= pieces && free_slots > 0) return duration::zero();
    for (const release_event& next : releases(now)) {
      free_pieces += next.pieces;
      ++free_slots;
      if (free_pieces >= pieces && free_slots > 0) return next.at - now;
    }
    return std::nullopt;
  }

  std::vector<release_event> releases(time_point now) const {
    std::vector<release_event> events;
    events.reserve(held_memory_.size());
    for (const auto& [key, held] : held_memory_) {
      const duration overdue = now - held.predicted_release;
      const bool is_overdue = overdue >= duration::zero();
      const time_point at = is_overdue ? now + std::max(overdue, min_overdue)
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
  std::map<attempt_key, reservation> reservations_;
  std::map<attempt_key, held_memory> held_memory_;
  std::int32_t held_pieces_ = 0;
  std::int32_t reserved_pieces_ = 0;
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

void reservation_table::update_predicted_release(const attempt_key& key,
                                                 time_point predicted_release) {
  impl_->update_predicted_release(key, predicted_release);
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
std::int32_t reservation_table::reserved() const {
  return impl_->reserved();
}
std::int32_t reservation_table::free() const {
  return impl_->free();
}
std::int32_t reservation_table::running() const {
  return impl_->running();
}

}  // namespace citronwharf
