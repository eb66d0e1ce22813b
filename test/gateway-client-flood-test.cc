// An ordinary request beside a crowd that sends a few bytes at a time, where
// each client that is refused comes again at once. The limits are lowered.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "gateway_fixture.h"
#include "hostile_clients.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t max_body_bytes = 100000;
constexpr std::size_t budget_bytes = 4U << 20U;
constexpr std::size_t crowd_size = 180;
constexpr std::size_t body_bytes = 30000;
constexpr std::chrono::seconds play_time(3);

struct small_budget : gateway_fixture {
  small_budget()
      : gateway_fixture(60000, 300,
                        {{"max_body_bytes", max_body_bytes},
                         {"max_buffered_bytes", budget_bytes}}) {
    BOOST_REQUIRE_EQUAL(publish(1).status, 200);
    wait_until_ready();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(ordinary_request_is_answered_beside_a_flood,
                        small_budget) {
  client_input input{
      "POST /l/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n"
      "Content-Length: 30000\r\n\r\n"};
  input.part = "x";
  input.bytes = body_bytes;
  input.pause = milliseconds(100);
  crowd running(loop, callers, crowd_size, input);
  const auto end = std::chrono::steady_clock::now() + play_time;
  run_until(loop, [&] {
    running.replace_ended();
    return std::chrono::steady_clock::now() >= end;
  });
  BOOST_REQUIRE(gateway->running());
  BOOST_TEST(call(callers, request_to("/l/x")).status == 200);
}
