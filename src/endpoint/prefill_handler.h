/// Handles prefill work: runs prompts one at a time, in fair-queue order.
#ifndef CITRONWHARF_ENDPOINT_PREFILL_HANDLER_H_
#define CITRONWHARF_ENDPOINT_PREFILL_HANDLER_H_

#include <map>
#include <vector>

#include "endpoint/work_handler.h"

namespace citronwharf {

/// Handles prefill_request and replies to each with one prefill_reply. The
/// export is retained until it expires, is pulled or is cancelled. Not
/// thread-safe; use from the event loop thread only.
class prefill_handler final : public work_handler {
 public:
  explicit prefill_handler(work_handler_context& context);

  void handle(const prefill_request& request);
  void cancel_attempt(const attempt_key& key) override;
  void tick(time_point now) override;
  bool idle() const override { return items_.empty(); }
  void add_load(endpoint_load& load) const override;

 private:
  struct work_item {
    prefill_request request;
    time_point arrived_at{};
    time_point started_at{};  ///< zero while waiting
    time_point deadline{};
    std::uint64_t queue_id = 0;
    engine_client::call call;
    active_span span;
  };
  struct retained_export {
    attempt_key key;
    time_point expires_at{};
  };

  failure_reason admit(const prefill_request& request, duration& retry_after);
  void start_waiting();
  void start(work_item& next);
  void on_prefilled(const attempt_key& key, const engine_error& error,
                    const engine_export& result);
  /// Removes a waiting or running item, also from the engine. Sends no reply.
  void remove(const attempt_key& key);
  void fail(const attempt_key& key, failure_reason reason, bool ran);
  void refuse(const attempt_key& key, failure_reason reason, bool ran,
              duration retry_after);
  void send(prefill_reply reply);
  duration predicted_wait() const;

  work_handler_context& context_;
  fair_queue queue_;
  std::map<attempt_key, work_item> items_;
  std::map<std::uint64_t, attempt_key> keys_by_queue_id_;
  std::vector<retained_export> exports_;
  std::uint64_t last_queue_id_ = 0;
  const work_item* running_ = nullptr;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_PREFILL_HANDLER_H_
