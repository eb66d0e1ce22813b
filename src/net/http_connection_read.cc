#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <iterator>

#include "base/heap.h"
#include "net/http_connection.h"

namespace citronwharf::detail {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// Bodies up to this size are read before the request is refused, so that the
// connection can be kept.
constexpr std::size_t small_body_bytes = 64U << 10U;
constexpr std::size_t read_buffer_bytes = 16U << 10U;

class connection_exchange : public http_exchange {
 public:
  explicit connection_exchange(std::shared_ptr<http_connection> owner)
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
  /// Leaves the connection as it is.
  void discard() { complete_ = true; }
  bool open() const override { return owner_->is_current(request_number_); }
  void on_closed(std::function<void()> handler) override {
    if (owner_->is_current(request_number_)) {
      owner_->set_on_closed(std::move(handler));
    }
  }

 private:
  std::shared_ptr<http_connection> owner_;
  std::uint64_t request_number_;
  bool complete_ = false;
};

}  // namespace

void http_connection::read_expired() {
  refuse_request(make_problem(408, "request-too-slow"));
}

void http_connection::await_request() {
  phase_ = phase::idle;
  release_input();
  hold(0, request_number_ == 0 ? buffer_use::unused : buffer_use::idle);
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
  start_timer(options_.idle_timeout, &http_connection::close_if_idle);
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       if (error || self->phase_ != phase::idle) {
                         self->close();
                         return;
                       }
                       self->read_header();
                     });
}

void http_connection::read_header() {
  phase_ = phase::reading;
  start_timer(options_.read_timeout, &http_connection::read_expired);
  extension_bytes_ = 0;
  // Reserves the buffer: a head is parsed once it is complete.
  if (!hold(0, buffer_use::unread_request)) {
    refuse_for_memory();
    return;
  }
  reading_ = true;
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        if (self->end_read(error)) {
          self->accept_head();
        }
      });
}

void http_connection::accept_head() {
  if (!is_framed_safely()) {
    refuse_request(make_problem(400, "malformed-request"));
    return;
  }
  // Fields take many times the memory of their bytes, so they are kept once.
  request_ = make_request(parser_->get());
  parser_->get().clear();
  const auto declared = parser_->content_length();
  const bool small = declared && *declared <= small_body_bytes;
  if (!small && refused_by_head()) {
    return;
  }
  if (!hold(memory_of(request_) + options_.handler_bytes + declared.value_or(0),
            buffer_use::unread_request)) {
    refuse_for_memory();
    return;
  }
  if (!small) {
    buffer_.reserve(read_buffer_bytes);
  }
  limit_chunk_extensions();
  parser_->eager(true);
  read_body();
}

// Returns whether every reader of the head finds the end of the request at the
// same byte (RFC 9112, section 6.3) and the same host (section 3.2).
bool http_connection::is_framed_safely() const {
  const auto& head = parser_->get();
  const auto encodings = head.count(http::field::transfer_encoding);
  const auto lengths = head.count(http::field::content_length);
  constexpr unsigned http_1_1 = 11;
  const bool chunked =
      encodings == 1 && lengths == 0 && head.version() >= http_1_1 &&
      boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
  return head.count(http::field::host) <= 1 &&
         (chunked || (encodings == 0 && lengths <= 1));
}

// Passes the head to the handler that may refuse the request.
bool http_connection::refused_by_head() {
  if (!options_.on_head) {
    return false;
  }
  const bool keep_alive = keep_alive_;
  auto own = std::make_unique<connection_exchange>(shared_from_this());
  connection_exchange& mine = *own;
  std::unique_ptr<http_exchange> exchange = std::move(own);
  phase_ = phase::answering;
  keep_alive_ = false;
  refused_ = true;
  options_.on_head(request_, exchange);
  if (exchange == nullptr) {
    timer_.cancel();
    release_input();
    hold(0, buffer_use::response);
    return true;
  }
  phase_ = phase::reading;
  keep_alive_ = keep_alive;
  refused_ = false;
  mine.discard();
  return false;
}

// Beast has no limit on extensions, and a body of one-byte chunks would have
// one for each byte.
void http_connection::limit_chunk_extensions() {
  on_chunk_header_ = [this](std::uint64_t /*size*/,
                            boost::beast::string_view extensions,
                            error_code& error) {
    extension_bytes_ += extensions.size();
    if (extension_bytes_ > options_.max_header_bytes) {
      error = http::error::header_limit;
    }
  };
  parser_->on_chunk_header(on_chunk_header_);
}

