// Clients outside the limits must not take a gateway beyond the memory of its
// VM, end it or make it hang. Guards against input that is kept without bound:
// trailers, chunk extensions, bodies that stay incomplete and responses that
// are not read. Checks neither times nor shares of requests served.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "hostile_clients.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
namespace {

// The limits of deploy/settings.json.in.
constexpr std::size_t max_body_bytes = 4U << 20U;
// The memory of the smallest VM.
constexpr long max_peak_kb = 88L << 10U;
// A crowd has up to 60 clients. An idle gateway has about 25 descriptors, and
// each request takes two while it is forwarded.
constexpr std::size_t max_descriptors = 250;
// Sent by each client whose input never ends. Without limits, 12 clients take
// the gateway to over 200 MB.
constexpr std::size_t endless_bytes = 20U << 20U;
constexpr std::size_t endless_clients = 12;
constexpr std::size_t large_body_clients = 60;
constexpr std::size_t large_body_bytes = 4000000;
constexpr std::size_t large_answers = 40;
// A crowd's work ends by itself: by the gateway's refusal, or at its timeouts
// of 10 s.
constexpr std::chrono::seconds crowd_limit(16);
// Time for which clients that stay open are observed.
constexpr std::chrono::seconds hold_time(4);

std::string post(const std::string& more, const std::string& key = "k1") {
  return fmt::format(
      "POST /l/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token {}\r\n"
      "Citronwharf-Deadline-Ms: 2000\r\n{}",
      key, more);
}

std::string with_length(std::size_t bytes, const std::string& key = "k1") {
  return post(fmt::format("Content-Length: {}\r\n\r\n", bytes), key);
}

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

struct hostile_clients : gateway_fixture {
  hostile_clients()
      : gateway_fixture(60000, 300, {{"max_body_bytes", max_body_bytes}}) {
    BOOST_REQUIRE_EQUAL(publish(1).status, 200);
    wait_until_ready();
  }

  // Runs the crowd until all its clients have ended, or have sent everything
  // and stayed open for a while.
  void play(std::size_t count, const client_input& input) {
    auto running = std::make_unique<crowd>(loop, callers, count, input);
    const auto& clients = running->clients();
    std::size_t most_descriptors = 0;
    const auto watch = [&](const auto& done) {
      return [&, done] {
        most_descriptors =
            std::max(most_descriptors, open_descriptors(gateway->pid()));
        return !gateway->running() ||
               std::all_of(clients.begin(), clients.end(),
                           [&](const auto& each) { return done(*each); });
      };
    };
    run_until(loop, watch([](const hostile_client& each) {
                return each.ended() || each.all_sent();
              }),
              crowd_limit);
    run_until(loop,
              watch([](const hostile_client& each) { return each.ended(); }),
              hold_time);
    check(most_descriptors);
    running.reset();
    check_served();
  }

  void check(std::size_t most_descriptors) {
    BOOST_REQUIRE(gateway->running());
    const long peak = memory_kb(gateway->pid(), "VmHWM:");
    BOOST_TEST_MESSAGE(fmt::format("peak {} MB, descriptors {}", peak >> 10U,
                                   most_descriptors));
    BOOST_TEST(peak > 0);
    BOOST_TEST(peak < max_peak_kb);
    BOOST_TEST(most_descriptors < max_descriptors);
  }

  void check_served() {
    BOOST_TEST(run_until(
        loop, [&] { return call(callers, request_to("/l/x")).status == 200; }));
  }

