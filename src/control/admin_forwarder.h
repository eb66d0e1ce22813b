/// Sends administration requests from a replica that does not lead to the one
/// that does.
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

/// Loop's thread only. Preconditions: process and api outlive it.
class admin_forwarder {
 public:
  /// Both ends in one: forwards, and answers what others forward.
  admin_forwarder(process_context& process, admin_api& api);

  /// Sends the request to the process `leader`. `answer` is called once: with
  /// 503 when it was surely not sent, 504 when the outcome is unknown.
  void forward(const std::string& leader, const admin_request& request,
               admin_api::done answer);

 private:
  struct waiting {
    std::string leader;
    time_point until;
    admin_api::done answer;
  };

  void take_forwarded(const peer_id& from, const admin_forward& in);
  void take_reply(const peer_id& from, const admin_forward_reply& in);
  void give_up_if(const std::function<bool(const waiting&)>& condition);
  void schedule_check();

  process_context& process_;
  admin_api& api_;
  runtime_timer timer_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, waiting> waiting_;  // by id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_ADMIN_FORWARDER_H_
