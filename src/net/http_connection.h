// A client connection of an HTTP server, and what the connections of one server
// share. Used by http_server only.
#ifndef CITRONWHARF_NET_HTTP_CONNECTION_H_
#define CITRONWHARF_NET_HTTP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/buffer_budget.h"
#include "net/http_server.h"

namespace citronwharf {
namespace detail {
class http_connection;
}  // namespace detail

// Shared by the server object and its connections, which may outlive it.
class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context& loop, http_server_options options,
       handler on_request)
      : options_(std::move(options)),
        budget_(make_budget_options(options_)),
        on_request_(std::move(on_request)),
        loop_(loop),
        acceptor_(loop),
        accept_timer_(loop) {}

  absl::StatusOr<std::uint16_t> listen();
  void stop_accepting();
  void close_after_responses() { closing_ = true; }
  bool closing() const { return closing_; }
  void refuse_unread();
  void close();
  std::size_t open_connections() const { return connections_.size(); }

  const http_server_options& options() const { return options_; }
  /// Bytes that wait to be written on all connections.
  const std::shared_ptr<std::size_t>& queued_bytes() { return queued_bytes_; }
  bool accepting() const { return acceptor_.is_open(); }
  void handle(http_request request, std::unique_ptr<http_exchange> exchange) {
    if (on_request_) {
      on_request_(std::move(request), std::move(exchange));
    }
  }
  /// Removes a connection that has ended.
  void forget(std::uint64_t connection);
  /// Sets the bytes that a connection holds; other connections may be ended for
  /// it. Returns false, and changes nothing, if there is no memory for them.
  bool hold(std::uint64_t connection, std::size_t bytes, buffer_use use);
  void progress(std::uint64_t connection) {
    budget_.progress(connection, runtime_clock::now());
  }
  void on_memory_refusal() {
    if (options_.on_memory_refusal) {
      options_.on_memory_refusal();
    }
  }
  std::size_t buffered_bytes() const;

 private:
  /// Ends a dispensable connection for a new one. Returns false if there is
  /// none.
  bool make_room();
  bool end_dispensable(time_point now);
  void on_freed(std::size_t bytes);
  static buffer_budget_options make_budget_options(
      const http_server_options& in) {
    buffer_budget_options out;
    out.max_bytes = in.max_buffered_bytes;
    return out;
  }
  void accept();
  void add_connection(boost::asio::ip::tcp::socket socket);

  http_server_options options_;
  buffer_budget budget_;
  handler on_request_;
  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint64_t last_connection_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<detail::http_connection>>
      connections_;
  // Shared because connections may outlive the server.
  std::shared_ptr<std::size_t> queued_bytes_ = std::make_shared<std::size_t>(0);
  std::vector<std::uint64_t> dispensable_;  ///< the next one is at the end
  std::size_t freed_bytes_ = 0;  ///< since free memory was last given back
  runtime_timer accept_timer_;
  bool closing_ = false;  // connections end after their next response
  bool closed_ = false;
};

namespace detail {

// One client connection, kept alive by pending handlers and by the server's set
// of connections.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  http_connection(const std::shared_ptr<http_server::impl>& server,
                  boost::asio::ip::tcp::socket socket, std::uint64_t id);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  /// Starts reading, or refuses the client. Returns false, without an answer,
  /// if there is no memory for the connection.
  bool start(bool refuse);
  void close();
  /// Stays open if a request has already arrived.
  void close_if_idle();
  /// Closes an idle connection, or refuses a request that is being received,
  /// since the server has too many connections. Returns false, and changes
  /// nothing, in any other state.
  bool end_for_new_connection();
  /// Refuses a request that has not been read completely.
  void refuse_unread();
  /// Refuses the request that is being received or closes the connection, since
  /// others need the memory that it holds.
  void end_for_memory();

  // Interface for connection_exchange. The request number identifies the
  // request, so that late calls for an earlier request do nothing.
  std::uint64_t request_number() const { return request_number_; }
  bool is_current(std::uint64_t request_number) const {
    return request_number == request_number_ && phase_ == phase::answering;
  }
  void respond(const http_response& response);
  void start_stream(const http_response& head);
  void write_chunk(const std::string& data);
  void finish_stream();
  void set_on_closed(std::function<void()> handler) {
    on_closed_ = std::move(handler);
  }

 private:
  enum class phase { idle, reading, answering, lingering, closed };
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void await_request();
  void read_header();
  void accept_head();
  bool refused_by_head();
  void read_body();
  bool hold(std::size_t request_bytes, buffer_use use);
  void refuse_for_memory();
  void limit_chunk_extensions();
  std::size_t held_bytes(std::size_t request_bytes) const;
  bool is_framed_safely() const;
  bool reserve_body();
  void release_input();
  void on_transfer(std::size_t bytes);
  void discard();
  http_request make_request(const request_parser::value_type& message);
  bool end_read(boost::system::error_code error);
  void dispatch();
  void watch_for_disconnect();
  void refuse_request(const http_response& response,
                      const std::string& retry_after = "1");
  void linger();
  void on_read_error(boost::system::error_code error);
  void start_timer(duration limit, void (http_connection::*on_expiry)());
  void read_expired();
  void queue(std::string bytes);
  bool reserve_queue(std::size_t bytes);
  void append(std::string bytes);
  void on_written();
  void write_next();
  void finish_response();
  void update_keep_alive();

  std::weak_ptr<http_server::impl> server_;
  http_server_options options_;
  boost::asio::ip::tcp::socket socket_;
  runtime_timer timer_;
  std::string remote_;
  std::uint64_t id_;
  boost::beast::flat_buffer buffer_;
  http_request request_;           ///< its head, until it is passed on
  std::size_t request_bytes_ = 0;  ///< held for a request that isn't answered
  std::size_t extension_bytes_ = 0;
  std::function<void(std::uint64_t, boost::beast::string_view,
                     boost::system::error_code&)>
      on_chunk_header_;
  std::optional<request_parser> parser_;
  phase phase_ = phase::idle;
  std::uint64_t request_number_ = 0;
  bool keep_alive_ = true;
  bool refused_ = false;             ///< the request was not read completely
  bool chunked_allowed_ = true;      ///< the client knows chunked streams
  bool delimited_by_close_ = false;  ///< the response, and it is incomplete
  bool response_queued_ = false;     ///< the complete response is queued
  bool overflowed_ = false;          ///< the client reads too slowly
  bool reading_ = false;             ///< a pending read uses buffer_, parser_
  bool writing_ = false;
  bool watching_ = false;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  std::size_t queue_memory_ = 0;       ///< that the queued bytes take
  std::size_t written_bytes_ = 0;      ///< of the first entry of the queue
  std::size_t transferred_bytes_ = 0;  ///< since the last progress
  std::shared_ptr<std::size_t> total_queued_bytes_;
  std::function<void()> on_closed_;
  boost::system::error_code ignored_;
};

/// What an open connection takes without a request: this object, its parser,
/// its pending operations and a read buffer of up to `idle_buffer_bytes`.
constexpr std::size_t connection_bytes = 4U << 10U;
constexpr std::size_t idle_buffer_bytes = 1U << 10U;

/// Returns a refusal by the server itself.
http_response make_problem(int status, const std::string& title);

}  // namespace detail
}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HTTP_CONNECTION_H_
