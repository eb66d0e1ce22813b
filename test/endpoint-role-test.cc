// The endpoint role between a recording entry and fake engines.
#include <boost/test/unit_test.hpp>

#include "endpoint_fixture.h"
#include "fake/tokens.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using citronwharf::fake::fake_answer;
using citronwharf::test::endpoint_fixture;
using citronwharf::test::fast_engine_options;

namespace {

bool check_reason(failure_reason actual, failure_reason expected) {
  BOOST_TEST_CONTEXT("got " << nlohmann::json(actual) << ", wanted "
                            << nlohmann::json(expected)) {
    BOOST_TEST((actual == expected));
  }
  return actual == expected;
}

plain_request make_commit_request(const endpoint_fixture& fixture,
                                  std::uint64_t request) {
  return {fixture.entry->header(request),
          "POST",
          "/prices",
          {{"Content-Type", "application/json"}},
          R"({"commit_id":"c1"})"};
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_request_passes_through_prefill_transfer_and_decode) {
  endpoint_fixture fixture;
  BOOST_REQUIRE(fixture.start_request(1, "mackerel", 20));
  const attempt_key key = fixture.entry->key(1);
  BOOST_REQUIRE(fixture.run_loop_until(
      [&] { return fixture.find_decode_finished(key) != nullptr; }));
  check_reason(fixture.find_decode_finished(key)->reason, failure_reason::none);
  BOOST_TEST(fixture.find_decode_finished(key)->total_tokens == 20);
  BOOST_TEST(fixture.entry->texts[key] == fake_answer("mackerel", 20));
  BOOST_TEST(fixture.memory_is_free());
  BOOST_TEST(fixture.prefill_engine.wasted_tokens() == 0);
}

BOOST_AUTO_TEST_CASE(a_plain_call_reaches_the_service) {
  endpoint_fixture fixture;
  fixture.entry->send("plain-1", make_commit_request(fixture, 1));
  BOOST_REQUIRE(fixture.run_loop_until(
      [&] { return !fixture.entry->plain_replies.empty(); }));
  check_reason(fixture.entry->plain_replies.front().reason,
               failure_reason::none);
  BOOST_TEST(fixture.entry->plain_replies.front().status == 200);
  BOOST_TEST(fixture.service.executions("c1") == 1);
}

BOOST_AUTO_TEST_CASE(twenty_requests_each_get_their_own_answer) {
  endpoint_fixture fixture;
  for (std::uint64_t request = 1; request <= 20; ++request) {
    BOOST_REQUIRE(fixture.start_request(
        request, "prompt " + std::to_string(request), 30));
  }
  BOOST_REQUIRE(fixture.run_loop_until(
      [&] { return fixture.entry->finished_messages.size() == 20; }));
  for (std::uint64_t request = 1; request <= 20; ++request) {
    const attempt_key key = fixture.entry->key(request);
    check_reason(fixture.find_decode_finished(key)->reason,
                 failure_reason::none);
    BOOST_TEST(fixture.entry->texts[key] ==
               fake_answer("prompt " + std::to_string(request), 30));
  }
  BOOST_TEST(!fixture.entry->saw_offset_gap);
  BOOST_TEST(fixture.memory_is_free());
}

BOOST_AUTO_TEST_CASE(refusals_and_memory_are_counted) {
  endpoint_fixture fixture;
  work_header stale = fixture.entry->header(1);
  stale.endpoint_incarnation = 99;
  fixture.entry->send("decode-1", reserve_request{stale, 300, 20, 0});
  BOOST_REQUIRE(fixture.run_loop_until(
      [&] { return !fixture.entry->reserve_replies.empty(); }));
  fixture.run_for(milliseconds(150));
  const std::string page = fixture.node("decode-1").metrics.page();
  for (const char* line :
       {"citronwharf_endpoint_refusals_total{reason=\"wrong_incarnation\"} 1",
        "citronwharf_endpoint_pieces_held 0",
        "citronwharf_endpoint_pieces_free 320",
        "citronwharf_endpoint_waiting 0"}) {
    BOOST_TEST(page.find(line) != std::string::npos, line);
  }
}
