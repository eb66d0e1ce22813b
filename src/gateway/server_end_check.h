/// Finds out whether a server ended under the requests whose answers it lost.
#ifndef CITRONWHARF_GATEWAY_SERVER_END_CHECK_H_
#define CITRONWHARF_GATEWAY_SERVER_END_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/prompt_quarantine.h"

namespace citronwharf {

/// Calls `done` with whether connections to an address are refused.
using refusal_check = std::function<void(const std::string& address,
                                         std::function<void(bool)> done)>;

/// An answer may be lost although its server goes on: the connection was reset,
/// or the answer cut short. A server that ended refuses connections until it is
/// back. Not thread-safe; use from the event loop thread only.
class server_end_check {
 public:
  /// Precondition: `quarantine` outlives it.
  server_end_check(prompt_quarantine& quarantine, refusal_check check);
  ~server_end_check();
  server_end_check(const server_end_check&) = delete;
  server_end_check& operator=(const server_end_check&) = delete;

  /// Records the identity of a request whose answer was lost with the
  /// quarantine if its server has ended.
  void answer_lost(const std::string& server, const std::string& address,
                   const std::string& request);

 private:
  void on_checked(const std::string& server, bool refused);

  prompt_quarantine& quarantine_;
  refusal_check check_;
  std::map<std::string, std::vector<std::string>> pending_;  // by server
  // Shared with handlers, which may run after this object was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_SERVER_END_CHECK_H_
