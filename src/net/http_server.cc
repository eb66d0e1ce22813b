#include "net/http_server.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>

#include "net/address.h"

namespace citronwharf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// How long data from a refused client is still read and discarded, so that the
// client can read the refusal.
constexpr duration linger_limit = seconds(1);

http_response problem(int status, const std::string& title) {
  http_response out;
  out.status = status;
  out.headers = {{"Content-Type", "application/problem+json"},
                 {"X-Outcome", "not-run"}};
  out.body = nlohmann::json{
      {"type", "about:blank"},
      {"title", title},
      {"status",
       status}}.dump();
  return out;
}

http::response<http::string_body> to_beast(const http_response& in,
                                           bool keep_alive) {
  http::response<http::string_body> out;
  out.version(11);
  out.result(static_cast<unsigned>(in.status));
  for (const header_field& field : in.headers) {
    out.insert(field.name, field.value);
  }
  out.body() = in.body;
  out.keep_alive(keep_alive);
  return out;
}

}  // namespace

class connection;

// Shared by the server object and its connections, which may outlive it.
class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& loop, http_server_options options, handler on_request)
      : options_(std::move(options)),
        on_request_(std::move(on_request)),
        loop_(loop),
        acceptor_(loop) {}

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
  void forget(const std::shared_ptr<connection>& ended) {
    connections_.erase(ended);
  }

 private:
  void accept();
  void add_connection(tcp::socket socket);

  http_server_options options_;
  handler on_request_;
  asio::io_context& loop_;
  tcp::acceptor acceptor_;
  std::unordered_set<std::shared_ptr<connection>> connections_;
  // Shared because connections may outlive the server.
  std::shared_ptr<std::size_t> queued_bytes_ = std::make_shared<std::size_t>(0);
  bool closing_ = false;  // connections end after their next response
  bool closed_ = false;
};

// One client connection, kept alive by pending handlers and by the server's set
// of connections.
class connection : public std::enable_shared_from_this<connection> {
 public:
  connection(const std::shared_ptr<http_server::impl>& server,
             tcp::socket socket)
      : server_(server),
        options_(server->options()),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        total_queued_bytes_(server->queued_bytes()) {
    error_code error;
    const auto remote = socket_.remote_endpoint(error);
    remote_ = error ? "" : format_address(remote);
  }

  ~connection() { *total_queued_bytes_ -= queued_bytes_; }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  void start(bool refuse) {
    socket_.set_option(tcp::no_delay(true), ignored_);
    if (refuse) {
      refuse_request(problem(503, "too-many-connections"));
      return;
    }
    await_request();
  }

  void close() {
    if (phase_ == phase::closed) {
      return;
    }
    phase_ = phase::closed;
    timer_.cancel();
    if (delimited_by_close_) {
      // Only a reset shows the client that the stream is incomplete.
      socket_.set_option(asio::socket_base::linger(true, 0), ignored_);
    }
    socket_.close(ignored_);
    if (auto server = server_.lock()) {
      server->forget(shared_from_this());
    }
    auto handler = std::move(on_closed_);
    on_closed_ = nullptr;
    if (handler) {
      handler();
    }
  }

  // Stays open if a request has already arrived.
  void close_if_idle() {
    if (phase_ == phase::idle && socket_.available(ignored_) == 0) {
      close();
    }
  }

  void refuse_unread() {
    if (phase_ == phase::reading) {
      // Another process may serve the request at once.
      refuse_request(problem(503, "draining"), "0");
    }
  }

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
  using request_parser = http::request_parser<http::string_body>;

  void await_request();
  void read_header();
  void read_body();
  bool end_read(error_code error);
  void dispatch();
  void watch_for_disconnect();
  void refuse_request(const http_response& response,
                      const std::string& retry_after = "1");
  void linger();
  void on_read_error(error_code error);
  void start_timer(duration limit, void (connection::*on_expiry)());
  void read_expired() { refuse_request(problem(408, "request-too-slow")); }
  void queue(std::string bytes);
  void write_next();
  void finish_response();
  void update_keep_alive();

