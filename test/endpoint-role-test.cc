// The endpoint role between a recording entry and stand-in engines.
#include <boost/test/unit_test.hpp>

#include "endpoint_world.h"
#include "fake/tokens.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using citronwharf::fake::fake_answer;
using citronwharf::test::endpoint_world;
using citronwharf::test::quick_engine;

namespace {

bool is(failure_reason got, failure_reason wanted) {
  BOOST_TEST_CONTEXT("got " << nlohmann::json(got) << ", wanted "
                            << nlohmann::json(wanted)) {
    BOOST_TEST((got == wanted));
  }
  return got == wanted;
}

plain_request commit(const endpoint_world& world, std::uint64_t request) {
  return {world.entry->header(request),
          "POST",
          "/prices",
          {{"Content-Type", "application/json"}},
          R"({"commit_id":"c1"})"};
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_request_goes_through_prefill_transfer_and_decode) {
  endpoint_world world;
  BOOST_REQUIRE(world.start_request(1, "mackerel", 20));
  const attempt_key key = world.entry->key(1);
  BOOST_REQUIRE(world.until([&] { return world.end_of(key) != nullptr; }));
  is(world.end_of(key)->reason, failure_reason::none);
  BOOST_TEST(world.end_of(key)->total_tokens == 20);
  BOOST_TEST(world.entry->text[key] == fake_answer("mackerel", 20));
  BOOST_TEST(world.memory_is_free());
  BOOST_TEST(world.prefill_engine.wasted_tokens() == 0);
}

BOOST_AUTO_TEST_CASE(a_plain_call_goes_through) {
  endpoint_world world;
  world.entry->send("plain-1", commit(world, 1));
  BOOST_REQUIRE(world.until([&] { return !world.entry->called.empty(); }));
  is(world.entry->called.front().reason, failure_reason::none);
  BOOST_TEST(world.entry->called.front().status == 200);
  BOOST_TEST(world.service.executions("c1") == 1);
}

BOOST_AUTO_TEST_CASE(twenty_requests_get_their_own_answers) {
  endpoint_world world;
  for (std::uint64_t request = 1; request <= 20; ++request) {
    BOOST_REQUIRE(
        world.start_request(request, "prompt " + std::to_string(request), 30));
  }
  BOOST_REQUIRE(
      world.until([&] { return world.entry->finished.size() == 20; }));
  for (std::uint64_t request = 1; request <= 20; ++request) {
    const attempt_key key = world.entry->key(request);
    is(world.end_of(key)->reason, failure_reason::none);
    BOOST_TEST(world.entry->text[key] ==
               fake_answer("prompt " + std::to_string(request), 30));
  }
  BOOST_TEST(!world.entry->gap);
  BOOST_TEST(world.memory_is_free());
}

BOOST_AUTO_TEST_CASE(refusals_and_memory_are_counted) {
  endpoint_world world;
  work_header stale = world.entry->header(1);
  stale.endpoint_incarnation = 99;
  world.entry->send("decode-1", reserve_request{stale, 300, 20, 0});
  BOOST_REQUIRE(world.until([&] { return !world.entry->reserved.empty(); }));
  world.run_for(milliseconds(150));
  const std::string page = world.node("decode-1").metrics.page();
  for (const char* line :
       {"citronwharf_endpoint_refusals_total{reason=\"wrong_incarnation\"} 1",
        "citronwharf_endpoint_pieces_held 0",
        "citronwharf_endpoint_pieces_free 320",
        "citronwharf_endpoint_waiting 0"}) {
    BOOST_TEST(page.find(line) != std::string::npos, line);
  }
}