  // Makes a client declare the largest legal body but the last ten bytes.
  static client_input incomplete_body(const std::string& key) {
    client_input out{with_length(large_body_bytes, key)};
    out.bytes = large_body_bytes - 10;
    return out;
  }
  static client_input whole_body(const std::string& key) {
    client_input out{with_length(large_body_bytes, key)};
    out.bytes = large_body_bytes;
    return out;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(hostile_clients_suite, hostile_clients)

BOOST_AUTO_TEST_CASE(endless_trailers) {
  client_input input{post(chunked) + "1\r\nx\r\n0\r\n"};
  input.part = "X-Trailer: " + std::string(1000, 'x') + "\r\n";
  input.bytes = endless_bytes;
  play(endless_clients, input);
}

BOOST_AUTO_TEST_CASE(endless_chunk_extension) {
  client_input input{post(chunked) + "1;name="};
  input.bytes = endless_bytes;
  play(endless_clients, input);
}

BOOST_AUTO_TEST_CASE(one_byte_chunks_with_long_extensions) {
  client_input input{post(chunked)};
  input.part = "1;name=" + std::string(4000, 'x') + "\r\nx\r\n";
  input.bytes = endless_bytes;
  play(endless_clients, input);
}

BOOST_AUTO_TEST_CASE(head_without_end) {
  client_input input{"POST /l/x HTTP/1.1\r\n"};
  input.part = "X-Field: " + std::string(1000, 'x') + "\r\n";
  input.bytes = endless_bytes;
  play(endless_clients, input);
}

BOOST_AUTO_TEST_CASE(head_over_the_limit) {
  std::string head = post("");
  for (int i = 0; i < 2000; ++i) {
    head += fmt::format("X-{}: {}\r\n", i, i);
  }
  play(endless_clients, {head + "\r\n"});
}

BOOST_AUTO_TEST_CASE(endless_empty_lines) {
  client_input input{"\r\n"};
  input.part = "\r\n\r\n\r\n\r\n";
  input.bytes = endless_bytes / 100;
  play(endless_clients, input);
}

BOOST_AUTO_TEST_CASE(incomplete_bodies) {
  play(large_body_clients, incomplete_body("k1"));
}

BOOST_AUTO_TEST_CASE(incomplete_bodies_without_a_valid_key) {
  play(large_body_clients, incomplete_body("unknown"));
}

BOOST_AUTO_TEST_CASE(incomplete_chunked_bodies) {
  client_input input{post(chunked)};
  input.part = "4000\r\n" + std::string(16U << 10U, 'x') + "\r\n";
  input.bytes = input.part.size() * 240;
  play(large_body_clients, input);
}

BOOST_AUTO_TEST_CASE(whole_bodies) {
  play(large_body_clients, whole_body("k1"));
}

BOOST_AUTO_TEST_CASE(whole_bodies_without_a_valid_key) {
  play(large_body_clients, whole_body("unknown"));
}

BOOST_AUTO_TEST_CASE(bodies_sent_piece_by_piece) {
  client_input input = whole_body("k1");
  input.part = std::string(64U << 10U, 'x');
  input.pause = milliseconds(20);
  play(large_body_clients, input);
}

// The callers never read the response. They come one after the other, since
// the gateway receives only a few large responses at a time.
BOOST_AUTO_TEST_CASE(slow_readers_of_large_responses) {
  plain_server.answers = [](const http_request& /*request*/,
                            std::unique_ptr<http_exchange> exchange) {
    exchange->respond(reply(200, std::string(large_body_bytes, 'y'),
                            {{"Citronwharf-Server-Stamp", "s"}}));
  };
  client_input input{post("Content-Length: 0\r\n\r\n")};
  input.reads = false;
  input.stagger = milliseconds(50);
  play(large_answers, input);
  plain_server.answers = [](const http_request& /*request*/,
                            std::unique_ptr<http_exchange> exchange) {
    exchange->respond(reply(200, "done", {{"Citronwharf-Server-Stamp", "s"}}));
  };
}

// A service whose only server accepts connections and never reads.
BOOST_AUTO_TEST_CASE(large_bodies_to_a_server_that_does_not_read) {
  tcp::acceptor silent(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const json ordinary = instances;
  for (json& each : instances) {
    if (each["id"] == "s1") {
      each["addr"] =
          fmt::format("127.0.0.1:{}", silent.local_endpoint().port());
      each["id"] = "s2";
    }
  }
  wait_until_fleet_is_known();  // and the list has been read again
  auto running = std::make_unique<crowd>(loop, callers, large_body_clients,
                                         whole_body("k1"));
  const auto end = std::chrono::steady_clock::now() + hold_time;
  run_until(loop, [&] {
    return !gateway->running() || std::chrono::steady_clock::now() >= end;
  });
  check(open_descriptors(gateway->pid()));
  running.reset();
  instances = ordinary;
  check_served();
}

// Within the limits and in calm, a request is served: 16 KB of head, and a body
// of 4 MB that is sent slowly but steadily.
BOOST_AUTO_TEST_CASE(largest_request_within_the_limits_is_served) {
  http_request request = request_to("/l/x");
  const std::string name = "X-Field";
  request.headers.push_back({name, std::string(15U << 10U, 'x')});
  request.body = std::string(max_body_bytes, 'x');
  BOOST_TEST(call(callers, request).status == 200);
  BOOST_REQUIRE(!plain_server.seen.empty());
  BOOST_TEST((plain_server.seen.back().body == request.body));

  plain_server.seen.clear();
  client_input steady{post(chunked)};
  steady.part = "10000\r\n" + std::string(64U << 10U, 'x') + "\r\n";
  steady.pause = milliseconds(40);
  const std::size_t parts = max_body_bytes >> 16U;
  steady.bytes = steady.part.size() * parts;
  steady.last = "0\r\n\r\n";
  const crowd one(loop, callers, 1, steady);
  BOOST_TEST(run_until(loop, [&] { return !plain_server.seen.empty(); }));
  BOOST_TEST(!one.clients().front()->ended());
}

BOOST_AUTO_TEST_SUITE_END()