// Reserves memory for the next part of a body of unknown length before it is
// read, so that reading does not allocate. Blocks that grow are mapped, since
// what they leave behind in the heap would stay resident.
bool http_connection::reserve_body() {
  std::string& body = parser_->get().body();
  const std::size_t part = buffer_.max_size();
  std::size_t capacity = body.capacity();
  if (!parser_->content_length() && capacity - body.size() < part) {
    capacity = std::clamp<std::size_t>(
        2 * capacity, mapped_block_bytes,
        std::max(options_.max_body_bytes + part, mapped_block_bytes));
  }
  const std::size_t bytes =
      std::max<std::size_t>(parser_->content_length().value_or(0), capacity);
  if (!hold(memory_of(request_) + options_.handler_bytes + bytes,
            buffer_use::unread_request)) {
    return false;
  }
  body.reserve(capacity);
  return true;
}

void http_connection::read_body() {
  if (parser_->is_done()) {
    dispatch();
    return;
  }
  if (!reserve_body()) {
    refuse_for_memory();
    return;
  }
  reading_ = true;
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        self->on_transfer(bytes);
        if (self->end_read(error)) {
          self->read_body();
        }
      });
}

// Returns whether the read succeeded and its request is still wanted: it may
// have been refused, or the connection closed, since the read began.
bool http_connection::end_read(error_code error) {
  reading_ = false;
  if (refused_) {
    release_input();
  }
  if (phase_ == phase::lingering) {
    linger();
  } else if (phase_ == phase::reading && error) {
    on_read_error(error);
  }
  return phase_ == phase::reading && !error;
}

// Frees what was read of a request, but for bytes that follow it. A pending
// read uses the parser and the buffer.
void http_connection::release_input() {
  if (reading_) {
    return;
  }
  if (refused_) {
    buffer_.consume(buffer_.size());
  }
  parser_.reset();
  request_ = {};
  if (buffer_.capacity() > std::max(2 * buffer_.size(), idle_buffer_bytes)) {
    buffer_.shrink_to_fit();
  }
}

void http_connection::on_read_error(error_code error) {
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    refuse_request(make_problem(431, "too-many-headers"));
  } else if (error == http::error::body_limit) {
    refuse_request(make_problem(413, "body-too-large"));
  } else if (error.category() ==
                 http::make_error_code(http::error::bad_version).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    refuse_request(make_problem(400, "malformed-request"));
  } else {
    close();
  }
}

void http_connection::refuse_request(const http_response& response,
                                     const std::string& retry_after) {
  phase_ = phase::answering;
  keep_alive_ = false;
  refused_ = true;
  if (reading_) {
    socket_.cancel(ignored_);  // end_read() frees what was read
  }
  release_input();
  hold(0, buffer_use::response);
  http_response out = response;
  out.headers.push_back({"Retry-After", retry_after});
  if (options_.make_request_id) {
    out.headers.push_back({"X-Request-Id", options_.make_request_id()});
  }
  respond(out);
}

void http_connection::dispatch() {
  timer_.cancel();
  phase_ = phase::answering;
  response_queued_ = false;
  keep_alive_ = parser_->keep_alive();
  constexpr unsigned http_1_1 = 11;
  chunked_allowed_ = parser_->get().version() >= http_1_1;
  http_request request = std::move(request_);
  request.body = std::move(parser_->get().body());
  if (request.body.capacity() / 2 > request.body.size()) {
    request.body.shrink_to_fit();
  }
  release_input();
  // Less than while the request was received.
  hold(memory_of(request) + options_.handler_bytes, buffer_use::request);
  watch_for_disconnect();
  if (auto server = server_.lock()) {
    server->handle(std::move(request),
                   std::make_unique<connection_exchange>(shared_from_this()));
  }
}

http_request http_connection::make_request(
    const request_parser::value_type& message) {
  http_request out;
  out.headers.reserve(
      static_cast<std::size_t>(std::distance(message.begin(), message.end())));
  out.method = std::string(message.method_string());
  out.target = std::string(message.target());
  out.remote = remote_;
  for (const auto& field : message) {
    out.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return out;
}

// Detects that the client disconnects before its response is complete.
void http_connection::watch_for_disconnect() {
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

// Reads and discards remaining data. Closing a socket with unread data resets
// the connection, and the client might not receive the refusal.
void http_connection::linger() {
  if (reading_) {
    return;  // end_read() continues
  }
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       if (error || self->phase_ != phase::lingering) {
                         self->close();
                       } else {
                         self->discard();
                       }
                     });
}

void http_connection::discard() {
  std::array<char, read_buffer_bytes> discarded{};
  error_code error;
  socket_.non_blocking(true, error);
  socket_.read_some(boost::asio::buffer(discarded), error);
  if (error && error != boost::asio::error::would_block) {
    close();
  } else {
    linger();
  }
}

}  // namespace citronwharf::detail
