#include "net/http_client.h"

#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "net/address.h"
#include "net/http_status.h"

namespace citronwharf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Limit on interim responses before the response.
constexpr int max_interim_responses = 8;

// The connection of one call. Pending handlers hold a reference to it until
// they have run.
class call_state : public std::enable_shared_from_this<call_state> {
 public:
  call_state(asio::io_context& loop, http_call_options options,
             http_call_handlers handlers)
      : options_(std::move(options)),
        handlers_(std::move(handlers)),
        socket_(loop),
        timer_(loop) {
    start_response();
  }

  void start(const http_request& request) {
    prepare(request);
    const auto address = parse_address(options_.address);
    if (!address.ok()) {
      asio::post(socket_.get_executor(),
                 [self = shared_from_this(), status = address.status()] {
                   self->fail(status);
                 });
      return;
    }
    start_timer(options_.connect_timeout, "connect timed out");
    socket_.async_connect(*address,
                          [self = shared_from_this()](error_code error) {
                            self->on_connected(error);
                          });
  }

  void abandon() {
    ended_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    handlers_ = {};
  }

 private:
  void start_response() {
    parser_.emplace();
    parser_->eager(false);
    parser_->body_limit(options_.max_body_bytes);
  }

  void prepare(const http_request& request) {
    message_.version(11);
    message_.method_string(request.method);
    message_.target(request.target);
    message_.set(http::field::host, options_.address);
    for (const header_field& field : request.headers) {
      if (beast::iequals(field.name, "Host")) {
        message_.set(http::field::host, field.value);
      } else {
        message_.insert(field.name, field.value);
      }
    }
    message_.body() = request.body;
    message_.keep_alive(false);
    message_.prepare_payload();
  }

  void on_connected(error_code error) {
    if (ended_) {
      return;
    }
    if (error) {
      fail(absl::UnavailableError("connect: " + error.message()));
      return;
    }
    socket_.set_option(tcp::no_delay(true), error);
    sent_ = true;
    start_timer(options_.idle_timeout,
                "no response data within the idle timeout");
    http::async_write(
        socket_, message_,
        [self = shared_from_this()](error_code failed, std::size_t /*n*/) {
          self->on_written(failed);
        });
  }

  void on_written(error_code error) {
    if (ended_) {
      return;
    }
    if (error) {
      fail(absl::UnavailableError("write: " + error.message()));
      return;
    }
    read();
  }

  void read() {
    start_timer(options_.idle_timeout,
                "no response data within the idle timeout");
    http::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t /*n*/) {
          self->on_read(error);
        });
  }

  void on_read(error_code error) {
    if (ended_) {
      return;
    }
    // A response without a length ends when the server closes the connection.
    if (error == http::error::end_of_stream && parser_->is_header_done() &&
        parser_->need_eof()) {
      parser_->put_eof(error);
    }
    if (error) {
      fail(absl::UnavailableError("read: " + error.message()));
      return;
    }
    deliver();
  }

  void deliver() {
    // Keeps this object alive if a handler destroys the call.
    const auto self = shared_from_this();
    const auto status = static_cast<int>(parser_->get().result_int());
    if (parser_->is_header_done() && !is_valid_status(status)) {
      fail(absl::UnavailableError(fmt::format("status {:03}", status)));
      return;
    }
    constexpr int first_final_status = 200;
    if (parser_->is_header_done() && status < first_final_status) {
      if (++interim_responses_ > max_interim_responses) {
        fail(absl::UnavailableError("too many interim responses"));
      } else {
        start_response();
        read();
      }
      return;
    }
    if (parser_->is_header_done() && !head_delivered_) {
      head_delivered_ = true;
      const http_response head = read_head();
      if (handlers_.on_head) {
        handlers_.on_head(head);
      }
    }
    std::string& body = parser_->get().body();
    if (!ended_ && !body.empty()) {
      const std::string part = std::move(body);
      body.clear();
      if (handlers_.on_body) {
        handlers_.on_body(part);
      }
    }
    if (ended_) {
      return;
    }
    if (!parser_->is_done()) {
      read();
      return;
    }
    auto done = std::move(handlers_.on_done);
    abandon();
    if (done) {
      done();
    }
  }

  http_response read_head() {
    http_response head;
    head.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get()) {
      head.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    return head;
  }

  void fail(const absl::Status& status) {
    if (ended_) {
      return;
    }
    auto failed = std::move(handlers_.on_failure);
    abandon();
    if (failed) {
      failed(http_failure{status, sent_});
    }
  }

  void start_timer(duration limit, const char* timeout_message) {
    timer_.expires_after(limit);
    timer_.async_wait(
        [weak = weak_from_this(), timeout_message](error_code error) {
          const auto self = weak.lock();
          if (!error && self) {
            self->fail(absl::DeadlineExceededError(timeout_message));
          }
        });
  }

  http_call_options options_;
  http_call_handlers handlers_;
  tcp::socket socket_;
  runtime_timer timer_;
  http::request<http::string_body> message_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  int interim_responses_ = 0;
  bool sent_ = false;
  bool head_delivered_ = false;
  bool ended_ = false;
};

class running_call : public http_call {
 public:
  explicit running_call(std::shared_ptr<call_state> state)
      : state_(std::move(state)) {}
  ~running_call() override { state_->abandon(); }
  running_call(const running_call&) = delete;
  running_call& operator=(const running_call&) = delete;

 private:
  std::shared_ptr<call_state> state_;
};

}  // namespace

std::unique_ptr<http_call> start_http_call(asio::io_context& loop,
                                           http_call_options options,
                                           const http_request& request,
                                           http_call_handlers handlers) {
  auto state = std::make_shared<call_state>(loop, std::move(options),
                                            std::move(handlers));
  state->start(request);
  return std::make_unique<running_call>(std::move(state));
}

http_call_handlers collect_response(
    std::function<void(absl::StatusOr<http_response>, bool)> done) {
  // State shared by the handlers of one call.
  struct collected {
    http_response response;
    std::function<void(absl::StatusOr<http_response>, bool)> done;
  };
  auto shared = std::make_shared<collected>();
  shared->done = std::move(done);
  http_call_handlers handlers;
  handlers.on_head = [shared](const http_response& head) {
    shared->response = head;
  };
  handlers.on_body = [shared](const std::string& part) {
    shared->response.body += part;
  };
  handlers.on_done = [shared] {
    shared->done(std::move(shared->response), true);
  };
  handlers.on_failure = [shared](const http_failure& failure) {
    shared->done(failure.status, failure.sent);
  };
  return handlers;
}

std::unique_ptr<http_call> fetch(
    asio::io_context& loop, http_call_options options,
    const http_request& request,
    std::function<void(absl::StatusOr<http_response>, bool)> done) {
  return start_http_call(loop, std::move(options), request,
                         collect_response(std::move(done)));
}

absl::StatusOr<http_response> fetch_blocking(http_call_options options,
                                             const http_request& request) {
  asio::io_context loop;
  absl::StatusOr<http_response> result =
      absl::UnknownError("no response received");
  const auto call = fetch(loop, std::move(options), request,
                          [&](absl::StatusOr<http_response> got,
                              bool /*sent*/) { result = std::move(got); });
  loop.run();
  return result;
}

}  // namespace citronwharf
