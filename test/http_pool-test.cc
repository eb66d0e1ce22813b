// Kept connections: reuse, and what must not be reused.
#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <thread>

#include "net/http_pool.h"
#include "run-until.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using boost::asio::ip::tcp;
using citronwharf::test::run_until;

namespace {

const std::string whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 1\r\n\r\nok";

// Answers each request with the next script; "" closes the connection.
class scripted_server {
 public:
  scripted_server(boost::asio::io_context& loop, std::deque<std::string> script)
      : acceptor_(loop, tcp::endpoint(tcp::v4(), 0)),
        script_(std::move(script)) {
    accept();
  }
  std::string address() const {
    return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
  }
  int connections = 0;
  int requests = 0;

 private:
  void accept() {
    auto socket = std::make_shared<tcp::socket>(acceptor_.get_executor());
    acceptor_.async_accept(*socket, [this, socket](auto error) {
      if (!error) {
        ++connections;
        serve(socket);
        accept();
      }
    });
  }
  void serve(const std::shared_ptr<tcp::socket>& socket) {
    auto text = std::make_shared<std::string>();
    boost::asio::async_read_until(
        *socket, boost::asio::dynamic_buffer(*text), "\r\n\r\n",
        [this, socket, text](auto error, std::size_t) {
          if (error) {
            return;
          }
          ++requests;
          const std::string next = script_.empty() ? "" : script_.front();
          if (!script_.empty()) {
            script_.pop_front();
          }
          boost::system::error_code ignored;
          boost::asio::write(*socket, boost::asio::buffer(next), ignored);
          const bool ends =
              next.empty() || next.find("\r\n\r\ncut") != std::string::npos;
          if (ends) {
            socket->close(ignored);
          } else {
            serve(socket);
          }
        });
  }

  tcp::acceptor acceptor_;
  std::deque<std::string> script_;
};

struct fixture {
  boost::asio::io_context loop;
  http_pool pool{loop, {}};

