/// What the home of one organisation's allowance has given and may give.
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

/// Names a lease: one ask of one incarnation of an entry process.
struct lease_key {
  std::string entry;
  std::uint64_t incarnation = 0;
  std::uint64_t id = 0;
};
inline bool operator<(const lease_key& lhs, const lease_key& rhs) {
  return std::tie(lhs.entry, lhs.incarnation, lhs.id) <
         std::tie(rhs.entry, rhs.incarnation, rhs.id);
}

/// The least room below the burst since a moment of the past, for refunds: a
/// refund may only fill room that was there ever since the charge. One thread.
class room_history {
 public:
  /// Records the present room and returns the mark of this moment.
  std::uint64_t note(double room);
  /// Returns the least room since the mark, 0 when that is too long ago.
  double least_since(std::uint64_t mark) const;
  /// Counts `tokens` as if they had never been taken since the mark.
  void fill(std::uint64_t mark, double tokens);
  /// Forgets the past: refunds from before it get nothing.
  void clear();

 private:
  struct entry {
    std::uint64_t mark;
    double room;  // least from the mark to now; grows along the deque
  };
  std::deque<entry> rooms_;
  std::uint64_t last_mark_ = 0;
  std::uint64_t forgotten_ = 0;  // the newest mark that can't be asked for
};

/// A token bucket whose open leases count against the burst until they are
/// settled or over. So what is free here and unspent in leases is never more
/// than the burst and grows by the rate only: no interval of length t sees
/// more than rate * t + burst spent, whenever entries spend their leases.
/// No I/O, no clock of its own; earlier readings count as no time. One thread.
class allowance_ledger {
 public:
  /// Holds no token at `starts_at`, and accrues from then on.
  allowance_ledger(allowance limit, duration lease, time_point starts_at);

  /// Accrues, and closes the leases that are over as spent.
  void advance(time_point now);
  void set_limit(allowance limit, time_point now);
  /// Returns what may be given now; 0 before the start.
  double free(time_point now);
  /// Opens a lease; the same key again changes nothing. Precondition:
  /// tokens <= free(now).
  void grant(const lease_key& key, double tokens, time_point now);
  /// Closes a lease; `unused` is free again. Repeats change nothing.
  void settle(const lease_key& key, double unused, time_point now);
  /// Takes back part of what was spent from a closed lease, never over the
  /// burst at any time since. `sequence` must go up for each lease.
  void refund(const lease_key& key, std::uint64_t sequence, double tokens,
              time_point now);
  /// Returns the span until `tokens` have accrued, leases aside;
  /// duration::max() when they never do.
  duration wait_for(double tokens, time_point now);
  /// Returns when the next open lease is over.
  std::optional<time_point> next_expiry() const;
  const allowance& limit() const { return limit_; }
  time_point starts_at() const { return starts_at_; }

 private:
  struct lease_record {
    double tokens = 0;
    bool open = true;
    double spent = 0;
    time_point ends;           // at the latest
    std::uint64_t closed = 0;  // mark of the end
    std::uint64_t refund_sequence = 0;
  };

  void accrue(time_point to);
  void close(const lease_key& key, lease_record& lease, double unused);
  void forget_old();
  double room() const { return limit_.burst_tokens - free_ - leased_; }

  allowance limit_;
  duration lease_;
  time_point starts_at_;
  time_point at_;
  double free_ = 0;
  double leased_ = 0;  // in open leases, at their full size
  std::map<lease_key, lease_record> leases_;
  std::set<std::pair<time_point, lease_key>> open_;
  std::deque<std::pair<time_point, lease_key>> closed_;
  room_history rooms_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ALLOWANCE_LEDGER_H_
