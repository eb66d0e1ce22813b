// What clients outside the limits make a gateway keep is counted, whatever
// their number and whatever they send: resident memory grows by no more than
// the budget and a fixed amount. The limits are lowered, so that small crowds
// exceed them. Checks neither times nor shares of requests served.
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "hostile_clients.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t max_body_bytes = 100000;
constexpr std::size_t budget_bytes = 4U << 20U;
constexpr std::size_t max_connections = 300;
// Beside the budget: one body in transit, the allocator's free lists, and code
// and tables that are used for the first time.
constexpr long fixed_kb = 8L << 10U;
// Besides connections of callers: idle descriptors, calls to servers.
constexpr std::size_t max_descriptors = 2 * max_connections + 60;
constexpr std::size_t crowd_size = 60;
// How long a crowd is observed; a client that was refused comes again.
constexpr std::chrono::seconds play_time(5);

std::string post(const std::string& more) {
  return "POST /l/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n"
         "Citronwharf-Deadline-Ms: 2000\r\n" +
         more;
}

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t size) {
  return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

// By default nearly the maximum size of a head.
std::string many_fields(std::size_t bytes = 15000) {
  std::string out;
  for (int i = 0; out.size() < bytes; ++i) {
    out += fmt::format("{:x}:\r\n", i);
  }
  return out;
}

// Lowers the limit on descriptors for the processes that are started next.
struct few_descriptors {
  few_descriptors() {
    BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &usual) == 0);
    rlimit low = usual;
    low.rlim_cur = descriptors;
    BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &low) == 0);
  }
  ~few_descriptors() { restore(); }
  few_descriptors(const few_descriptors&) = delete;
  few_descriptors& operator=(const few_descriptors&) = delete;

  void restore() const { BOOST_TEST(::setrlimit(RLIMIT_NOFILE, &usual) == 0); }

  static constexpr rlim_t descriptors = 200;
  rlimit usual{};
};

struct small_limits : gateway_fixture {
  small_limits()
      : gateway_fixture(60000, 300,
                        {{"max_body_bytes", max_body_bytes},
                         {"max_buffered_bytes", budget_bytes},
                         {"max_connections", max_connections}}) {
    BOOST_REQUIRE_EQUAL(publish(1).status, 200);
    wait_until_ready();
    check_served();
    idle_kb = memory_kb(gateway->pid(), "VmRSS:");
  }

  // Runs the loop and `each_turn` while the gateway runs.
  void watch(std::chrono::seconds span,
             const std::function<void()>& each_turn = {}) {
    const auto end = std::chrono::steady_clock::now() + span;
    run_until(loop, [&] {
      most_descriptors =
          std::max(most_descriptors, open_descriptors(gateway->pid()));
      if (each_turn) {
        each_turn();
      }
      return !gateway->running() || std::chrono::steady_clock::now() >= end;
    });
  }

  // Lets a new client come for each one that has ended.
  void watch(crowd& running, std::chrono::seconds span = play_time) {
    watch(span, [&] { running.replace_ended(); });
  }

  void check() {
    BOOST_REQUIRE(gateway->running());
    const long grown = memory_kb(gateway->pid(), "VmHWM:") - idle_kb;
    BOOST_TEST_MESSAGE(
        fmt::format("{} KB before, {} KB more at the peak, {} "
                    "descriptors",
                    idle_kb, grown, most_descriptors));
    const long budget_kb = static_cast<long>(budget_bytes >> 10U);
    BOOST_TEST(grown <= budget_kb + fixed_kb);
    BOOST_TEST(most_descriptors <= max_descriptors);
  }

  void check_served() {
    BOOST_TEST(run_until(
        loop, [&] { return call(callers, request_to("/l/x")).status == 200; }));
  }

  void play(const client_input& input, std::size_t count = crowd_size) {
    auto running = std::make_unique<crowd>(loop, callers, count, input);
    watch(*running);
    check();
    running.reset();
    check_served();
  }

