#include <fmt/format.h>
#include <fmt/ostream.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "net/http_connection.h"
#include "net/http_status.h"

namespace citronwharf::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// How long data from a refused client is still read and discarded, so that the
// client can read the refusal.
constexpr duration linger_limit = seconds(1);
// Parts of up to this size are joined, which saves system calls.
constexpr std::size_t max_joined_bytes = 16U << 10U;
// Written at once. The progress of long responses is registered in between.
constexpr std::size_t max_write_bytes = 64U << 10U;

// Of an entry of the queue, beside its bytes.
constexpr std::size_t queued_part_bytes = sizeof(std::string);

http::response<http::empty_body> to_beast(const http_response& in,
                                          bool keep_alive) {
  http::response<http::empty_body> out;
  out.version(11);
  out.result(static_cast<unsigned>(in.status));
  for (const header_field& field : in.headers) {
    out.insert(field.name, field.value);
  }
  out.keep_alive(keep_alive);
  return out;
}

}  // namespace

void http_connection::update_keep_alive() {
  const auto server = server_.lock();
  keep_alive_ = keep_alive_ && server && !server->closing();
}

void http_connection::respond(const http_response& response) {
  response_queued_ = true;
  update_keep_alive();
  auto message = to_beast(response, keep_alive_);
  message.chunked(false);
  if (!has_no_body(response.status)) {
    message.content_length(response.body.size());
  }
  std::string head = fmt::format("{}", fmt::streamed(message.base()));
  request_bytes_ = 0;  // the request's owner has no use for it any more
  if (!reserve_queue(head.size() + response.body.size())) {
    return;
  }
  if (response.body.size() <= max_joined_bytes) {
    append(std::move(head) + response.body);
  } else {
    append(std::move(head));
    append(response.body);
  }
}

void http_connection::start_stream(const http_response& head) {
  update_keep_alive();
  delimited_by_close_ = !chunked_allowed_;
  keep_alive_ = keep_alive_ && !delimited_by_close_;
  auto message = to_beast(head, keep_alive_);
  message.chunked(!delimited_by_close_);
  queue(fmt::format("{}", fmt::streamed(message.base())));
}

void http_connection::write_chunk(const std::string& data) {
  queue(delimited_by_close_ ? data
                            : fmt::format("{:x}\r\n{}\r\n", data.size(), data));
}

void http_connection::finish_stream() {
  if (overflowed_) {
    return;
  }
  response_queued_ = true;
  request_bytes_ = 0;
  queue(delimited_by_close_ ? "" : "0\r\n\r\n");
}

void http_connection::queue(std::string bytes) {
  if (reserve_queue(bytes.size())) {
    append(std::move(bytes));
  }
}

// Closes the connection and returns false if the bytes can't be queued.
bool http_connection::reserve_queue(std::size_t bytes) {
  if (overflowed_) {
    return false;
  }
  const bool behind = queue_.size() > 1;
  const bool too_much = queued_bytes_ + bytes > options_.max_queued_bytes ||
                        (behind && *total_queued_bytes_ + bytes >
                                       options_.max_total_queued_bytes);
  const std::size_t memory = bytes + queued_part_bytes;
  queue_memory_ += memory;
  const bool fits = (response_queued_ || !too_much) &&
                    hold(request_bytes_, buffer_use::response);
  queue_memory_ -= memory;
  if (!fits) {
    end_for_memory();
  }
  return fits;
}

void http_connection::append(std::string bytes) {
  queued_bytes_ += bytes.size();
  *total_queued_bytes_ += bytes.size();
  // Joins small parts, but for the first one in the queue, which is being
  // written.
  if (queue_.size() > 1 &&
      queue_.back().size() + bytes.size() <= max_joined_bytes) {
    queue_memory_ -= memory_of(queue_.back());
    queue_.back() += bytes;
  } else {
    queue_.push_back(std::move(bytes));
    queue_memory_ += queued_part_bytes;
  }
  queue_memory_ += memory_of(queue_.back());
  // Joined parts may take a little more than was reserved. If that can't be
  // granted, it counts with the next part.
  hold(request_bytes_, buffer_use::response);
  if (!writing_) {
    write_next();
  }
}

void http_connection::write_next() {
  if (queue_.empty()) {
    if (response_queued_) {
      finish_response();
    }
    return;
  }
  writing_ = true;
  written_bytes_ = 0;
  start_timer(options_.write_timeout, &http_connection::close);
  asio::async_write(
      socket_, asio::buffer(queue_.front()),
      [self = shared_from_this()](error_code error, std::size_t written) {
        self->on_transfer(written - self->written_bytes_);
        self->written_bytes_ = written;
        return error ? 0 : max_write_bytes;
      },
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        self->writing_ = false;
        if (self->phase_ == phase::closed) {
          return;
        }
        if (error) {
          self->close();
          return;
        }
        self->on_written();
      });
}

void http_connection::on_written() {
  timer_.cancel();
  queued_bytes_ -= queue_.front().size();
  *total_queued_bytes_ -= queue_.front().size();
  queue_memory_ -= memory_of(queue_.front()) + queued_part_bytes;
  queue_.pop_front();
  // Less than before. Without a queue, the client has nothing to read.
  hold(request_bytes_,
       queue_.empty() ? buffer_use::request : buffer_use::response);
  write_next();
}

void http_connection::finish_response() {
  on_closed_ = nullptr;
  response_queued_ = false;
  delimited_by_close_ = false;
  const auto server = server_.lock();
  if (!keep_alive_ || !server || !server->accepting()) {
    socket_.shutdown(tcp::socket::shutdown_send, ignored_);
    if (refused_) {
      phase_ = phase::lingering;
      start_timer(linger_limit, &http_connection::close);
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

}  // namespace citronwharf::detail