  std::weak_ptr<http_server::impl> server_;
  http_server_options options_;
  tcp::socket socket_;
  runtime_timer timer_;
  std::string remote_;
  beast::flat_buffer buffer_;
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
  std::shared_ptr<std::size_t> total_queued_bytes_;
  std::function<void()> on_closed_;
  error_code ignored_;
};

namespace {

class connection_exchange : public http_exchange {
 public:
  explicit connection_exchange(std::shared_ptr<connection> owner)
      : owner_(std::move(owner)), request_number_(owner_->request_number()) {}
  ~connection_exchange() override {
    if (owner_->is_current(request_number_) && !complete_) {
      owner_->set_on_closed(nullptr);
      owner_->close();
    } else if (owner_->request_number() == request_number_) {
      owner_->set_on_closed(nullptr);
    }
  }
  connection_exchange(const connection_exchange&) = delete;
  connection_exchange& operator=(const connection_exchange&) = delete;

  void respond(const http_response& response) override {
    complete_ = true;
    if (owner_->is_current(request_number_)) {
      owner_->respond(response);
    }
  }
  void start_stream(const http_response& head) override {
    if (owner_->is_current(request_number_)) {
      owner_->start_stream(head);
    }
  }
  void write(std::string data) override {
    if (owner_->is_current(request_number_) && !data.empty()) {
      owner_->write_chunk(data);
    }
  }
  void finish() override {
    complete_ = true;
    if (owner_->is_current(request_number_)) {
      owner_->finish_stream();
    }
  }
  bool open() const override { return owner_->is_current(request_number_); }
  void on_closed(std::function<void()> handler) override {
    if (owner_->is_current(request_number_)) {
      owner_->set_on_closed(std::move(handler));
    }
  }

 private:
  std::shared_ptr<connection> owner_;
  std::uint64_t request_number_;
  bool complete_ = false;
};

}  // namespace

void connection::start_timer(duration limit, void (connection::*on_expiry)()) {
  timer_.expires_after(limit);
  timer_.async_wait([weak = weak_from_this(), on_expiry](error_code error) {
    const auto self = weak.lock();
    if (!error && self && self->phase_ != phase::closed) {
      (*self.*on_expiry)();
    }
  });
}

void connection::await_request() {
  phase_ = phase::idle;
  ++request_number_;
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(options_.max_header_bytes));
  parser_->body_limit(options_.max_body_bytes);
  if (buffer_.size() > 0) {
    read_header();
    return;
  }
  // The listener may have been stopped since the last response was sent.
  const auto server = server_.lock();
  if ((!server || !server->accepting()) && socket_.available(ignored_) == 0) {
    close();
    return;
  }
  start_timer(options_.idle_timeout, &connection::close_if_idle);
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       if (error || self->phase_ != phase::idle) {
                         self->close();
                         return;
                       }
                       self->read_header();
                     });
}

void connection::read_header() {
  phase_ = phase::reading;
  start_timer(options_.read_timeout, &connection::read_expired);
  reading_ = true;
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        if (self->end_read(error)) {
          self->read_body();
        }
      });
}

void connection::read_body() {
  reading_ = true;
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        if (self->end_read(error)) {
          self->dispatch();
        }
      });
}

// Returns whether the read succeeded and its request is still wanted: it may
// have been refused, or the connection closed, since the read began.
bool connection::end_read(error_code error) {
  reading_ = false;
  if (phase_ == phase::lingering) {
    linger();
  } else if (phase_ == phase::reading && error) {
    on_read_error(error);
  }
  return phase_ == phase::reading && !error;
}

void connection::on_read_error(error_code error) {
  if (error == http::error::header_limit) {
    refuse_request(problem(431, "too-many-headers"));
  } else if (error == http::error::body_limit) {
    refuse_request(problem(413, "body-too-large"));
  } else if (error.category() ==
                 http::make_error_code(http::error::bad_version).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    refuse_request(problem(400, "malformed-request"));
  } else {
    close();
  }
}

