#include "tool/admin_client.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "base/decode.h"
#include "net/http_client.h"

namespace citronwharf::tool {
namespace {

constexpr int unknown_outcome = 504;
constexpr int not_run = 503;
constexpr std::chrono::milliseconds retry_wait(200);
// A frozen VM takes a connection and never answers: ask the next one soon.
constexpr duration answer_timeout = seconds(3);
// A new member is answered for when it has caught up.
constexpr duration member_timeout = seconds(65);

duration timeout_of(const std::string& path) {
  return path.rfind("replica/", 0) == 0 ? member_timeout : answer_timeout;
}

bool settled(const admin_answer& answer) {
  return answer.status != 0 && answer.status != unknown_outcome &&
         answer.status != not_run;
}

// Of two answers without an outcome, the one that says the call may have run.
admin_answer worse_of(admin_answer first, admin_answer second) {
  return first.status == unknown_outcome ? std::move(first) : std::move(second);
}

}  // namespace

admin_client::admin_client(std::vector<std::string> addresses,
                           std::string token, duration timeout)
    : addresses_(std::move(addresses)),
      token_(std::move(token)),
      timeout_(timeout) {}

admin_answer admin_client::call_once(const std::string& address,
                                     const std::string& method,
                                     const std::string& path,
                                     const nlohmann::json& body) const {
  http_request request;
  request.method = method;
  request.target = "/admin/v1/" + path;
  request.headers = {{"Authorization", "Bearer " + token_},
                     {"Content-Type", "application/json"}};
  request.body = body.is_null() ? "" : body.dump();
  http_call_options options;
  options.address = address;
  options.idle_timeout = timeout_of(path);
  boost::asio::io_context loop;
  absl::StatusOr<http_response> response = absl::UnknownError("no answer");
  bool sent = false;
  const auto call =
      fetch(loop, std::move(options), request,
            [&](absl::StatusOr<http_response> answer, bool any_byte_sent) {
              response = std::move(answer);
              sent = any_byte_sent;
            });
  loop.run();
  if (!response.ok()) {
    return {sent ? unknown_outcome : 0,
            {{"error", sent ? "unknown_outcome" : "unreachable"},
             {"message", std::string(response.status().message())}}};
  }
  const auto parsed = parse_json(response->body);
  return {response->status,
          parsed.ok() ? *parsed : nlohmann::json{{"message", response->body}}};
}

admin_answer admin_client::call(const std::string& method,
                                const std::string& path,
                                const nlohmann::json& body) const {
  const auto until = std::chrono::steady_clock::now() + timeout_;
  admin_answer last;
  do {
    for (const std::string& address : addresses_) {
      admin_answer answer = call_once(address, method, path, body);
      if (settled(answer)) {
        return answer;
      }
      last = worse_of(std::move(last), std::move(answer));
    }
    std::this_thread::sleep_for(retry_wait);
  } while (std::chrono::steady_clock::now() < until);
  return last;
}

}  // namespace citronwharf::tool