  // Returns the body, or "failed(sent)" or "failed(unsent)".
  std::string call(const std::string& address,
                   std::function<bool(const http_response&)> accepts = {}) {
    std::string result;
    pooled_call out;
    out.address = address;
    out.accepts = std::move(accepts);
    const auto running =
        pool.fetch(out, {"GET", "/", {}, "", ""},
                   [&](absl::StatusOr<http_response> response, bool sent) {
                     result = response.ok() ? response->body
                              : sent        ? "failed(sent)"
                                            : "failed(unsent)";
                   });
    run_until(loop, [&] { return !result.empty(); });
    return result;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_connection_serves_many_calls, fixture) {
  scripted_server server(loop, {whole, whole, whole});
  for (int made = 0; made < 3; ++made) {
    BOOST_TEST(call(server.address()) == "ok");
  }
  BOOST_TEST(server.connections == 1);
}

BOOST_FIXTURE_TEST_CASE(responses_that_end_a_connection_end_it, fixture) {
  const std::string rows[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
      // An extra byte behind the response belongs to nobody.
      whole + "x",
      // No time is left of the idle timeout that the server announces.
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: "
      "timeout=0\r\n\r\nok"};
  for (const std::string& row : rows) {
    scripted_server server(loop, {row, whole});
    BOOST_TEST(call(server.address()) == "ok");
    BOOST_TEST(call(server.address()) == "ok");
    BOOST_TEST(server.connections == 2);
  }
}

BOOST_FIXTURE_TEST_CASE(a_late_response_to_another_call_is_skipped, fixture) {
  const std::string other =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Id: 0\r\n\r\nwrong";
  scripted_server server(loop, {other + whole});
  const auto own = [](const http_response& head) {
    return find_header(head.headers, "X-Id") == "1";
  };
  BOOST_TEST(call(server.address(), own) == "ok");
}

BOOST_FIXTURE_TEST_CASE(broken_responses_fail_the_call, fixture) {
  const std::string rows[] = {
      "",                                                 // closed
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",  // too short
      "no response at all\r\n\r\n",                       // not HTTP
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ncut"};
  for (const std::string& row : rows) {
    scripted_server server(loop, {row});
    BOOST_TEST(call(server.address()) == "failed(sent)");
  }
}

BOOST_FIXTURE_TEST_CASE(a_response_without_length_ends_with_the_connection,
                        fixture) {
  scripted_server server(loop, {"HTTP/1.1 200 OK\r\n\r\ncut"});
  BOOST_TEST(call(server.address()) == "cut");
}

BOOST_FIXTURE_TEST_CASE(nothing_is_sent_without_a_connection, fixture) {
  tcp::acceptor closed(loop, tcp::endpoint(tcp::v4(), 0));
  const std::string address =
      fmt::format("127.0.0.1:{}", closed.local_endpoint().port());
  closed.close();
  BOOST_TEST(call(address) == "failed(unsent)");
}

namespace {

// Answers each request with a beginning, and then with the same bytes until
// the caller closes the connection.
class endless_server {
 public:
  endless_server(boost::asio::io_context& loop, std::string beginning,
                 const std::string& piece)
      : acceptor_(loop, tcp::endpoint(tcp::v4(), 0)),
        socket_(loop),
        beginning_(std::move(beginning)) {
    constexpr std::size_t block_bytes = 64U << 10U;
    while (block_.size() < block_bytes) {
      block_ += piece;
    }
    acceptor_.async_accept(socket_, [this](auto error) {
      if (!error) {
        boost::asio::async_read_until(
            socket_, boost::asio::dynamic_buffer(request_), "\r\n\r\n",
            [this](auto failed, std::size_t) {
              if (!failed) {
                write(beginning_);
              }
            });
      }
    });
  }
  std::string address() const {
    return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
  }
  std::size_t sent = 0;
  bool closed = false;

 private:
  void write(const std::string& bytes) {
    boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                             [this](auto error, std::size_t size) {
                               sent += size;
                               closed = static_cast<bool>(error);
                               if (!closed) {
                                 write(block_);
                               }
                             });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::string request_;
  std::string beginning_;
  std::string block_;
};

}  // namespace

// Load: a server in trouble sends bytes that are no answer until its caller
// closes.
BOOST_FIXTURE_TEST_CASE(bytes_without_end_fail_the_call, fixture) {
  struct row {
    std::string name;
    std::string beginning;
    std::string piece;
  };
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const row rows[] = {
      {"status line", "HTTP/1.1 200 ", "x"},
      {"header field", "HTTP/1.1 200 OK\r\nX-Id: ", "x"},
      {"header fields", "HTTP/1.1 200 OK\r\n", "X-Id: 1\r\n"},
      {"body to the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", "x"},
      {"body with a length",
       "HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n", "x"},
      {"chunks", chunked, "1\r\nx\r\n"},
      {"chunk extension", chunked + "1;", "x"},
      {"trailers", chunked + "0\r\n", "X-Id: 1\r\n"},
      {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n",
       "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to other calls", whole, whole},
      {"no response", "x", "x"}};
  const auto own = [](const http_response& head) {
    return find_header(head.headers, "X-Id") != "1";
  };
  // What the call may take, and what the kernel's buffers hold beside it.
  constexpr std::size_t max_sent = 32U << 20U;
  for (const row& each : rows) {
    endless_server server(loop, each.beginning, each.piece);
    BOOST_TEST(call(server.address(), own) == "failed(sent)", each.name);
    BOOST_TEST(run_until(loop, [&] { return server.closed; }), each.name);
    BOOST_TEST(server.sent < max_sent, each.name);
  }
}

// A body that is passed on as it arrives has no limit.
BOOST_FIXTURE_TEST_CASE(a_long_body_is_passed_on, fixture) {
  constexpr std::size_t length = 8U << 20U;
  const std::string head =
      fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", length);
  endless_server server(loop, head, "x");
  pooled_call out;
  out.address = server.address();
  out.max_body_bytes = std::nullopt;
  std::size_t got = 0;
  http_call_handlers handlers;
  bool done = false;
  handlers.on_body = [&](const std::string& part) { got += part.size(); };
  handlers.on_done = [&] { done = true; };
  const auto running = pool.start(out, {"GET", "/", {}, "", ""}, handlers);
  BOOST_TEST(run_until(loop, [&] { return done; }));
  BOOST_TEST(got == length);
}
