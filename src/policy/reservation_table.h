/// A decode endpoint's memory: what is held, what is promised, and what will
/// be free when.
#ifndef CITRONWHARF_POLICY_RESERVATION_TABLE_H_
#define CITRONWHARF_POLICY_RESERVATION_TABLE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// When decode memory is promised to a request.
enum class promise_policy {
  none,      ///< always granted; memory is found, or not, on arrival
  free_now,  ///< only pieces that are free now
  ahead      ///< pieces predicted free when the KV cache arrives
};

struct reservation_options {
  std::int32_t pieces_total = 20;
  std::int32_t max_running = 20;  ///< batch size that keeps the time between
                                  ///< tokens within its target
  promise_policy policy = promise_policy::ahead;
  duration lease = seconds(3);  ///< of a promise after its predicted start
};

/// The answer to a reservation.
struct reservation_decision {
  bool granted = false;
  duration available_in{};  ///< when granted: predicted
  duration retry_after{};   ///< when refused: when room is predicted
};

/// Keeps the books; the engine itself is the truth for memory that is held.
/// No I/O, no clock of its own. One thread.
class reservation_table {
 public:
  explicit reservation_table(reservation_options options);
  ~reservation_table();
  reservation_table(reservation_table&&) noexcept;
  reservation_table& operator=(reservation_table&&) noexcept;

  /// Asks for `pieces` in `ready_in` from now. A repeat of a key gets the
  /// first answer again.
  reservation_decision reserve(const attempt_key& key, std::int32_t pieces,
                               duration ready_in, time_point now);
  /// Turns a promise into held pieces, at the start of the import. Returns
  /// false when the pieces are not free yet; ask again after a release.
  /// Keys without a promise are taken only if pieces are left over.
  bool start(const attempt_key& key, std::int32_t pieces,
             time_point predicted_release, time_point now);
  /// Updates the predicted release of a held key.
  void predict(const attempt_key& key, time_point predicted_release);
  /// Frees what the key holds or was promised; returns whether it had any.
  bool release(const attempt_key& key);
  /// Frees the promises whose lease ended; returns their keys.
  std::vector<attempt_key> expire(time_point now);

  std::int32_t held() const;      ///< pieces of running requests
  std::int32_t promised() const;  ///< pieces promised, not yet held
  std::int32_t free() const;      ///< neither
  std::int32_t running() const;   ///< requests that hold pieces

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_RESERVATION_TABLE_H_
