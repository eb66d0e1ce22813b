/// Forwards administration requests from followers to the leader.
#ifndef CITRONWHARF_CONTROL_ADMIN_FORWARDER_H_
#define CITRONWHARF_CONTROL_ADMIN_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/process_context.h"
#include "control/admin_api.h"
#include "wire/control_messages.h"

namespace citronwharf {

/// Not thread-safe; use from the event loop thread only. Preconditions: process
/// and api outlive it.
class admin_forwarder {
 public:
  /// Forwards requests and also answers requests that other replicas forward.
  admin_forwarder(process_context& process, admin_api& api);

  /// Sends the request to the process `leader`. `respond` is called once: with
  /// 503 if the request was certainly not sent, 504 if the outcome is unknown.
  void forward(const std::string& leader, const admin_request& request,
               admin_api::done respond);

 private:
  struct pending_request {
    std::string leader;
    time_point until;
    admin_api::done respond;
  };

  void handle_forward(const peer_id& from, const admin_forward& in);
  void handle_reply(const peer_id& from, const admin_forward_reply& in);
  void fail_pending_if(
      const std::function<bool(const pending_request&)>& condition);
  void schedule_check();

  process_context& process_;
  admin_api& api_;
  runtime_timer timer_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, pending_request> pending_requests_;  // by id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_ADMIN_FORWARDER_H_