  // Sends a body in chunks of this size, without its end.
  static client_input open_body(std::size_t chunk_bytes) {
    client_input out{post(chunked)};
    out.part = chunk(chunk_bytes);
    out.bytes = (max_body_bytes - 10) / chunk_bytes * out.part.size();
    return out;
  }

  long idle_kb = 0;
  std::size_t most_descriptors = 0;
};

struct small_descriptor_limit : few_descriptors, small_limits {
  small_descriptor_limit() { restore(); }
};

// The plain service never answers.
struct silent_service : small_limits {
  silent_service() {
    plain_server.answers = [this](const http_request& /*request*/,
                                  std::unique_ptr<http_exchange> exchange) {
      silent.push_back(std::move(exchange));
    };
  }
  void play_silent(const client_input& input, std::size_t count) {
    auto running = std::make_unique<crowd>(loop, callers, count, input);
    watch(*running);
    check();
    running.reset();
    silent.clear();
    plain_server.answers = [](const http_request& /*request*/,
                              std::unique_ptr<http_exchange> exchange) {
      exchange->respond(
          reply(200, "done", {{"Citronwharf-Server-Stamp", "s"}}));
    };
    check_served();
  }

  std::vector<std::unique_ptr<http_exchange>> silent;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(open_bodies_in_large_chunks, small_limits) {
  play(open_body(16U << 10U), 3 * crowd_size);
}

BOOST_FIXTURE_TEST_CASE(open_bodies_in_small_chunks, small_limits) {
  play(open_body(700), 3 * crowd_size);
}

BOOST_FIXTURE_TEST_CASE(open_bodies_in_chunks_of_one_byte, small_limits) {
  client_input input = open_body(1);
  std::string part;
  for (int i = 0; i < 1000; ++i) {
    part += input.part;
  }
  input.part = part;
  play(input, 3 * crowd_size);
}

BOOST_FIXTURE_TEST_CASE(bodies_far_over_the_limit, small_limits) {
  client_input announced{post("Content-Length: 1000000000000\r\n\r\n")};
  announced.bytes = 10 * max_body_bytes;
  play(announced);
  client_input one_chunk{post(chunked) + "7fffffff\r\n"};
  one_chunk.bytes = 10 * max_body_bytes;
  play(one_chunk);
  client_input chunks = open_body(16U << 10U);
  chunks.bytes *= 10;
  play(chunks);
}

BOOST_FIXTURE_TEST_CASE(open_bodies_at_other_ports, small_limits) {
  client_input input{"POST /-/Config.Put HTTP/1.1\r\nHost: a\r\n" + chunked};
  input.part = chunk(16U << 10U);
  input.bytes = 60 * input.part.size();
  for (const std::string& port : {readiness, operators}) {
    auto running = std::make_unique<crowd>(loop, port, crowd_size, input);
    watch(*running);
    check();
    running.reset();
    wait_until_ready();
    BOOST_TEST(run_until(loop, [&] { return publish(2).status == 200; }));
  }
  check_served();
}

BOOST_FIXTURE_TEST_CASE(heads_without_end, small_limits) {
  play({post("X-Field: " + std::string(15000, 'x'))}, 4 * crowd_size);
}

BOOST_FIXTURE_TEST_CASE(many_fields_before_an_open_body, small_limits) {
  play({post(many_fields() + chunked)}, 4 * crowd_size);
}

BOOST_FIXTURE_TEST_CASE(many_trailers, small_limits) {
  play({post(chunked) + "0\r\n" + many_fields()}, 4 * crowd_size);
}

BOOST_FIXTURE_TEST_CASE(idle_connections_after_large_heads, small_limits) {
  const std::string padding = "X-Field: " + std::string(15000, 'x') + "\r\n";
  play({post(padding + "Content-Length: 0\r\n\r\n")}, max_connections);
}

BOOST_FIXTURE_TEST_CASE(idle_connections_after_chunked_bodies, small_limits) {
  play({post(chunked) + chunk(10000) + "0\r\n\r\n"}, max_connections);
}

// The crowd goes on while the ordinary request comes.
BOOST_FIXTURE_TEST_CASE(bodies_of_a_few_bytes_at_a_time, small_limits) {
  for (const std::size_t part : {1, 600}) {
    client_input input{post("Content-Length: 30000\r\n\r\n")};
    input.part = std::string(part, 'x');
    input.bytes = 30000;
    input.pause = milliseconds(100);
    const crowd running(loop, callers, 3 * crowd_size, input);
    watch(std::chrono::seconds(2));
    check();
    BOOST_TEST(call(callers, request_to("/l/x")).status == 200);
  }
  check_served();
}

BOOST_FIXTURE_TEST_CASE(pipelined_requests_without_reading, small_limits) {
  client_input input;
  for (int i = 0; i < 100; ++i) {
    input.first += post("Content-Length: 0\r\n\r\n");
  }
  input.reads = false;
  play(input, 2 * crowd_size);
}

// Only idle connections are open when the ordinary request comes.
BOOST_FIXTURE_TEST_CASE(connections_without_a_byte, small_limits) {
  crowd running(loop, callers, max_connections, {});
  watch(running);
  check();
  check_served();
}

BOOST_FIXTURE_TEST_CASE(connections_without_a_byte_use_up_descriptors,
                        small_descriptor_limit) {
  crowd running(loop, callers, max_connections, {});
  watch(running);
  check();
  BOOST_TEST(most_descriptors < descriptors);
  check_served();
}

BOOST_FIXTURE_TEST_CASE(more_connections_than_allowed, small_limits) {
  play({}, max_connections + 100);
}

BOOST_FIXTURE_TEST_CASE(small_requests_at_a_silent_service, silent_service) {
  play_silent({post("Content-Length: 0\r\n\r\n")}, max_connections);
}

BOOST_FIXTURE_TEST_CASE(many_fields_at_a_silent_service, silent_service) {
  play_silent({post(many_fields() + "Content-Length: 0\r\n\r\n")},
              max_connections);
}

// What one kind of input leaves behind must not add to what the next one takes.
BOOST_FIXTURE_TEST_CASE(one_kind_after_the_other, silent_service) {
  const std::string padding = "X-Field: " + std::string(15000, 'x') + "\r\n";
  const std::string no_body = "Content-Length: 0\r\n\r\n";
  const std::vector<client_input> kinds{
      {post(padding + no_body)},
      {post("Content-Length: 50000\r\n\r\n") + std::string(50000, 'x')},
      open_body(700),
      {post(many_fields() + chunked)},
      {post(padding)},
      {post("Content-Length: 60000\r\n\r\n") + std::string(59000, 'x')},
      open_body(16U << 10U),
      {post(many_fields() + no_body)},
  };
  for (const client_input& each : kinds) {
    crowd running(loop, callers, 2 * crowd_size, each);
    watch(running, std::chrono::seconds(2));
    // Half of the connections end while the next ones come.
    silent.resize(silent.size() / 2);
  }
  check();
  silent.clear();
}

BOOST_FIXTURE_TEST_CASE(bodies_at_a_silent_service, silent_service) {
  play_silent({post(fmt::format("Content-Length: {}\r\n\r\n", max_body_bytes)) +
               std::string(max_body_bytes, 'x')},
              max_connections);
}

// Within the limits and in calm, a request is served that takes much memory.
BOOST_FIXTURE_TEST_CASE(large_request_is_served, small_limits) {
  // The head that is sent has a space behind each name.
  client_input steady{post(many_fields(8000) + chunked)};
  steady.part = chunk(700);
  steady.bytes = (max_body_bytes - 700) / 700 * steady.part.size();
  steady.last = "0\r\n\r\n";
  plain_server.seen.clear();
  const crowd one(loop, callers, 1, steady);
  BOOST_TEST(run_until(loop, [&] { return !plain_server.seen.empty(); }));
}
