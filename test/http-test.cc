// Tests of the HTTP server and client: complete and streamed responses, and
// invalid requests.
#include <fmt/format.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "raw_client.h"
#include "raw_server.h"
#include "run-until.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using boost::asio::ip::tcp;
using citronwharf::test::run_until;

namespace {

constexpr duration read_timeout = milliseconds(300);
constexpr duration idle_timeout = milliseconds(600);

// A server that echoes, streams, hangs or truncates the response by path.
struct test_server {
  explicit test_server(boost::asio::io_context& loop) {
    http_server_options options;
    options.max_header_bytes = 2048;
    options.max_body_bytes = 1000;
    options.read_timeout = read_timeout;
    options.idle_timeout = idle_timeout;
    options.max_connections = 8;
    server = std::make_unique<http_server>(
        loop, options,
        [this](const http_request& request,
               std::unique_ptr<http_exchange> exchange) {
          handle(request, std::move(exchange));
        });
    port = server->listen().value();
  }
  void handle(const http_request& request,
              std::unique_ptr<http_exchange> exchange) {
    ++requests;
    if (request.target == "/stream" || request.target == "/broken") {
      exchange->start_stream({200, {{"Content-Type", "text/plain"}}, ""});
      for (int part = 0; part < 5; ++part) {
        exchange->write(fmt::format("part{}\n", part));
      }
      if (request.target == "/stream") {
        exchange->finish();
      }
      return;
    }
    if (request.target == "/hang") {
      exchange->on_closed([this] { ++disconnects; });
      open_exchanges.push_back(std::move(exchange));
      return;
    }
    exchange->respond({200, {}, request.method + request.body});
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", port); }

  std::unique_ptr<http_server> server;
  std::uint16_t port = 0;
  int requests = 0;
  int disconnects = 0;
  std::vector<std::unique_ptr<http_exchange>> open_exchanges;
};

absl::StatusOr<http_response> get(boost::asio::io_context& loop,
                                  const std::string& address,
                                  const http_request& request) {
  absl::StatusOr<http_response> response = absl::UnknownError("none");
  bool done = false;
  http_call_options options;
  options.address = address;
  const auto call = fetch(loop, options, request,
                          [&](absl::StatusOr<http_response> received, bool) {
                            response = std::move(received);
                            done = true;
                          });
  BOOST_REQUIRE(run_until(loop, [&] { return done; }));
  return response;
}

tcp::socket connect_raw(boost::asio::io_context& loop, std::uint16_t port) {
  tcp::socket raw(loop);
  raw.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  return raw;
}

// Returns everything received until the server ends its side.
std::string read_to_end(boost::asio::io_context& loop, tcp::socket& raw) {
  std::string received;
  bool closed = false;
  std::array<char, 4096> buffer{};
  std::function<void()> read = [&] {
    raw.async_read_some(boost::asio::buffer(buffer),
                        [&](boost::system::error_code error, std::size_t size) {
                          received.append(buffer.data(), size);
                          if (error) {
                            closed = true;
                          } else {
                            read();
                          }
                        });
  };
  read();
  BOOST_REQUIRE(run_until(loop, [&] { return closed; }));
  return received;
}

// Sends raw bytes and returns everything received until the server closes.
std::string exchange_raw_bytes(boost::asio::io_context& loop,
                               std::uint16_t port, const std::string& bytes) {
  tcp::socket raw = connect_raw(loop, port);
  boost::asio::write(raw, boost::asio::buffer(bytes));
  return read_to_end(loop, raw);
}

struct paused_clock {
  paused_clock() { runtime_clock::pause(); }
  ~paused_clock() { runtime_clock::resume(); }
  paused_clock(const paused_clock&) = delete;
  paused_clock& operator=(const paused_clock&) = delete;
};

// Runs everything that is ready.
void settle(boost::asio::io_context& loop) {
  loop.restart();
  while (loop.poll() > 0) {
  }
}

// Advances the paused clock so that the loop finds all timers that are due,
// and all bytes that have arrived, in its next turn.
void advance_while_blocked(duration step) {
  constexpr milliseconds longer_than_poll_interval(4);
  runtime_clock::advance(step);
  std::this_thread::sleep_for(longer_than_poll_interval);
}

// When the rest of a slow request arrives.
enum class arrival { before_expiry, just_before_refusal, after_refusal };

struct outcome {
  std::string received;
  int handled;
};

outcome send_slowly(const std::string& begin, const std::string& rest,
                    arrival when) {
  const paused_clock paused;
  boost::asio::io_context loop;
  test_server at(loop);
  tcp::socket caller = connect_raw(loop, at.port);
  const auto send_rest = [&] {
    boost::system::error_code ignored;
    boost::asio::write(caller, boost::asio::buffer(rest), ignored);
  };
  // Due before the read timeout, but in the same turn of the loop.
  runtime_timer earlier(loop);
  earlier.expires_after(read_timeout - milliseconds(1));
  if (when == arrival::just_before_refusal) {
    earlier.async_wait([&](boost::system::error_code error) {
      if (!error) {
        send_rest();
      }
    });
  }
  boost::asio::write(caller, boost::asio::buffer(begin));
  settle(loop);
  if (when == arrival::before_expiry) {
    send_rest();
  }
  advance_while_blocked(read_timeout);
  BOOST_REQUIRE(run_until(loop, [&] { return caller.available() > 0; }));
  if (when == arrival::after_refusal) {
    settle(loop);
    send_rest();
  }
  settle(loop);
  caller.shutdown(tcp::socket::shutdown_send);
  outcome seen{read_to_end(loop, caller), 0};
  BOOST_TEST(run_until(loop, [&] { return at.server->connections() == 0; }));
  seen.handled = at.requests;
  return seen;
}

struct split_request {
  std::string begin;
  std::string rest;
};

const std::vector<split_request>& split_requests() {
  static const std::vector<split_request> requests{
      {"POST / HTTP/1.1\r\nHost: a\r\n", "Content-Length: 5\r\n\r\nhello"},
      {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", "hello"},
      {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel", "lo"},
      {"GET / HT", "TP/1.1\r\n\r\n"},
  };
  return requests;
}

}  // namespace

BOOST_AUTO_TEST_CASE(complete_and_streamed_responses_are_received) {
  boost::asio::io_context loop;
  test_server at(loop);
  BOOST_TEST(get(loop, at.address(), {"POST", "/", {}, "x", ""})->body ==
             "POSTx");
  BOOST_TEST(get(loop, at.address(), {"GET", "/stream", {}, "", ""})->body ==
             "part0\npart1\npart2\npart3\npart4\n");
}

BOOST_AUTO_TEST_CASE(truncated_stream_is_reported_as_error) {
  boost::asio::io_context loop;
  test_server at(loop);
  BOOST_TEST(!get(loop, at.address(), {"GET", "/broken", {}, "", ""}).ok());
}

// HTTP/1.0 clients don't know chunks: a stream ends with its connection.
BOOST_AUTO_TEST_CASE(truncated_stream_to_http_1_0_client_is_reset) {
  const std::string parts = "part0\npart1\npart2\npart3\npart4\n";
  for (const std::string fields : {"", "Connection: keep-alive\r\n"}) {
    for (const std::string target : {"/stream", "/broken"}) {
      boost::asio::io_context loop;
      test_server at(loop);
      const test::raw_client client(
          loop, at.address(),
          fmt::format("GET {} HTTP/1.0\r\n{}\r\n", target, fields));
      BOOST_REQUIRE(run_until(loop, [&] { return client.ended(); }));
      const test::raw_response got = client.response();
      BOOST_TEST(got.head.find("chunked") == std::string::npos);
      BOOST_TEST(got.complete == (target == "/stream"));
      if (got.complete) {
        BOOST_TEST(got.body == parts);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(client_disconnect_is_detected) {
  boost::asio::io_context loop;
  test_server at(loop);
  http_call_options options;
  options.address = at.address();
  auto call = fetch(loop, options, {"GET", "/hang", {}, "", ""},
                    [](const absl::StatusOr<http_response>&, bool) {});
  BOOST_REQUIRE(run_until(loop, [&] { return at.requests == 1; }));
  BOOST_TEST(at.open_exchanges.front()->open());
  call.reset();
  BOOST_TEST(run_until(loop, [&] { return at.disconnects == 1; }));
  BOOST_TEST(!at.open_exchanges.front()->open());
}

BOOST_AUTO_TEST_CASE(invalid_requests_get_4xx_without_reaching_the_handler) {
  struct row {
    std::string bytes;
    std::string status;
  };
  const std::string big(4000, 'x');
  const std::vector<row> table{
      {"nonsense\r\n\r\n", "400"},
      {"GET / HTTP/9.9\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nA: " + big + "\r\n\r\n", "431"},
      {"POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" + big, "413"},
      {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", "408"},
      {"GET / HTT", "408"},
  };
  for (const row& each : table) {
    boost::asio::io_context loop;
    test_server at(loop);
    const std::string received = exchange_raw_bytes(loop, at.port, each.bytes);
    BOOST_TEST(received.substr(0, 12) == "HTTP/1.1 " + each.status,
               each.bytes.substr(0, 40));
    BOOST_TEST(at.requests == 0);
  }
}

BOOST_AUTO_TEST_CASE(request_refused_for_its_read_timeout_is_never_handled) {
  for (const split_request& each : split_requests()) {
    for (const arrival when :
         {arrival::just_before_refusal, arrival::after_refusal}) {
      BOOST_TEST_CONTEXT(each.begin << " then " << each.rest << ", order "
                                    << static_cast<int>(when)) {
        const outcome seen = send_slowly(each.begin, each.rest, when);
        BOOST_TEST(seen.received.substr(0, 12) == "HTTP/1.1 408");
        BOOST_TEST(seen.received.rfind("HTTP/1.1 ") == 0U);
        BOOST_TEST(seen.handled == 0);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(request_that_arrives_with_its_timeout_has_one_outcome) {
  for (const split_request& each : split_requests()) {
    BOOST_TEST_CONTEXT(each.begin << " then " << each.rest) {
      const outcome seen =
          send_slowly(each.begin, each.rest, arrival::before_expiry);
      const bool refused = seen.received.rfind("HTTP/1.1 408", 0) == 0;
      BOOST_TEST(seen.received.rfind("HTTP/1.1 ") == 0U);
      BOOST_TEST(seen.handled == (refused ? 0 : 1));
    }
  }
}

BOOST_AUTO_TEST_CASE(invalid_request_is_never_handled_when_more_bytes_follow) {
  const std::string big(4000, 'x');
  const std::string whole = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::vector<split_request> table{
      {"nonsense\r\n\r\n", whole},
      {"GET / HTTP/1.1\r\nA: " + big, "\r\n\r\n" + whole},
      {"POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n", big + whole},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfa0\r\n" + big,
       "\r\n0\r\n\r\n" + whole},
      {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", whole},
  };
  for (const split_request& each : table) {
    BOOST_TEST_CONTEXT(each.begin.substr(0, 60)) {
      boost::asio::io_context loop;
      test_server at(loop);
      tcp::socket caller = connect_raw(loop, at.port);
      boost::asio::write(caller, boost::asio::buffer(each.begin));
      BOOST_REQUIRE(run_until(loop, [&] { return caller.available() > 0; }));
      settle(loop);
      boost::asio::write(caller, boost::asio::buffer(each.rest));
      settle(loop);
      const std::string received = read_to_end(loop, caller);
      caller.close();
      BOOST_TEST(
          run_until(loop, [&] { return at.server->connections() == 0; }));
      BOOST_TEST(received.substr(0, 10) == "HTTP/1.1 4");
      BOOST_TEST(received.rfind("HTTP/1.1 ") == 0U);
      BOOST_TEST(at.requests == 0);
    }
  }
}

// Two readers of such a head may find the end of its request at different
// bytes, so that one of them takes a part of the body for the next request.
BOOST_AUTO_TEST_CASE(request_without_a_certain_end_is_never_handled) {
  const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string chunk =
      fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", inner.size(), inner);
  const std::vector<std::string> fields{
      "Transfer-Encoding: gzip",
      "Transfer-Encoding: identity",
      "Transfer-Encoding: xchunked",
      "Transfer-Encoding: chunked, identity",
      "Transfer-Encoding: gzip, chunked",
      "Transfer-Encoding: chunked, chunked",
      "Transfer-Encoding: \"chunked\"",
      "Transfer-Encoding: chunked;q=1",
      "Transfer-Encoding:",
      "Transfer-Encoding: ,",
      "Transfer-Encoding: \xff",
      "Transfer-Encoding : chunked",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding: chunked\r\nContent-Length: 3",
      "Content-Length: 3\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding: gzip\r\nContent-Length: 3",
      "Content-Length: 3\r\nTransfer-Encoding: gzip",
      "Content-Length: 0\r\nContent-Length: 3",
      "Content-Length: 3, 0",
      "Content-Length: +3",
      "Content-Length: -3",
      "Content-Length: 0x3",
      "Content-Length: 3 0",
      "Content-Length:",
      "Content-Length : 3",
      "Host: b",
  };
  const auto check = [&](const std::string& bytes) {
    BOOST_TEST_CONTEXT(bytes) {
      boost::asio::io_context loop;
      test_server at(loop);
      tcp::socket caller = connect_raw(loop, at.port);
      boost::asio::write(caller, boost::asio::buffer(bytes));
      const std::string received = read_to_end(loop, caller);
      BOOST_TEST(received.substr(0, 12) == "HTTP/1.1 400");
      BOOST_TEST(received.rfind("HTTP/1.1 ") == 0U);
      BOOST_TEST(at.requests == 0);
    }
  };
  for (const std::string& each : fields) {
    for (const std::string& body : {inner, chunk}) {
      check(fmt::format("POST / HTTP/1.1\r\nHost: a\r\n{}\r\n\r\n{}", each,
                        body));
    }
  }
  check("POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunk);
}

// Fields behind the body were not there when the request was admitted.
BOOST_AUTO_TEST_CASE(trailers_are_not_taken_for_headers) {
  boost::asio::io_context loop;
  http_request seen;
  http_server server(
      loop, {}, [&](http_request in, std::unique_ptr<http_exchange> exchange) {
        seen = std::move(in);
        exchange->respond({200, {}, ""});
      });
  tcp::socket caller = connect_raw(loop, server.listen().value());
  boost::asio::write(caller,
                     boost::asio::buffer(std::string(
                         "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                         "Transfer-Encoding: Chunked\r\n\r\n"
                         "1\r\nx\r\n0\r\nAuthorization: Token k\r\n\r\n")));
  BOOST_TEST(read_to_end(loop, caller).substr(0, 12) == "HTTP/1.1 200");
  BOOST_TEST(seen.body == "x");
  BOOST_TEST(find_header(seen.headers, "Host") == "a");
  BOOST_TEST(find_header(seen.headers, "Authorization").empty());
}

BOOST_AUTO_TEST_CASE(idle_and_surplus_connections_are_closed) {
  boost::asio::io_context loop;
  test_server at(loop);
  BOOST_TEST(exchange_raw_bytes(loop, at.port, "").empty());
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  const auto open = [&](const std::string& bytes) {
    std::vector<std::unique_ptr<tcp::socket>> out;
    for (int count = 0; count < 8; ++count) {
      out.push_back(std::make_unique<tcp::socket>(loop));
      out.back()->connect(
          {boost::asio::ip::make_address("127.0.0.1"), at.port});
      boost::asio::write(*out.back(), boost::asio::buffer(bytes));
    }
    BOOST_REQUIRE(
        run_until(loop, [&] { return at.server->connections() == 8; }));
    return out;
  };
  {
    // Beside requests that are being received, a new connection is refused.
    const auto busy = open("GET / HTT");
    BOOST_TEST(exchange_raw_bytes(loop, at.port, request).substr(0, 12) ==
               "HTTP/1.1 503");
  }
  BOOST_REQUIRE(run_until(loop, [&] { return at.server->connections() == 0; }));
  // Otherwise it takes the place of one that is idle.
  const auto idle = open("");
  tcp::socket caller = connect_raw(loop, at.port);
  boost::asio::write(caller, boost::asio::buffer(request));
  BOOST_TEST(run_until(loop, [&] { return caller.available() > 0; }));
  BOOST_TEST(at.requests == 1);
  BOOST_TEST(at.server->connections() == 8U);
}

BOOST_AUTO_TEST_CASE(request_that_arrives_at_the_idle_timeout_is_answered) {
  const paused_clock paused;
  boost::asio::io_context loop;
  test_server at(loop);
  tcp::socket caller = connect_raw(loop, at.port);
  // Due before the idle timeout, but in the same turn of the loop.
  runtime_timer earlier(loop);
  earlier.expires_after(idle_timeout - milliseconds(1));
  earlier.async_wait([&](boost::system::error_code error) {
    if (!error) {
      boost::asio::write(
          caller, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    }
  });
  settle(loop);
  advance_while_blocked(idle_timeout);
  run_until(loop,
            [&] { return at.requests == 1 || at.server->connections() == 0; });
  BOOST_TEST(at.requests == 1);
}

// Guards against losing requests when the server is stopped while clients
// connect: connections that the kernel has already accepted must be answered.
BOOST_AUTO_TEST_CASE(stop_answers_requests_that_have_arrived) {
  boost::asio::io_context loop;
  test_server made(loop);
  constexpr int callers = 6;
  const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
  const auto port = static_cast<std::uint16_t>(made.port);
  const tcp::endpoint to(boost::asio::ip::make_address("127.0.0.1"), port);
  std::vector<tcp::socket> sockets;
  // One connection is accepted before the stop, the others are still queued.
  sockets.emplace_back(loop);
  sockets.back().connect(to);
  BOOST_REQUIRE(
      run_until(loop, [&] { return made.server->connections() == 1; }));
  while (sockets.size() < callers) {
    sockets.emplace_back(loop);
    sockets.back().connect(to);
  }
  for (tcp::socket& each : sockets) {
    boost::asio::write(each, boost::asio::buffer(request));
  }
  made.server->close_after_responses();
  made.server->stop_accepting();
  BOOST_TEST(run_until(loop, [&] { return made.requests == callers; }));
  run_until(loop, [&] { return made.server->connections() == 0; });
  for (tcp::socket& each : sockets) {
    std::array<char, 64> bytes{};
    boost::system::error_code error;
    const std::size_t size = each.read_some(boost::asio::buffer(bytes), error);
    BOOST_TEST(std::string(bytes.data(), size).rfind("HTTP/1.1 200", 0) == 0U);
  }
  // New connections are refused.
  tcp::socket late(loop);
  boost::system::error_code refused;
  late.connect(to, refused);
  BOOST_TEST(refused.failed());
}

// The second connection is accepted when the first is handled, but its own
// handler has not run when the server stops.
BOOST_AUTO_TEST_CASE(stop_answers_a_connection_that_is_being_accepted) {
  boost::asio::io_context loop;
  test_server at(loop);
  std::vector<tcp::socket> callers;
  for (int count = 0; count < 2; ++count) {
    callers.push_back(connect_raw(loop, at.port));
    boost::asio::write(
        callers.back(),
        boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  }
  BOOST_REQUIRE(run_until(loop, [&] { return at.server->connections() == 1; }));
  at.server->stop_accepting();
  run_until(
      loop, [&] { return at.requests == 2; }, seconds(1));
  BOOST_TEST(at.requests == 2);
}

BOOST_AUTO_TEST_CASE(keep_alive_serves_pipelined_requests_in_order) {
  boost::asio::io_context loop;
  test_server at(loop);
  const std::string received = exchange_raw_bytes(
      loop, at.port,
      "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\naPOST / HTTP/1.1\r\n"
      "Content-Length: 1\r\nConnection: close\r\n\r\nb");
  BOOST_TEST(received.find("POSTa") < received.find("POSTb"));
  BOOST_TEST(at.requests == 2);
}

BOOST_AUTO_TEST_CASE(failed_connect_reports_nothing_sent) {
  boost::asio::io_context loop;
  http_call_options options;
  options.address = "127.0.0.1:1";
  bool failed = false;
  bool sent = true;
  const auto call =
      fetch(loop, options, {"GET", "/", {}, "", ""},
            [&](const absl::StatusOr<http_response>& received, bool was_sent) {
              failed = !received.ok();
              sent = was_sent;
            });
  BOOST_REQUIRE(run_until(loop, [&] { return failed; }));
  BOOST_TEST(!sent);
}

BOOST_AUTO_TEST_CASE(interim_response_is_not_taken_for_the_response) {
  const std::string early_hints = "HTTP/1.1 103 -\r\nLink: </a>\r\n\r\n";
  boost::asio::io_context loop;
  test::raw_server server(
      loop, [&](const std::string& /*request*/,
                const std::shared_ptr<test::raw_connection>& caller) {
        caller->write("HTTP/1.1 100 -\r\n\r\n" + early_hints +
                      test::raw_reply("X-Final: 1\r\n", "done"));
      });
  absl::StatusOr<http_response> got = absl::UnknownError("no response");
  bool ended = false;
  const auto call = fetch(loop, {server.address()}, {"GET", "/", {}, "", ""},
                          [&](absl::StatusOr<http_response> response, bool) {
                            got = std::move(response);
                            ended = true;
                          });
  BOOST_REQUIRE(test::run_until(loop, [&] { return ended; }));
  BOOST_REQUIRE(got.ok());
  BOOST_TEST(got->status == 200);
  BOOST_TEST(got->body == "done");
  BOOST_TEST(find_header(got->headers, "Link").empty());
}

BOOST_AUTO_TEST_CASE(stream_parts_are_delivered_before_the_end) {
  boost::asio::io_context loop;
  std::unique_ptr<http_exchange> open;
  http_server server(
      loop, {},
      [&](const http_request&, std::unique_ptr<http_exchange> received) {
        open = std::move(received);
        open->start_stream({200, {}, ""});
        open->write("first");
      });
  http_call_options options;
  options.address = fmt::format("127.0.0.1:{}", server.listen().value());
  std::string body;
  http_call_handlers handlers;
  handlers.on_body = [&](const std::string& data) { body += data; };
  const auto call =
      start_http_call(loop, options, {"GET", "/", {}, "", ""}, handlers);
  BOOST_TEST(run_until(loop, [&] { return body == "first"; }));
}

// Stops the server at each event loop step around the end of a response. Guards
// against a fault found in the large/trouble-1 run: a connection between its
// response and the wait for the next request stayed open, and its next request
// was abandoned.
BOOST_AUTO_TEST_CASE(slow_reader_is_not_reported_from_within_a_write) {
  boost::asio::io_context loop;
  http_server_options options;
  options.max_queued_bytes = 1000;
  std::unique_ptr<http_exchange> stream;
  bool closed = false;
  bool closed_within_write = false;
  http_server server(
      loop, options,
      [&](const http_request&, std::unique_ptr<http_exchange> exchange) {
        stream = std::move(exchange);
        stream->on_closed([&] { closed = true; });
        stream->start_stream({200, {}, ""});
        for (int part = 0; part < 5; ++part) {
          stream->write(std::string(900, 'x'));
          closed_within_write = closed_within_write || closed;
        }
        stream->finish();
      });
  const auto got =
      get(loop, fmt::format("127.0.0.1:{}", server.listen().value()),
          {"GET", "/", {}, "", ""});
  BOOST_TEST(!got.ok());
  BOOST_TEST(!closed_within_write);
  BOOST_REQUIRE(run_until(loop, [&] { return closed; }));
}

BOOST_AUTO_TEST_CASE(stop_at_any_step_closes_idle_connections) {
  constexpr int max_steps = 12;
  for (int steps = 0; steps < max_steps; ++steps) {
    boost::asio::io_context loop;
    http_server_options options;
    options.idle_timeout = seconds(60);
    http_server server(loop, options,
                       [](const http_request& /*request*/,
                          std::unique_ptr<http_exchange> exchange) {
                         exchange->respond({200, {}, "whole"});
                       });
    const std::uint16_t port = server.listen().value();
    tcp::socket caller(loop);
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::asio::write(
        caller, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    BOOST_REQUIRE(run_until(loop, [&] { return caller.available() > 0; }));
    loop.restart();
    for (int step = 0; step < steps; ++step) {
      loop.poll_one();
    }
    server.stop_accepting();
    BOOST_TEST(run_until(
                   loop, [&] { return server.connections() == 0; }, seconds(1)),
               "open when stopped after " << steps << " steps");
  }
}