void connection::refuse_request(const http_response& response,
                                const std::string& retry_after) {
  phase_ = phase::answering;
  keep_alive_ = false;
  refused_ = true;
  http_response out = response;
  out.headers.push_back({"Retry-After", retry_after});
  if (options_.make_request_id) {
    out.headers.push_back({"X-Request-Id", options_.make_request_id()});
  }
  respond(out);
}

void connection::dispatch() {
  timer_.cancel();
  phase_ = phase::answering;
  response_queued_ = false;
  const auto message = parser_->release();
  keep_alive_ = message.keep_alive();
  constexpr unsigned http_1_1 = 11;
  chunked_allowed_ = message.version() >= http_1_1;
  http_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = message.body();
  request.remote = remote_;
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  watch_for_disconnect();
  if (auto server = server_.lock()) {
    server->handle(std::move(request),
                   std::make_unique<connection_exchange>(shared_from_this()));
  }
}

// Detects that the client disconnects before its response is complete.
void connection::watch_for_disconnect() {
  if (watching_ || buffer_.size() > 0) {
    return;
  }
  watching_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->watching_ = false;
                       if (error || self->phase_ != phase::answering) {
                         return;
                       }
                       error_code failed;
                       if (self->socket_.available(failed) == 0 || failed) {
                         self->close();
                       }
                     });
}

void connection::update_keep_alive() {
  const auto server = server_.lock();
  keep_alive_ = keep_alive_ && server && !server->closing();
}

void connection::respond(const http_response& response) {
  response_queued_ = true;
  update_keep_alive();
  auto message = to_beast(response, keep_alive_);
  message.prepare_payload();
  std::string bytes = fmt::format("{}", fmt::streamed(message));
  queue(std::move(bytes));
}

void connection::start_stream(const http_response& head) {
  update_keep_alive();
  delimited_by_close_ = !chunked_allowed_;
  keep_alive_ = keep_alive_ && !delimited_by_close_;
  auto message = to_beast(head, keep_alive_);
  message.body().clear();
  message.chunked(!delimited_by_close_);
  queue(fmt::format("{}", fmt::streamed(message.base())));
}

void connection::write_chunk(const std::string& data) {
  queue(delimited_by_close_ ? data
                            : fmt::format("{:x}\r\n{}\r\n", data.size(), data));
}

void connection::finish_stream() {
  if (overflowed_) {
    return;
  }
  response_queued_ = true;
  queue(delimited_by_close_ ? "" : "0\r\n\r\n");
}

void connection::queue(std::string bytes) {
  if (overflowed_) {
    return;
  }
  // Joins small parts, but for the first one in the queue, which is being
  // written.
  constexpr std::size_t max_joined_bytes = 16U << 10U;
  const bool behind = queue_.size() > 1;
  const bool too_much =
      queued_bytes_ + bytes.size() > options_.max_queued_bytes ||
      (behind &&
       *total_queued_bytes_ + bytes.size() > options_.max_total_queued_bytes);
  if (!response_queued_ && too_much) {
    overflowed_ = true;
    // The handler of on_closed() may destroy the exchange that is writing.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->close(); });
    return;
  }
  queued_bytes_ += bytes.size();
  *total_queued_bytes_ += bytes.size();
  if (behind && queue_.back().size() + bytes.size() <= max_joined_bytes) {
    queue_.back() += bytes;
  } else {
    queue_.push_back(std::move(bytes));
  }
  if (!writing_) {
    write_next();
  }
}

void connection::write_next() {
  if (queue_.empty()) {
    if (response_queued_) {
      finish_response();
    }
    return;
  }
  writing_ = true;
  start_timer(options_.write_timeout, &connection::close);
  asio::async_write(
      socket_, asio::buffer(queue_.front()),
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        self->writing_ = false;
        if (self->phase_ == phase::closed) {
          return;
        }
        if (error) {
          self->close();
          return;
        }
        self->timer_.cancel();
        self->queued_bytes_ -= self->queue_.front().size();
        *self->total_queued_bytes_ -= self->queue_.front().size();
        self->queue_.pop_front();
        self->write_next();
      });
}

