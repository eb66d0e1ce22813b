/// An HTTP/1.1 server by Boost.Beast: requests are read whole, responses are
/// sent whole or as a chunked stream.
#ifndef CITRONWHARF_NET_HTTP_SERVER_H_
#define CITRONWHARF_NET_HTTP_SERVER_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "net/http.h"

namespace citronwharf {

struct http_server_options {
  std::string listen = "127.0.0.1:0";
  std::size_t max_connections = 4096;
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 1U << 20U;
  duration read_timeout = seconds(10);   ///< for a whole request, once begun
  duration idle_timeout = seconds(60);   ///< between requests
  duration write_timeout = seconds(10);  ///< without progress of a write
  std::size_t max_queued_bytes = 1U << 20U;  ///< of a stream; then it is cut
  /// Names a request that the server itself refuses; no id when not set.
  std::function<std::string()> make_request_id;
};

/// The answer to one request. Destroyed without a whole answer, it closes the
/// connection so that the caller sees the answer broken off. Used on the
/// loop's thread only.
class http_exchange {
 public:
  http_exchange() = default;
  virtual ~http_exchange() = default;
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  /// Sends the whole answer. Precondition: nothing was sent before.
  virtual void respond(const http_response& response) = 0;
  /// Starts a chunked answer. Precondition: nothing was sent before.
  virtual void start_stream(const http_response& head) = 0;
  /// Adds to a started stream. After the caller is gone it does nothing.
  virtual void write(std::string data) = 0;
  /// Ends a started stream as whole.
  virtual void finish() = 0;
  /// Returns whether the caller still waits for the end of the answer.
  virtual bool open() const = 0;
  /// Calls `handler` once when the caller's connection closes before the
  /// answer is whole. Destroying the exchange drops the handler.
  virtual void on_closed(std::function<void()> handler) = 0;
};

/// Listens and hands each request to the handler. Errors of the protocol
/// (too large, malformed, too slow) are answered by the server itself with a
/// 4xx problem body and never reach the handler. Loop's thread only.
class http_server {
 public:
  using handler =
      std::function<void(http_request, std::unique_ptr<http_exchange>)>;

  http_server(boost::asio::io_context& loop, http_server_options options,
              handler on_request);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Binds and accepts. Returns the bound port.
  absl::StatusOr<std::uint16_t> listen();
  /// Stops accepting; requests in flight go on, idle connections close.
  void stop_accepting();
  /// Goes on accepting, and closes each connection after its next response.
  void close_after_responses();
  /// Closes the listener and every connection.
  void close();
  /// Returns how many connections are open.
  std::size_t connections() const;

  class impl;

 private:
  std::shared_ptr<impl> impl_;  // connections outlive a turn of the loop
};

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HTTP_SERVER_H_
