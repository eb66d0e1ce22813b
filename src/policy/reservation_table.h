/// Reservations of a decode endpoint's memory: held and reserved pieces, and
/// the predicted times of their release.
#ifndef CITRONWHARF_POLICY_RESERVATION_TABLE_H_
#define CITRONWHARF_POLICY_RESERVATION_TABLE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// When decode memory is reserved for a request.
enum class reservation_policy {
  none,           ///< always granted; memory is checked on arrival
  free_now,       ///< only pieces that are free now
  predicted_free  ///< pieces expected free when the KV cache arrives
};

struct reservation_options {
  std::int32_t pieces_total = 20;
  std::int32_t max_running = 20;  ///< batch size that keeps the time between
                                  ///< tokens within its target
  reservation_policy policy = reservation_policy::predicted_free;
  duration lease = seconds(3);  ///< of a reservation after its predicted start
};

/// The result of a reserve() call.
struct reservation_decision {
  bool granted = false;
  duration available_in{};  ///< if granted: predicted
  duration retry_after{};   ///< if refused: predicted time until memory is free
};

/// Accounts for reserved and held memory; the engine is authoritative for
/// memory that is held. Performs no I/O and reads no clock; the caller passes
/// `now`. Not thread-safe.
class reservation_table {
 public:
  explicit reservation_table(reservation_options options);
  ~reservation_table();
  reservation_table(reservation_table&&) noexcept;
  reservation_table& operator=(reservation_table&&) noexcept;

  /// Reserves `pieces` for a request that starts in `ready_in` from now.
  /// Repeating a key returns the first decision again.
  reservation_decision reserve(const attempt_key& key, std::int32_t pieces,
                               duration ready_in, time_point now);
  /// Converts a reservation into held pieces at the start of the import.
  /// Returns false if the pieces are not free yet; retry after a release. A key
  /// without a reservation succeeds only if enough unreserved pieces are free.
  bool start(const attempt_key& key, std::int32_t pieces,
             time_point predicted_release, time_point now);
  /// Updates the predicted release of a held key.
  void update_predicted_release(const attempt_key& key,
                                time_point predicted_release);
  /// Releases the held or reserved pieces of the key; returns whether there
  /// were any.
  bool release(const attempt_key& key);
  /// Releases the reservations whose lease has expired; returns their keys.
  std::vector<attempt_key> expire(time_point now);

  std::int32_t held() const;      ///< pieces of running requests
  std::int32_t reserved() const;  ///< pieces reserved, not yet held
  std::int32_t free() const;      ///< pieces neither held nor reserved
  std::int32_t running() const;   ///< requests that hold pieces

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_RESERVATION_TABLE_H_
