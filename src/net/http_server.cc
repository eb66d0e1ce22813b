#include "net/http_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/heap.h"
#include "net/address.h"
#include "net/http_connection.h"

namespace citronwharf {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// How long accepting pauses after an error.
constexpr duration accept_pause = milliseconds(50);
// Connections over the limit that are open at once to be refused with a
// response. Further ones are closed without one.
constexpr std::size_t max_refused_connections = 64;

}  // namespace

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
  acceptor_.async_accept([self = shared_from_this()](error_code error,
                                                     tcp::socket socket) {
    // A connection may have been accepted just before stop_accepting().
    if (!error && !self->closed_) {
      self->add_connection(std::move(socket));
    }
    if (!self->acceptor_.is_open()) {
      return;
    }
    if (!error || (error == asio::error::no_descriptors && self->make_room())) {
      self->accept();
      return;
    }
    // The next attempt would probably fail at once.
    self->accept_timer_.expires_after(accept_pause);
    self->accept_timer_.async_wait([self](error_code /*error*/) {
      if (self->acceptor_.is_open()) {
        self->accept();
      }
    });
  });
}

void http_server::impl::add_connection(tcp::socket socket) {
  const bool full =
      connections_.size() >= options_.max_connections && !make_room();
  if (connections_.size() >=
      options_.max_connections + max_refused_connections) {
    return;  // closes it
  }
  const auto accepted = std::make_shared<detail::http_connection>(
      shared_from_this(), std::move(socket), ++last_connection_);
  connections_.emplace(last_connection_, accepted);
  if (!accepted->start(full)) {
    accepted->close();
  }
}

bool http_server::impl::make_room() {
  const time_point now = runtime_clock::now();
  if (end_dispensable(now)) {
    return true;
  }
  dispensable_ = budget_.dispensable(now);
  std::reverse(dispensable_.begin(), dispensable_.end());
  return end_dispensable(now);
}

// Ends the next connection of the list that is still dispensable.
bool http_server::impl::end_dispensable(time_point now) {
  while (!dispensable_.empty()) {
    const std::uint64_t id = dispensable_.back();
    dispensable_.pop_back();
    const auto found = connections_.find(id);
    if (found == connections_.end() || !budget_.is_dispensable(id, now)) {
      continue;
    }
    const auto next = found->second;
    if (next->end_for_new_connection()) {
      return true;
    }
  }
  return false;
}

std::size_t http_server::impl::buffered_bytes() const {
  return budget_.held_bytes() -
         std::min(budget_.held_bytes(),
                  connections_.size() * detail::connection_bytes);
}

bool http_server::impl::hold(std::uint64_t connection, std::size_t bytes,
                             buffer_use use) {
  const std::size_t before = budget_.held_bytes();
  const auto decision =
      budget_.hold(connection, bytes, use, runtime_clock::now());
  for (const std::uint64_t each : decision.ended) {
    const auto found = connections_.find(each);
    if (found != connections_.end()) {
      const auto ended = found->second;
      ended->end_for_memory();
    }
  }
  on_freed(before - std::min(before, budget_.held_bytes()));
  return decision.granted;
}

// Blocks that are freed beside others stay with the process. Under load they
// would add up with mapped blocks, which don't use them.
void http_server::impl::on_freed(std::size_t bytes) {
  constexpr std::size_t parts = 8;
  if (budget_.held_bytes() < options_.max_buffered_bytes / parts) {
    return;
  }
  freed_bytes_ += bytes;
  if (freed_bytes_ >= options_.max_buffered_bytes / parts) {
    freed_bytes_ = 0;
    // The blocks are freed after they are no longer counted.
    asio::post(loop_, release_free_memory);
  }
}

void http_server::impl::forget(std::uint64_t connection) {
  const std::size_t before = budget_.held_bytes();
  budget_.release(connection);
  on_freed(before - budget_.held_bytes());
  connections_.erase(connection);
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
  for (const auto& [id, each] : open) {
    each->close_if_idle();
  }
}

void http_server::impl::refuse_unread() {
  const auto open = connections_;
  for (const auto& [id, each] : open) {
    each->refuse_unread();
  }
}

void http_server::impl::close() {
  closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  on_request_ = nullptr;
  const auto open = connections_;
  for (const auto& [id, each] : open) {
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
std::size_t http_server::buffered_bytes() const {
  return impl_->buffered_bytes();
}
std::size_t http_server::connections() const {
  return impl_->open_connections();
}

}  // namespace citronwharf
