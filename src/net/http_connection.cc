#include "net/http_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "net/address.h"

namespace citronwharf::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Less is no progress, so that a client that sends or reads a few bytes at a
// time counts as stalled.
constexpr std::size_t min_progress_bytes = 4U << 10U;

// Limit on bytes read but not yet parsed: a head, the extensions of a chunk or
// all trailers, and some bytes of what follows them. Long bodies are read by
// 16 KiB.
std::size_t max_unparsed_bytes(const http_server_options& options) {
  constexpr std::size_t margin = 4U << 10U;
  constexpr std::size_t min_limit = 16U << 10U;
  return std::max(options.max_header_bytes, min_limit) + margin;
}

}  // namespace

http_response make_problem(int status, const std::string& title) {
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

http_connection::http_connection(
    const std::shared_ptr<http_server::impl>& server, tcp::socket socket,
    std::uint64_t id)
    : server_(server),
      options_(server->options()),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      id_(id),
      buffer_(max_unparsed_bytes(options_)),
      total_queued_bytes_(server->queued_bytes()) {
  error_code error;
  const auto remote = socket_.remote_endpoint(error);
  remote_ = error ? "" : format_address(remote);
}

http_connection::~http_connection() {
  *total_queued_bytes_ -= queued_bytes_;
}

bool http_connection::start(bool refuse) {
  socket_.set_option(tcp::no_delay(true), ignored_);
  if (!hold(0, buffer_use::unused)) {
    return false;
  }
  if (refuse) {
    refuse_request(make_problem(503, "too-many-connections"));
  } else {
    await_request();
  }
  return true;
}

void http_connection::close() {
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
    server->forget(id_);
  }
  auto handler = std::move(on_closed_);
  on_closed_ = nullptr;
  if (handler) {
    handler();
  }
}

void http_connection::close_if_idle() {
  if (phase_ == phase::idle && socket_.available(ignored_) == 0) {
    close();
  }
}

void http_connection::refuse_unread() {
  if (phase_ == phase::reading) {
    // Another process may serve the request at once.
    refuse_request(make_problem(503, "draining"), "0");
  }
}

// Returns what the connection takes with so much of a request. The buffer grows
// within the operation that reads a head, so it counts by its limit.
std::size_t http_connection::held_bytes(std::size_t request_bytes) const {
  std::size_t buffer =
      phase_ == phase::reading ? buffer_.max_size() : buffer_.capacity();
  if (buffer <= idle_buffer_bytes) {
    buffer = 0;  // part of connection_bytes
  }
  return connection_bytes + buffer + request_bytes + queue_memory_;
}

// Reserves so many bytes for the request, beside what the connection takes now.
// Returns false, and changes nothing, if there is no memory for them.
bool http_connection::hold(std::size_t request_bytes, buffer_use use) {
  const auto server = server_.lock();
  // A refusal fits into what the connection takes by itself.
  const bool held =
      !server || phase_ == phase::closed || overflowed_ ||
      server->hold(id_, refused_ ? connection_bytes : held_bytes(request_bytes),
                   use);
  if (held) {
    request_bytes_ = request_bytes;
  }
  return held;
}

bool http_connection::end_for_new_connection() {
  if (phase_ == phase::idle) {
    close_if_idle();
    return phase_ == phase::closed;
  }
  if (phase_ != phase::reading) {
    return false;
  }
  refuse_request(make_problem(503, "too-many-connections"));
  return true;
}

void http_connection::on_transfer(std::size_t bytes) {
  transferred_bytes_ += bytes;
  const auto server = server_.lock();
  if (server && transferred_bytes_ >= min_progress_bytes) {
    transferred_bytes_ = 0;
    server->progress(id_);
  }
}

void http_connection::refuse_for_memory() {
  refuse_request(make_problem(503, "out-of-memory"));
  if (const auto server = server_.lock()) {
    server->on_memory_refusal();
  }
}

void http_connection::end_for_memory() {
  if (phase_ == phase::reading) {
    refuse_for_memory();
    return;
  }
  if (phase_ == phase::idle) {
    close();
    return;
  }
  if (const auto server = server_.lock()) {
    server->on_memory_refusal();
  }
  overflowed_ = true;
  // The exchange of another connection may be writing.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->close(); });
}

void http_connection::start_timer(duration limit,
                                  void (http_connection::*on_expiry)()) {
  timer_.expires_after(limit);
  timer_.async_wait([weak = weak_from_this(), on_expiry](error_code error) {
    const auto self = weak.lock();
    if (!error && self && self->phase_ != phase::closed) {
      (*self.*on_expiry)();
    }
  });
}

}  // namespace citronwharf::detail
