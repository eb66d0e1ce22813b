/// The handler of plain calls: sends each call once.
#ifndef CITRONWHARF_ENDPOINT_PLAIN_HANDLER_H_
#define CITRONWHARF_ENDPOINT_PLAIN_HANDLER_H_

#include <map>
#include <memory>
#include <string>

#include "endpoint/work_handler.h"

namespace citronwharf {

/// Takes plain_request, answers each with one plain_reply. A call is never
/// sent twice; `ran` is false only where no byte of it reached the service.
/// Loop's thread only.
class plain_handler final : public work_handler {
 public:
  /// Calls go to the service at `address` ("ip:port").
  plain_handler(work_handler_context& parts, std::string address);

  void take(const plain_request& request);
  void drop(const attempt_key& key) override;
  void tick(time_point now) override;
  bool idle() const override { return work_.empty(); }
  void add_load(endpoint_load& load) const override;

 private:
  struct item {
    plain_request request;
    time_point started{};
    time_point deadline{};
    std::uint64_t queue_id = 0;
    std::unique_ptr<http_call> call;  ///< null while it waits
    active_span hop;
  };
  failure_reason admit(const plain_request& request, duration& retry_after);
  void pump();
  void start(const attempt_key& key, item& next);
  void finished(const attempt_key& key,
                const absl::StatusOr<http_response>& answer, bool sent);
  void remove(const attempt_key& key);
  void refuse(const attempt_key& key, failure_reason reason, bool ran,
              duration retry_after);
  duration predicted_wait() const;

  work_handler_context& parts_;
  std::string address_;
  fair_queue queue_;
  std::map<attempt_key, item> work_;
  std::map<std::uint64_t, attempt_key> by_queue_id_;
  std::uint64_t last_queue_id_ = 0;
  std::size_t running_ = 0;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_PLAIN_HANDLER_H_
