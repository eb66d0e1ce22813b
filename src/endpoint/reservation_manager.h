/// Promises decode memory to requests, in fair order.
#ifndef CITRONWHARF_ENDPOINT_RESERVATION_MANAGER_H_
#define CITRONWHARF_ENDPOINT_RESERVATION_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "endpoint/work_handler.h"
#include "policy/reservation_table.h"

namespace citronwharf {

/// Takes reserve_request and answers each with one reserve_reply: at once when
/// promised or hopeless, else from the queue, at its deadline at the latest.
/// Loop's thread only.
class reservation_manager {
 public:
  explicit reservation_manager(work_handler_context& parts);

  void take(const reserve_request& request);
  /// Turns the attempt's promise, or memory left over, into held pieces.
  bool start(const attempt_key& key, std::int32_t pieces,
             time_point predicted_release, time_point now);
  /// Frees what the attempt holds or was promised, and serves the queue.
  void release(const attempt_key& key);
  /// The engine was told to free what the attempt holds.
  void releasing(const attempt_key& key, time_point now);
  /// Ends a waiting request without a reply; frees a promise.
  void drop(const attempt_key& key);
  void tick(time_point now);
  /// Books memory that the engine holds from before this process started.
  void adopt(const attempt_key& key, std::int32_t pieces, time_point now);
  bool holds(const attempt_key& key) const { return adopted_.count(key) > 0; }
  /// The engine's memory became known or changed its size.
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
    time_point arrived{};
    std::uint64_t queue_id = 0;
    active_span hop;
  };
  failure_reason admit(const reserve_request& request);
  void enqueue(const reserve_request& request, std::int32_t pieces);
  void pump();
  void remove(const attempt_key& key);
  void refuse(const attempt_key& key, failure_reason reason,
              duration retry_after);
  void promise(const attempt_key& key, std::int32_t pieces,
               const reservation_decision& decision);
  void send(reserve_reply reply);

  work_handler_context& parts_;
  fair_queue queue_;
  reservation_options options_;
  std::optional<reservation_table>
      reservations_;  // once the engine's memory is known
  std::map<attempt_key, waiting_request> waiting_;
  std::map<std::uint64_t, attempt_key> by_queue_id_;
  std::set<attempt_key> adopted_;
  std::uint64_t last_queue_id_ = 0;
  duration next_release_{};  ///< predicted at the last refusal
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_RESERVATION_MANAGER_H_
