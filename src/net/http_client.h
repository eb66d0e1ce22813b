/// An HTTP/1.1 client by Boost.Beast, a connection a call.
#ifndef CITRONWHARF_NET_HTTP_CLIENT_H_
#define CITRONWHARF_NET_HTTP_CLIENT_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "net/http.h"

namespace citronwharf {

/// How far a failed call came: before `sent`, the server surely did not see
/// any byte of it.
struct http_failure {
  absl::Status status;
  bool sent = false;  ///< whether any byte may have reached the server
};

/// What a call reports. `on_body` gets the body's parts as they arrive, of
/// streamed and whole answers alike; then exactly one of on_done, on_failure.
struct http_call_handlers {
  std::function<void(const http_response& head)> on_head;  ///< body is empty
  std::function<void(const std::string& data)> on_body;
  std::function<void()> on_done;  ///< the answer is whole
  std::function<void(const http_failure&)> on_failure;
};

struct http_call_options {
  std::string address;  ///< "ip:port"
  duration connect_timeout = seconds(2);
  duration idle_timeout = seconds(30);  ///< without any byte of the answer
  std::size_t max_body_bytes = 64U << 20U;
};

/// A running call; destroying it closes the connection and silences the
/// handlers. Loop's thread only.
class http_call {
 public:
  http_call() = default;
  virtual ~http_call() = default;
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;
};

/// Starts a call. No handler is called before this returns.
std::unique_ptr<http_call> start_http_call(boost::asio::io_context& loop,
                                           http_call_options options,
                                           const http_request& request,
                                           http_call_handlers handlers);

/// Returns handlers that collect the whole response of one call for `done`.
http_call_handlers collect_response(
    std::function<void(absl::StatusOr<http_response>, bool sent)> done);

/// Makes a call and collects the whole answer; `done` is called once unless
/// the returned call is destroyed before.
/// Example: call = fetch(loop, {"127.0.0.1:80"}, {"GET", "/load"}, done);
std::unique_ptr<http_call> fetch(
    boost::asio::io_context& loop, http_call_options options,
    const http_request& request,
    std::function<void(absl::StatusOr<http_response>, bool sent)> done);

/// Makes a call and waits for it, with a loop of its own. For the tool and
/// tests; must not be called on the runtime's thread.
absl::StatusOr<http_response> fetch_blocking(http_call_options options,
                                             const http_request& request);

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HTTP_CLIENT_H_
