/// Calls the administration API of whichever replica answers.
#ifndef CITRONWHARF_TOOL_ADMIN_CLIENT_H_
#define CITRONWHARF_TOOL_ADMIN_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"

namespace citronwharf::tool {

/// The last answer to a call. Status 0: no replica was reached, surely not
/// run. Status 504: it may have been run.
struct admin_answer {
  int status = 0;
  nlohmann::json body;
};

/// One thread at a time.
class admin_client {
 public:
  admin_client(std::vector<std::string> addresses, std::string token,
               duration timeout);

  /// Calls `path` below /admin/v1/, at one address after the other, again
  /// while there is no leader or the outcome is unknown, until the timeout.
  /// Precondition: the call may be repeated, as under one operation id.
  admin_answer call(const std::string& method, const std::string& path,
                    const nlohmann::json& body = nullptr) const;

  /// As call(), but asks one address only, once.
  admin_answer call_once(const std::string& address, const std::string& method,
                         const std::string& path,
                         const nlohmann::json& body = nullptr) const;

  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  std::vector<std::string> addresses_;
  std::string token_;
  duration timeout_;
};

}  // namespace citronwharf::tool

#endif  // CITRONWHARF_TOOL_ADMIN_CLIENT_H_
