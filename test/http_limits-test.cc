// Tests of the limits of http_server on input that is no body: trailers, chunk
// extensions and empty lines, and of its memory budget. Guards against input
// that is kept without bound, and against refusals of requests within the
// limits.
#include <fmt/format.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway_fakes.h"
#include "net/http_server.h"
#include "raw_client.h"
#include "run-until.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t max_header_bytes = 16U << 10U;
constexpr std::size_t megabyte = 1U << 20U;

// Sends a request and reads, without blocking the loop that also serves it.
class client : public std::enable_shared_from_this<client> {
 public:
  client(boost::asio::io_context& loop, std::string request)
      : socket_(loop), request_(std::move(request)) {}
  void start(const std::string& address) {
    socket_.async_connect(
        *parse_address(address),
        [self = shared_from_this()](boost::system::error_code error) {
          self->ended_ = static_cast<bool>(error);
          boost::asio::async_write(
              self->socket_, boost::asio::buffer(self->request_),
              [self](boost::system::error_code, std::size_t) {});
          self->read();
        });
  }
  void close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
  bool ended() const { return ended_; }
  const std::string& bytes() const { return received_; }

 private:
  void read() {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [self = shared_from_this()](boost::system::error_code error,
                                    std::size_t size) {
          self->received_.append(self->buffer_.data(), size);
          self->ended_ = static_cast<bool>(error);
          if (!error) {
            self->read();
          }
        });
  }

  boost::asio::ip::tcp::socket socket_;
  std::string request_;
  std::array<char, 4096> buffer_{};
  std::string received_;
  bool ended_ = false;
};

struct limited_server {
  limited_server() {
    options.max_body_bytes = 4 * megabyte;
    options.max_buffered_bytes = 8 * megabyte;
    options.on_memory_refusal = [this] { ++memory_refusals; };
  }

  std::shared_ptr<client> send(const std::string& request) {
    if (!server) {
      server = std::make_unique<http_server>(
          loop, options,
          [this](http_request in, std::unique_ptr<http_exchange> exchange) {
            seen.push_back(std::move(in));
            if (holds) {
              held.push_back(std::move(exchange));
            } else {
              exchange->respond(reply(200, response));
            }
          });
      address = fmt::format("127.0.0.1:{}", server->listen().value());
    }
    auto out = std::make_shared<client>(loop, request);
    out->start(address);
    return out;
  }
  // Returns the status of the response, 0 if the connection was closed.
  int status_of(const client& client) {
    BOOST_REQUIRE(run_until(loop, [&] {
      return client.ended() ||
             client.bytes().find("\r\n\r\n") != std::string::npos;
    }));
    return parse_raw_response(client.bytes(), false).status;
  }
  int status_of(const std::string& request) {
    const auto client = send(request);
    return status_of(*client);
  }

  static std::string head(const std::string& more) {
    return "POST / HTTP/1.1\r\nHost: a\r\n" + more + "\r\n";
  }
  static std::string chunked(const std::string& body) {
    return head("Transfer-Encoding: chunked\r\n") + body;
  }
  static std::string with_length(std::size_t length, std::size_t sent) {
    return head(fmt::format("Content-Length: {}\r\n", length)) +
           std::string(sent, 'x');
  }
  static std::string with_length(std::size_t length) {
    return with_length(length, length);
  }

