/// HTTP/1.1 client on Boost.Beast that opens one connection per call.
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

/// A failed call. Unless `sent` is set, the server has received no byte of the
/// request.
struct http_failure {
  absl::Status status;
  bool sent = false;  ///< whether any byte may have reached the server
};

/// Callbacks of a call. `on_body` receives the parts of the body as they
/// arrive, for streamed and complete responses alike. Exactly one of `on_done`
/// and `on_failure` is called last.
struct http_call_handlers {
  std::function<void(const http_response& head)> on_head;  ///< body is empty
  std::function<void(const std::string& data)> on_body;
  std::function<void()> on_done;  ///< the response is complete
  std::function<void(const http_failure&)> on_failure;
};

struct http_call_options {
  std::string address;  ///< "ip:port"
  duration connect_timeout = seconds(2);
  duration idle_timeout = seconds(30);  ///< without response data
  std::size_t max_body_bytes = 64U << 20U;
};

/// A call in progress. Destroying it closes the connection; no handler is
/// called after that. Not thread-safe; use from the event loop thread only.
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

/// Returns handlers that collect the complete response of one call and pass it
/// to `done`.
http_call_handlers collect_response(
    std::function<void(absl::StatusOr<http_response>, bool sent)> done);

/// Starts a call and collects the complete response. `done` is called once,
/// unless the returned call is destroyed first.
/// Example: call = fetch(loop, {"127.0.0.1:80"}, {"GET", "/load"}, done);
std::unique_ptr<http_call> fetch(
    boost::asio::io_context& loop, http_call_options options,
    const http_request& request,
    std::function<void(absl::StatusOr<http_response>, bool sent)> done);

/// Makes a call and blocks until it has ended, using its own event loop. For
/// command-line tools and tests; must not be called on the event loop thread.
absl::StatusOr<http_response> fetch_blocking(http_call_options options,
                                             const http_request& request);

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HTTP_CLIENT_H_
