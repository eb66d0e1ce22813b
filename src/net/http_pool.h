/// HTTP/1.1 client with a pool of persistent connections.
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
  /// Idle connections are closed after this time, or earlier if the server's
  /// Keep-Alive header announces a shorter timeout.
  duration idle_limit = seconds(4);
  std::size_t max_idle_per_address = 16;
};

/// What the head of a response tells about the call that it responds to.
enum class response_match {
  other_call,    ///< it identifies another call
  this_call,     ///< it identifies this call
  unidentified,  ///< it identifies no call
};

/// Options of one call over a pooled connection.
struct pooled_call {
  std::string address;  ///< "ip:port"
  /// Id that responses repeat, or "". A connection carries an id once, since
  /// the copy of a response to an earlier call with the id could not be told
  /// from the response to this one.
  std::string id;
  duration connect_timeout = milliseconds(500);
  /// An idle connection is reused only if it was idle for less than this.
  duration max_idle = seconds(4);
  /// A longer response body fails the call. Empty means unlimited, for bodies
  /// that are forwarded as they arrive.
  std::optional<std::uint64_t> max_body_bytes = 256U << 10U;
  /// Matches a response to this call. Called once per response. Responses to
  /// other calls are skipped, and the next one on the connection is read; all
  /// others are accepted. Every response is unidentified when empty.
  std::function<response_match(const http_response& head)> match;
  /// Uses only connections on which every earlier response identified its call,
  /// so that an unidentified response can only be that to this call. After such
  /// a response the connection is closed. Calls without this flag prefer the
  /// other connections.
  bool needs_identified_connection = false;
};

/// Pool of connections, by server address.
/// Not thread-safe; use from the event loop thread only.
///
/// A connection is reused only if the last response was read completely, was
/// followed by no further byte and did not ask to close the connection, never
/// for an id that it has carried, and neither after 256 ids nor after
/// an error that identified no call. A connection is closed
/// if the server sends anything while it is idle. A call fails and its
/// connection is closed if the head, the body or the responses to other calls
/// exceed their limits, or if a status is not from 100 to 599.
///
/// A faulty server may send a response twice. The second one is mistaken for
/// the response to the next call on the connection if neither identifies its
/// call, see pooled_call::needs_identified_connection, or if both identify the
/// same call, see pooled_call::id.
class http_pool {
 public:
  http_pool(boost::asio::io_context& loop, http_pool_options options);
  ~http_pool();
  http_pool(const http_pool&) = delete;
  http_pool& operator=(const http_pool&) = delete;

  /// Starts a call. Destroying the result closes the connection; no handler is
  /// called after that. No handler is called before this returns either.
  /// Precondition: the pool outlives the call.
  std::unique_ptr<http_call> start(pooled_call call,
                                   const http_request& request,
                                   http_call_handlers handlers);

  /// Starts a call and collects the complete response. `done` is called once,
  /// unless the returned call is destroyed first.
  std::unique_ptr<http_call> fetch(
      pooled_call call, const http_request& request,
      std::function<void(absl::StatusOr<http_response>, bool sent)> done);

  /// Starts a call whose outcome is ignored.
  void run_detached(pooled_call call, const http_request& request);

  /// Closes the idle connections to an address.
  void forget(const std::string& address);

  /// Returns the number of connections opened since construction.
  std::uint64_t opened() const;

  class impl;

 private:
  std::shared_ptr<impl> impl_;  // pending handlers may outlive the pool
};

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HTTP_POOL_H_
