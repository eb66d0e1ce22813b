#include "gateway/server_end_check.h"

#include <utility>

namespace citronwharf {

server_end_check::server_end_check(prompt_quarantine& quarantine,
                                   refusal_check check)
    : quarantine_(quarantine), check_(std::move(check)) {}

server_end_check::~server_end_check() {
  *alive_ = false;
}

void server_end_check::answer_lost(const std::string& server,
                                   const std::string& address,
                                   const std::string& request) {
  std::vector<std::string>& requests = pending_[server];
  requests.push_back(request);
  if (requests.size() > 1) {
    return;
  }
  check_(address, [this, alive = alive_, server](bool refused) {
    if (*alive) {
      on_checked(server, refused);
    }
  });
}

void server_end_check::on_checked(const std::string& server, bool refused) {
  const auto node = pending_.extract(server);
  if (node.empty() || !refused) {
    return;
  }
  for (const std::string& request : node.mapped()) {
    quarantine_.record_request_end(server, request, runtime_clock::now());
  }
}

}  // namespace citronwharf
