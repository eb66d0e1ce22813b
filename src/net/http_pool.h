/// An HTTP/1.1 client that keeps connections open and reuses them.
#ifndef CITRONWHARF_NET_HTTP_POOL_H_
#define CITRONWHARF_NET_HTTP_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/http_client.h"

namespace citronwharf {

struct http_pool_options {
  /// An idle connection is closed after this unless the server's Keep-Alive
  /// header asks for less.
  duration idle_limit = seconds(4);
  std::size_t max_idle_per_address = 16;
};

/// One call over a pooled connection.
struct pooled_call {
  std::string address;  ///< "ip:port"
  duration connect_timeout = milliseconds(500);
  /// A kept connection is only reused if it was idle for less than this.
  duration max_idle = seconds(4);
  /// A longer body fails the call. Unlimited when empty: for a body that is
  /// passed on as it arrives.
  std::optional<std::uint64_t> max_body_bytes = 1U << 20U;
  /// Decides whether the response belongs to this call. A response that does
  /// not is skipped, and the next one on the connection is read. Accepts every
  /// response when empty.
  std::function<bool(const http_response& head)> accepts;
};

/// Connections to servers, by address. Loop's thread only.
///
/// A connection is reused only after a response that was read whole, with no
/// byte behind it and no request to close. Anything a server sends while the
/// connection is idle closes it. Bytes without end, in a head, in a body or as
/// responses to other calls, fail the call and close the connection.
class http_pool {
 public:
  http_pool(boost::asio::io_context& loop, http_pool_options options);
  ~http_pool();
  http_pool(const http_pool&) = delete;
  http_pool& operator=(const http_pool&) = delete;

  /// Starts a call; destroying the result closes its connection and silences
  /// the handlers. No handler is called before this returns. Precondition: the
  /// pool outlives the call.
  std::unique_ptr<http_call> start(pooled_call call,
                                   const http_request& request,
                                   http_call_handlers handlers);

  /// Makes a call and collects the whole response; `done` is called once
  /// unless the returned call is destroyed before.
  std::unique_ptr<http_call> fetch(
      pooled_call call, const http_request& request,
      std::function<void(absl::StatusOr<http_response>, bool sent)> done);

  /// Makes a call whose outcome is of no interest.
  void run_detached(pooled_call call, const http_request& request);

  /// Closes the idle connections to an address.
  void forget(const std::string& address);

  /// Returns how many connections were opened since the pool was made.
  std::uint64_t opened() const;

  class impl;

 private:
  std::shared_ptr<impl> impl_;  // connections outlive a turn of the loop
};

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HTTP_POOL_H_
