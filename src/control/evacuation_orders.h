/// Brings the operators' orders to evacuate failure domains into the replicated
/// log, from any process.
#ifndef CITRONWHARF_CONTROL_EVACUATION_ORDERS_H_
#define CITRONWHARF_CONTROL_EVACUATION_ORDERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/process_context.h"
#include "control/document_cluster.h"
#include "wire/evacuation_messages.h"

namespace citronwharf {

/// Forwards an order to the leader, which proposes it. An order that certainly
/// had no effect is sent again while the operator's call is open; one whose
/// outcome is not known never is, since another order may have been accepted
/// after it. Not thread-safe; use from the event loop thread only.
/// Preconditions: process and cluster outlive it.
class evacuation_orders {
 public:
  /// Called with accepted once the order is committed and synced by a majority;
  /// with too_many, which is final; with unknown if the order may or may not
  /// have an effect; with not_taken if it had none in time.
  using order_callback = std::function<void(evacuation_outcome)>;

  evacuation_orders(process_context& process, document_cluster& cluster);
  ~evacuation_orders();
  evacuation_orders(const evacuation_orders&) = delete;
  evacuation_orders& operator=(const evacuation_orders&) = delete;

  void start();
  /// Calls `done` once, possibly before this returns, unless the order is
  /// cancelled before. Returns the id for cancel().
  std::uint64_t submit(std::string domain, bool evacuated, order_callback done);
  /// Sends the order no more. Does nothing after it has ended.
  void cancel(std::uint64_t id) { pending_.erase(id); }

 private:
  struct pending_order {
    evacuation_order order;  // its id is that of the attempt
    time_point deadline;
    order_callback done;
    std::optional<std::uint64_t> known_orders;  // of the last reply
    bool sent = false;  // the attempt's outcome is not known
  };

  void send(std::uint64_t id);
  void propose(const evacuation_order& order,
               std::function<void(const evacuation_reply&)> done);
  void handle_reply(const evacuation_reply& in);
  void end(std::uint64_t id, evacuation_outcome outcome);
  void tick();

  process_context& process_;
  document_cluster& cluster_;
  runtime_timer timer_;
  std::uint64_t last_id_ = 0;
  std::uint64_t last_attempt_ = 0;
  std::map<std::uint64_t, pending_order> pending_;
  // Shared with handlers that may run after this object is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_EVACUATION_ORDERS_H_
