/// Handles plain calls: sends each call to the service at most once.
#ifndef CITRONWHARF_ENDPOINT_PLAIN_HANDLER_H_
#define CITRONWHARF_ENDPOINT_PLAIN_HANDLER_H_

#include <map>
#include <memory>
#include <string>

#include "endpoint/work_handler.h"

namespace citronwharf {

/// Handles plain_request and replies to each with one plain_reply. A call is
/// never sent twice; `ran` is false only if no byte of it reached the service.
/// Not thread-safe; use from the event loop thread only.
class plain_handler final : public work_handler {
 public:
  /// Sends calls to the service at `address` ("ip:port").
  plain_handler(work_handler_context& context, std::string address);

  void handle(const plain_request& request);
  void cancel_attempt(const attempt_key& key) override;
  void tick(time_point now) override;
  bool idle() const override { return items_.empty(); }
  void add_load(endpoint_load& load) const override;

 private:
  struct work_item {
    plain_request request;
    time_point started_at{};
    time_point deadline{};
    std::uint64_t queue_id = 0;
    std::unique_ptr<http_call> call;  ///< null while waiting
    active_span span;
  };
  failure_reason admit(const plain_request& request, duration& retry_after);
  void start_waiting();
  void start(const attempt_key& key, work_item& next);
  void on_response(const attempt_key& key,
                   const absl::StatusOr<http_response>& response, bool sent);
  void remove(const attempt_key& key);
  void refuse(const attempt_key& key, failure_reason reason, bool ran,
              duration retry_after);
  duration predicted_wait() const;

  work_handler_context& context_;
  std::string address_;
  fair_queue queue_;
  std::map<attempt_key, work_item> items_;
  std::map<std::uint64_t, attempt_key> keys_by_queue_id_;
  std::uint64_t last_queue_id_ = 0;
  std::size_t running_ = 0;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_PLAIN_HANDLER_H_
