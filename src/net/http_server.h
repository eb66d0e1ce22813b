/// HTTP/1.1 server on Boost.Beast: requests are read completely before they are
/// handled; responses are sent complete or as a chunked stream.
#ifndef CITRONWHARF_NET_HTTP_SERVER_H_
#define CITRONWHARF_NET_HTTP_SERVER_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include "base/clock.h"
#include "net/http.h"

namespace citronwharf {

class http_exchange;

struct http_server_options {
  std::string listen = "127.0.0.1:0";
  /// Beyond it, an idle or stalled connection is ended for a new one. If there
  /// is none, the new one is refused.
  std::size_t max_connections = 4096;
  /// Of the head, and also of the chunk extensions of a body, all together, and
  /// of its trailers.
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 1U << 20U;
  duration read_timeout = seconds(10);  ///< from first byte to complete request
  duration idle_timeout = seconds(60);  ///< between requests
  duration write_timeout = seconds(10);  ///< without progress of a write
  std::size_t max_queued_bytes =
      1U << 20U;  ///< per stream; beyond it, the connection closes
  /// Of all connections together. Beyond it, streams whose clients read more
  /// slowly than they are written close.
  std::size_t max_total_queued_bytes = 16U << 20U;
  /// Limit on all that is kept of requests that are not answered and of
  /// responses that are not read, and on the connections themselves, all
  /// together; see buffer_budget.
  std::size_t max_buffered_bytes = std::numeric_limits<std::size_t>::max();
  /// What the handler keeps of each request until it is answered, beside the
  /// request itself.
  std::size_t handler_bytes = 0;
  /// Sees the head of a request whose body is long, or of unknown length,
  /// before the body is read. Takes `exchange` and responds to refuse the
  /// request, which closes the connection; leaves it to read the body.
  std::function<void(const http_request& head,
                     std::unique_ptr<http_exchange>& exchange)>
      on_head;
  /// Called when a client is refused, or its connection closed, since
  /// max_buffered_bytes are held.
  std::function<void()> on_memory_refusal;
  /// Generates the X-Request-Id of requests that the server itself refuses; the
  /// header is omitted when empty.
  std::function<std::string()> make_request_id;
};

/// The response to one request. If destroyed before the response is complete,
/// it closes the connection so that the client detects the truncation. Not
/// thread-safe; use from the event loop thread only.
class http_exchange {
 public:
  http_exchange() = default;
  virtual ~http_exchange() = default;
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  /// Sends a complete response. Precondition: nothing was sent before.
  virtual void respond(const http_response& response) = 0;
  /// Starts a chunked response; for an HTTP/1.0 client one that ends with its
  /// connection, which is reset if it is incomplete. Precondition: nothing was
  /// sent before.
  virtual void start_stream(const http_response& head) = 0;
  /// Appends to a started stream. Does nothing after the client has
  /// disconnected.
  virtual void write(std::string data) = 0;
  /// Completes a started stream.
  virtual void finish() = 0;
  /// Returns whether the client is connected and the response incomplete.
  virtual bool open() const = 0;
  /// Calls `handler` once if the connection closes before the response is
  /// complete, not from within a call of this object. Destroying the exchange
  /// discards the handler.
  virtual void on_closed(std::function<void()> handler) = 0;
};

/// Listens and passes each request to the handler. Requests that are too large,
/// malformed or too slow are answered by the server with a 4xx problem body and
/// never reach the handler.
/// Not thread-safe; use from the event loop thread only.
class http_server {
 public:
  using handler =
      std::function<void(http_request, std::unique_ptr<http_exchange>)>;

  http_server(boost::asio::io_context& loop, http_server_options options,
              handler on_request);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Binds and starts accepting connections. Returns the bound port.
  absl::StatusOr<std::uint16_t> listen();
  /// Stops accepting and closes idle connections. Requests in flight continue.
  void stop_accepting();
  /// Closes each connection after its next response; continues to accept.
  void close_after_responses();
  /// Refuses with 503 each request that has not been read completely, then
  /// closes its connection.
  void refuse_unread();
  /// Closes the listener and every connection.
  void close();
  /// Returns the number of open connections.
  std::size_t connections() const;
  /// Returns the bytes that count towards max_buffered_bytes, beside what each
  /// open connection takes by itself.
  std::size_t buffered_bytes() const;

  class impl;

 private:
  std::shared_ptr<impl> impl_;  // pending handlers may outlive the server
};

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HTTP_SERVER_H_
