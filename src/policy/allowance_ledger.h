/// The home's account of one organisation's allowance: tokens leased and
/// tokens available.
#ifndef CITRONWHARF_POLICY_ALLOWANCE_LEDGER_H_
#define CITRONWHARF_POLICY_ALLOWANCE_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "base/clock.h"
#include "citronwharf/configuration.h"

namespace citronwharf {

/// Identifies a lease: one ask of one incarnation of an entry process.
struct lease_key {
  std::string entry;
  std::uint64_t incarnation = 0;
  std::uint64_t id = 0;
};
inline bool operator<(const lease_key& lhs, const lease_key& rhs) {
  return std::tie(lhs.entry, lhs.incarnation, lhs.id) <
         std::tie(rhs.entry, rhs.incarnation, rhs.id);
}

/// Tracks the minimum headroom below the burst since past moments. A refund is
/// credited only up to the headroom that existed at all times since the charge;
/// the remainder would have overflowed the bucket. Not thread-safe.
class headroom_history {
 public:
  /// Records the current headroom and returns a mark for this moment.
  std::uint64_t record(double headroom);
  /// Returns the minimum headroom since the mark, 0 if the mark was discarded.
  double min_since(std::uint64_t mark) const;
  /// Lowers the headroom since the mark by `tokens`, as if they had never been
  /// taken.
  void reduce_since(std::uint64_t mark, double tokens);
  /// Discards the history: refunds of earlier charges are credited nothing.
  void clear();

 private:
  struct entry {
    std::uint64_t mark;
    double headroom;  // minimum from the mark to now; increases along the deque
  };
  std::deque<entry> headroom_;
  std::uint64_t last_mark_ = 0;
  std::uint64_t last_discarded_mark_ = 0;  // newest mark without history
};

/// A token bucket whose open leases count against the burst until they are
/// settled or expire. The sum of available and leased unspent tokens therefore
/// never exceeds the burst and grows at the rate only: at most rate * t + burst
/// is spent in any interval of length t, whenever entries spend their leases.
/// Performs no I/O and reads no clock; the caller passes `now`, and an earlier
/// `now` than before counts as no time passed. Not thread-safe.
class allowance_ledger {
 public:
  /// Starts empty at `starts_at` and accrues tokens from then on.
  allowance_ledger(allowance limit, duration lease, time_point starts_at);

  /// Accrues tokens and closes expired leases as fully spent.
  void advance(time_point now);
  void set_limit(allowance limit, time_point now);
  /// Returns the tokens that may be leased now; 0 before the start.
  double available(time_point now);
  /// Opens a lease; repeating a key has no effect. Precondition:
  /// tokens <= available(now).
  void grant(const lease_key& key, double tokens, time_point now);
  /// Closes a lease; `unused` tokens become available again. Repeating the call
  /// has no effect.
  void settle(const lease_key& key, double unused, time_point now);
  /// Credits part of what was spent from a closed lease, as far as the burst
  /// would not have been exceeded at any time since. `sequence` must increase
  /// for each lease.
  void refund(const lease_key& key, std::uint64_t sequence, double tokens,
              time_point now);
  /// Returns the time until `tokens` have accrued, ignoring the end of leases;
  /// duration::max() when they never do.
  duration wait_for(double tokens, time_point now);
  /// Returns when the next open lease expires.
  std::optional<time_point> next_expiry() const;
  const allowance& limit() const { return limit_; }
  time_point starts_at() const { return starts_at_; }

 private:
  struct lease_record {
    double tokens = 0;
    bool open = true;
    double spent = 0;
    time_point ends;                 // if not settled before
    std::uint64_t closing_mark = 0;  // see headroom_history
    std::uint64_t refund_sequence = 0;
  };

  void accrue(time_point to);
  void close(const lease_key& key, lease_record& lease, double unused);
  void discard_old_leases();
  double headroom() const {
    return limit_.burst_tokens - available_tokens_ - leased_tokens_;
  }

  allowance limit_;
  duration lease_duration_;
  time_point starts_at_;
  time_point accrued_until_;
  double available_tokens_ = 0;
  double leased_tokens_ = 0;  // full size of the open leases
  std::map<lease_key, lease_record> leases_;
  std::set<std::pair<time_point, lease_key>> open_leases_;
  std::deque<std::pair<time_point, lease_key>> closed_leases_;
  headroom_history headroom_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ALLOWANCE_LEDGER_H_
