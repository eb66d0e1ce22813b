/// What this endpoint holds for whom, and until when.
#ifndef CITRONWHARF_ENDPOINT_ATTEMPT_LEASES_H_
#define CITRONWHARF_ENDPOINT_ATTEMPT_LEASES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/request_messages.h"

namespace citronwharf {

struct attempt_lease_options {
  duration lease = seconds(5);        ///< after the holder last wanted it
  duration retention = seconds(60);   ///< of ended attempts, against repeats
  duration longest_gap = seconds(1);  ///< between two sweeps of a live process
};

/// Leases of attempts to their holders (entry process and incarnation).
///
/// An attempt is held from hold() until release(). Its lease is renewed by
/// wanted_attempts that name it; while a holder's session is up and it has sent
/// no claims yet, it is taken to want everything. A new incarnation of an
/// entry ends the holds of the one before at once. No I/O, no clock of its
/// own. One thread.
class attempt_leases {
 public:
  explicit attempt_leases(attempt_lease_options options) : options_(options) {}

  /// Holds something for the attempt; a repeat renews the lease. Returns
  /// `cancelled` for an attempt that ended before, and holds nothing.
  failure_reason hold(const attempt_key& key, time_point now);
  /// Starts the attempt's run, holding it. Returns `duplicate` when it was
  /// started before, `cancelled` when it ended before it started.
  failure_reason begin(const attempt_key& key, time_point now);
  /// Ends the attempt: nothing is held for it any more, and a repeat is known
  /// for the retention.
  void end(const attempt_key& key, time_point now);
  /// Lets go of an attempt that was held but not started; it may come again.
  void forget(const attempt_key& key);
  /// Takes over what the engine holds from before this process started; it is
  /// dropped unless a live holder claims it within the lease. Returns false
  /// for an attempt that was ended here before, by a cancel that came first.
  bool adopt(const attempt_key& key, time_point now);

  /// A session came up or was lost. Returns attempts of earlier incarnations,
  /// to be dropped now.
  std::vector<attempt_key> session(const std::string& entry,
                                   std::uint64_t incarnation, bool up,
                                   time_point now);
  /// Renews the leases of the attempts named.
  void claim(const wanted_attempts& claims, time_point now);
  /// Returns the attempts whose lease ended, to be dropped now, and forgets
  /// repeats past their retention. A gap in this process's own run, as after
  /// it was frozen, doesn't count against holders.
  std::vector<attempt_key> sweep(time_point now);

  bool holds(const attempt_key& key) const;
  std::size_t size() const { return held_; }

 private:
  struct record {
    time_point wanted{};  ///< last wanted; when ended: time of the end
    bool started = false;
    bool ended = false;
  };
  struct holder {
    std::uint64_t incarnation = 0;
    bool up = false;
    bool claims = false;  ///< has sent claims in this session
  };
  bool wants_all(const attempt_key& key) const;
  record& renew(const attempt_key& key, time_point now);

  attempt_lease_options options_;
  std::map<attempt_key, record> records_;
  std::map<std::string, holder> holders_;
  std::size_t held_ = 0;
  time_point swept_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ATTEMPT_LEASES_H_
