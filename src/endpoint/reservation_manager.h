/// Reserves decode memory for requests, in fair-queue order.
#ifndef CITRONWHARF_ENDPOINT_RESERVATION_MANAGER_H_
#define CITRONWHARF_ENDPOINT_RESERVATION_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "endpoint/work_handler.h"
#include "policy/reservation_table.h"

namespace citronwharf {

/// Handles reserve_request and replies to each with one reserve_reply: at once
/// if memory can be reserved or will not be free in time, otherwise from the
/// queue, at the deadline of the request at the latest.
/// Not thread-safe; use from the event loop thread only.
class reservation_manager {
 public:
  explicit reservation_manager(work_handler_context& context);

  void handle(const reserve_request& request);
  /// Converts the attempt's reservation, or unreserved memory, into held
  /// pieces. Returns false if the pieces are not free yet.
  bool start(const attempt_key& key, std::int32_t pieces,
             time_point predicted_release, time_point now);
  /// Releases the memory that the attempt holds or has reserved, and grants
  /// waiting requests.
  void release(const attempt_key& key);
  /// The engine has been asked to free the attempt's memory, so its release is
  /// predicted for `now`.
  void on_release_started(const attempt_key& key, time_point now);
  /// Removes a waiting request without a reply. Does not release a reservation.
  void cancel_attempt(const attempt_key& key);
  void tick(time_point now);
  /// Accounts for memory that the engine has held since before this process
  /// started.
  void adopt(const attempt_key& key, std::int32_t pieces, time_point now);
  bool is_adopted(const attempt_key& key) const {
    return adopted_.count(key) > 0;
  }
  /// Sets the size of the engine's memory when it becomes known or changes.
  void set_memory(const engine_info& info);
  bool idle() const;
  void add_load(endpoint_load& load) const;
  std::int32_t pieces_held() const {
    return reservations_ ? reservations_->held() : 0;
  }

 private:
  struct waiting_request {
    reserve_request request;
    std::int32_t pieces = 0;
    time_point arrived_at{};
    std::uint64_t queue_id = 0;
    active_span span;
  };
  failure_reason admit(const reserve_request& request);
  void enqueue(const reserve_request& request, std::int32_t pieces);
  void grant_waiting();
  void remove(const attempt_key& key);
  void refuse(const attempt_key& key, failure_reason reason,
              duration retry_after);
  void grant(const attempt_key& key, std::int32_t pieces,
             const reservation_decision& decision);
  void send(reserve_reply reply);

  work_handler_context& context_;
  fair_queue queue_;
  reservation_options options_;
  std::optional<reservation_table>
      reservations_;  // set once the engine's memory is known
  std::map<attempt_key, waiting_request> waiting_;
  std::map<std::uint64_t, attempt_key> keys_by_queue_id_;
  std::set<attempt_key> adopted_;
  std::uint64_t last_queue_id_ = 0;
  duration next_release_in_{};  ///< predicted when a request last could not be
                                ///< granted
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_RESERVATION_MANAGER_H_