void connection::finish_response() {
  on_closed_ = nullptr;
  response_queued_ = false;
  delimited_by_close_ = false;
  const auto server = server_.lock();
  if (!keep_alive_ || !server || !server->accepting()) {
    socket_.shutdown(tcp::socket::shutdown_send, ignored_);
    if (refused_) {
      phase_ = phase::lingering;
      start_timer(linger_limit, &connection::close);
      linger();
    } else {
      close();
    }
    return;
  }
  if (watching_) {
    // Only one wait per socket at a time: cancel the wait for a disconnect
    // before the next read.
    socket_.cancel(ignored_);
  }
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ == phase::answering) {
      self->await_request();
    }
  });
}

// Reads and discards remaining data. Closing a socket with unread data resets
// the connection, and the client might not receive the refusal.
void connection::linger() {
  if (reading_) {
    return;  // end_read() continues
  }
  buffer_.clear();
  constexpr std::size_t read_buffer_bytes = 16U << 10U;
  socket_.async_read_some(
      buffer_.prepare(read_buffer_bytes),
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        if (error || self->phase_ != phase::lingering) {
          self->close();
        } else {
          self->linger();
        }
      });
}

absl::StatusOr<std::uint16_t> http_server::impl::listen() {
  const auto address = parse_address(options_.listen);
  if (!address.ok()) {
    return address.status();
  }
  error_code error;
  acceptor_.open(address->protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(*address, error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return absl::UnavailableError(
        fmt::format("{}: {}", options_.listen, error.message()));
  }
  accept();
  return acceptor_.local_endpoint().port();
}

void http_server::impl::accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](error_code error, tcp::socket socket) {
        // A connection may have been accepted just before stop_accepting().
        if (!error && !self->closed_) {
          self->add_connection(std::move(socket));
        }
        if (self->acceptor_.is_open()) {
          self->accept();
        }
      });
}

void http_server::impl::add_connection(tcp::socket socket) {
  const bool full = connections_.size() >= options_.max_connections;
  auto accepted =
      std::make_shared<connection>(shared_from_this(), std::move(socket));
  connections_.insert(accepted);
  accepted->start(full);
}

// Closing the acceptor resets connections in the kernel's accept queue,
// including any requests on them, so these are accepted first.
void http_server::impl::stop_accepting() {
  error_code ignored;
  acceptor_.non_blocking(true, ignored);
  for (error_code error; acceptor_.is_open();) {
    tcp::socket waiting = acceptor_.accept(error);
    if (error) {
      break;
    }
    add_connection(std::move(waiting));
  }
  acceptor_.close(ignored);
  const auto open = connections_;
  for (const auto& each : open) {
    each->close_if_idle();
  }
}

void http_server::impl::refuse_unread() {
  const auto open = connections_;
  for (const auto& each : open) {
    each->refuse_unread();
  }
}

void http_server::impl::close() {
  closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  on_request_ = nullptr;
  const auto open = connections_;
  for (const auto& each : open) {
    each->close();
  }
}

http_server::http_server(asio::io_context& loop, http_server_options options,
                         handler on_request)
    : impl_(std::make_shared<impl>(loop, std::move(options),
                                   std::move(on_request))) {}

http_server::~http_server() {
  impl_->close();
}

absl::StatusOr<std::uint16_t> http_server::listen() {
  return impl_->listen();
}
void http_server::stop_accepting() {
  impl_->stop_accepting();
}
void http_server::close_after_responses() {
  impl_->close_after_responses();
}
void http_server::refuse_unread() {
  impl_->refuse_unread();
}
void http_server::close() {
  impl_->close();
}
std::size_t http_server::connections() const {
  return impl_->open_connections();
}

}  // namespace citronwharf
