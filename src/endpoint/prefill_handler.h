/// The handler of prefill work: runs prompts one at a time, in fair
/// order.
#ifndef CITRONWHARF_ENDPOINT_PREFILL_HANDLER_H_
#define CITRONWHARF_ENDPOINT_PREFILL_HANDLER_H_

#include <map>
#include <vector>

#include "endpoint/work_handler.h"

namespace citronwharf {

/// Takes prefill_request, answers each with one prefill_reply. The export is
/// held until it expires, is pulled or is cancelled. Loop's thread only.
class prefill_handler final : public work_handler {
 public:
  explicit prefill_handler(work_handler_context& parts);

  void take(const prefill_request& request);
  void drop(const attempt_key& key) override;
  void tick(time_point now) override;
  bool idle() const override { return work_.empty(); }
  void add_load(endpoint_load& load) const override;

 private:
  struct item {
    prefill_request request;
    time_point arrived{};
    time_point started{};  ///< zero while it waits
    time_point deadline{};
    std::uint64_t queue_id = 0;
    engine_client::call call;
    active_span hop;
  };
  struct kept_export {
    attempt_key key;
    time_point until{};
  };

  failure_reason admit(const prefill_request& request, duration& retry_after);
  void pump();
  void start(item& next);
  void finished(const attempt_key& key, const engine_error& error,
                const engine_export& got);
  /// Ends a waiting or running item, in the engine too, without a reply.
  void remove(const attempt_key& key);
  void give_up(const attempt_key& key, failure_reason reason, bool ran);
  void refuse(const attempt_key& key, failure_reason reason, bool ran,
              duration retry_after);
  void send(prefill_reply reply);
  duration predicted_wait() const;

  work_handler_context& parts_;
  fair_queue queue_;
  std::map<attempt_key, item> work_;
  std::map<std::uint64_t, attempt_key> by_queue_id_;
  std::vector<kept_export> exports_;
  std::uint64_t last_queue_id_ = 0;
  const item* running_ = nullptr;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_PREFILL_HANDLER_H_