  boost::asio::io_context loop;
  http_server_options options;
  int memory_refusals = 0;
  std::vector<http_request> seen;
  bool holds = false;
  std::string response = "done";
  std::vector<std::unique_ptr<http_exchange>> held;
  std::string address;
  std::unique_ptr<http_server> server;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(trailers_and_extensions_have_limits, limited_server) {
  const std::string field =
      "X-Trailer: " + std::string(max_header_bytes, 'x') + "\r\n";
  BOOST_TEST(status_of(chunked("1\r\nx\r\n0\r\n" + field + field)) == 431);
  const std::string extension = ";n=" + std::string(2 * max_header_bytes, 'x');
  BOOST_TEST(status_of(chunked("1" + extension)) == 431);
  std::string many;
  for (int i = 0; i < 200; ++i) {
    many += "1;n=" + std::string(100, 'x') + "\r\nx\r\n";
  }
  BOOST_TEST(status_of(chunked(many + "0\r\n\r\n")) == 431);
  BOOST_TEST(status_of(std::string(1000, '\n')) == 400);
  BOOST_TEST(status_of("\r\n\r\n\r\n\r\n" + head("")) == 400);
  BOOST_TEST(seen.empty());
}

BOOST_FIXTURE_TEST_CASE(short_trailers_and_extensions_are_accepted,
                        limited_server) {
  const std::string body =
      "1;n=v\r\nx\r\n2\r\nyz\r\n0;last\r\nX-Trailer: v\r\n\r\n";
  BOOST_TEST(status_of(chunked(body)) == 200);
  BOOST_REQUIRE_EQUAL(seen.size(), 1U);
  BOOST_TEST(seen.front().body == "xyz");
}

BOOST_FIXTURE_TEST_CASE(largest_request_is_read, limited_server) {
  const std::string field =
      "X-Field: " + std::string(max_header_bytes - 100, 'x') + "\r\n";
  const std::string body(options.max_body_bytes, 'y');
  BOOST_TEST(status_of(head(field + fmt::format("Content-Length: {}\r\n",
                                                body.size())) +
                       body) == 200);
  BOOST_TEST(status_of(chunked(fmt::format("{:x}\r\n", body.size()) + body +
                               "\r\n0\r\n\r\n")) == 200);
  BOOST_REQUIRE_EQUAL(seen.size(), 2U);
  BOOST_TEST((seen[0].body == body));
  BOOST_TEST((seen[1].body == body));
  BOOST_TEST(memory_refusals == 0);
}

// The declared length decides, before the body is read.
BOOST_FIXTURE_TEST_CASE(large_request_is_refused_while_others_hold_the_budget,
                        limited_server) {
  holds = true;
  const auto first = send(with_length(4 * megabyte));
  const auto second = send(with_length(2 * megabyte));
  BOOST_REQUIRE(run_until(loop, [&] { return held.size() == 2; }));
  const auto refused = send(with_length(2 * megabyte, 0));
  BOOST_TEST(status_of(*refused) == 503);
  BOOST_TEST(refused->bytes().find("Retry-After: 1") != std::string::npos);
  BOOST_TEST(memory_refusals == 1);
  // An ordinary request is served meanwhile.
  holds = false;
  BOOST_TEST(status_of(with_length(1000)) == 200);
  // Answers free the memory.
  for (auto& each : held) {
    each->respond(reply(200, "done"));
  }
  BOOST_TEST(status_of(*first) == 200);
  BOOST_TEST(status_of(with_length(4 * megabyte)) == 200);
}

BOOST_FIXTURE_TEST_CASE(stalled_bodies_give_way, limited_server) {
  const auto large = send(with_length(4 * megabyte, 3 * megabyte));
  const auto small = send(with_length(2 * megabyte, megabyte));
  BOOST_REQUIRE(run_until(
      loop, [&] { return server && server->buffered_bytes() > 6 * megabyte; }));
  const auto stalled =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
  run_until(loop, [&] { return std::chrono::steady_clock::now() >= stalled; });
  BOOST_TEST(status_of(with_length(4 * megabyte)) == 200);
  BOOST_TEST(status_of(*large) == 503);
  BOOST_TEST(!small->ended());
  BOOST_TEST(seen.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(memory_is_free_after_every_end, limited_server) {
  BOOST_TEST(status_of(with_length(megabyte)) == 200);
  BOOST_TEST(status_of(chunked("1\r\nx\r\n0\r\n\r\n")) == 200);
  BOOST_TEST(status_of(with_length(5 * megabyte, 0)) == 413);
  {
    const auto broken = send(with_length(4 * megabyte, megabyte));
    BOOST_REQUIRE(run_until(
        loop, [&] { return server->buffered_bytes() > 4 * megabyte; }));
    broken->close();
    BOOST_REQUIRE(run_until(loop, [&] { return broken->ended(); }));
  }
  response = std::string(3 * megabyte, 'y');
  BOOST_TEST(status_of(head("Content-Length: 0\r\n")) == 200);
  BOOST_TEST(run_until(loop, [&] { return server->buffered_bytes() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(request_is_refused_by_its_head, limited_server) {
  options.on_head = [](const http_request& in,
                       std::unique_ptr<http_exchange>& exchange) {
    if (find_header(in.headers, "X-Key").empty()) {
      const auto own = std::move(exchange);
      own->respond(reply(401, "unknown"));
    }
  };
  BOOST_TEST(status_of(with_length(4 * megabyte, 0)) == 401);
  BOOST_TEST(status_of(with_length(4 * megabyte, 2 * megabyte)) == 401);
  BOOST_TEST(status_of(chunked("1\r\nx\r\n")) == 401);
  BOOST_TEST(seen.empty());
  // Others are read and passed on.
  BOOST_TEST(status_of(head(fmt::format("X-Key: k\r\nContent-Length: {}\r\n",
                                        megabyte)) +
                       std::string(megabyte, 'x')) == 200);
  BOOST_TEST(seen.size() == 1U);
  // Short bodies too, so that their connections are kept.
  BOOST_TEST(status_of(with_length(1000)) == 200);
}

// A response counts once, at what it takes.
BOOST_FIXTURE_TEST_CASE(response_counts_by_its_size, limited_server) {
  std::size_t held = 0;
  http_server counting(
      loop, options,
      [&](const http_request& /*in*/, std::unique_ptr<http_exchange> exchange) {
        exchange->respond(reply(200, std::string(4 * megabyte, 'y')));
        held = counting.buffered_bytes();
      });
  const auto reader = std::make_shared<client>(loop, head(""));
  reader->start(fmt::format("127.0.0.1:{}", counting.listen().value()));
  BOOST_TEST(status_of(*reader) == 200);
  BOOST_TEST(held > 4 * megabyte);
  BOOST_TEST(held < 4 * megabyte + (64U << 10U));
}
