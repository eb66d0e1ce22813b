/// Leases of the attempts that this endpoint holds for entry processes.
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
  duration lease = seconds(5);       ///< since the holder last wanted it
  duration retention = seconds(60);  ///< of ended attempts, to detect repeats
  duration max_sweep_gap = seconds(1);  ///< between sweeps; a longer gap
                                        ///< means the process was suspended
};

/// Leases of attempts to their holders (entry process and incarnation).
///
/// An attempt is held from hold(), begin() or adopt() until end() or forget().
/// Its lease is renewed by wanted_attempts messages that name it. A holder that
/// is connected and has sent no claims yet is assumed to want all its attempts.
/// A new incarnation of an entry ends the leases of the previous one at once.
/// Performs no I/O and reads no clock; the caller passes `now`.
/// Not thread-safe.
class attempt_leases {
 public:
  explicit attempt_leases(attempt_lease_options options) : options_(options) {}

  /// Holds the attempt; a repeat renews its lease. Returns `cancelled`, and
  /// holds nothing, if the attempt has already ended.
  failure_reason hold(const attempt_key& key, time_point now);
  /// Holds the attempt and marks it as started. Returns `duplicate` if it was
  /// started before, `cancelled` if it ended before it was started.
  failure_reason begin(const attempt_key& key, time_point now);
  /// Ends the attempt: it is no longer held, and repeats are detected for the
  /// retention period.
  void end(const attempt_key& key, time_point now);
  /// Stops holding an attempt that was not started; it may be sent again.
  void forget(const attempt_key& key);
  /// Holds an attempt that the engine has held since before this process
  /// started; its lease expires unless a live holder claims it. Returns false
  /// if the attempt has already ended here, by a cancel that arrived first.
  bool adopt(const attempt_key& key, time_point now);

  /// Records that a session was established or lost. Returns the attempts of
  /// other incarnations of the entry, which the caller cancels.
  std::vector<attempt_key> update_session(const std::string& entry,
                                          std::uint64_t incarnation,
                                          bool connected, time_point now);
  /// Renews the leases of the attempts that `claims` names.
  void claim(const wanted_attempts& claims, time_point now);
  /// Returns the attempts whose lease has expired, which the caller cancels,
  /// and removes ended attempts past their retention. Time for which this
  /// process was suspended does not count towards expiry.
  std::vector<attempt_key> sweep(time_point now);

  bool holds(const attempt_key& key) const;
  std::size_t size() const { return held_count_; }

 private:
  struct lease_record {
    time_point last_wanted{};  ///< time of the end if ended
    bool started = false;
    bool ended = false;
  };
  struct holder_session {
    std::uint64_t incarnation = 0;
    bool connected = false;
    bool has_claimed = false;  ///< whether claims came in this session
  };
  bool is_implicitly_claimed(const attempt_key& key) const;
  lease_record& renew_lease(const attempt_key& key, time_point now);

  attempt_lease_options options_;
  std::map<attempt_key, lease_record> records_;
  std::map<std::string, holder_session> holders_;
  std::size_t held_count_ = 0;
  time_point last_sweep_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ATTEMPT_LEASES_H_
