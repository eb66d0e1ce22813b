// Rules of the endpoint process: whom it serves, what it refuses, what it
// holds for whom, and how it leaves.
#include <boost/test/unit_test.hpp>
#include <fstream>

#include "endpoint_fixture.h"
#include "fake/tokens.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using citronwharf::fake::fake_answer;
using citronwharf::test::endpoint_fixture;
using citronwharf::test::quick_engine;

namespace {

constexpr std::int32_t all_tokens = 320 * 256;

std::string name(failure_reason reason) {
  return nlohmann::json(reason).get<std::string>();
}

fake::engine_options slow_decode() {
  fake::engine_options options = quick_engine();
  options.token_interval = milliseconds(20);
  return options;
}

// Sends one request of each kind under the header and returns the reasons of
// their refusals, all of which must say "not run".
std::vector<std::string> refusals(endpoint_fixture& fixture,
                                  const work_header& header) {
  fixture.entry->send("decode-1", reserve_request{header, 300, 20, 0});
  fixture.entry->send(
      "decode-1", decode_request{header, "model", "x", "y", 1000, 300, 20, 0});
  fixture.entry->send("prefill-1", prefill_request{header, "model", "p", 300});
  fixture.entry->send("plain-1", plain_request{header, "GET", "/", {}, ""});
  fixture.until([&] {
    return !fixture.entry->reserved.empty() &&
           !fixture.entry->finished.empty() &&
           !fixture.entry->prefilled.empty() && !fixture.entry->called.empty();
  });
  BOOST_TEST(!fixture.entry->finished.front().ran);
  BOOST_TEST(!fixture.entry->prefilled.front().ran);
  BOOST_TEST(!fixture.entry->called.front().ran);
  return {name(fixture.entry->reserved.front().reason),
          name(fixture.entry->finished.front().reason),
          name(fixture.entry->prefilled.front().reason),
          name(fixture.entry->called.front().reason)};
}

const std::vector<std::string> four(const std::string& reason) {
  return {reason, reason, reason, reason};
}

void forget_replies(endpoint_fixture& fixture) {
  fixture.entry->reserved.clear();
  fixture.entry->finished.clear();
  fixture.entry->prefilled.clear();
  fixture.entry->called.clear();
}

reserve_reply reserve(endpoint_fixture& fixture, std::uint64_t request,
                      std::int32_t tokens, std::int64_t deadline_us) {
  work_header header = fixture.entry->header(request);
  header.deadline_us = deadline_us;
  const std::size_t before = fixture.entry->reserved.size();
  fixture.entry->send("decode-1", reserve_request{header, tokens, 0, 0});
  fixture.until([&] { return fixture.entry->reserved.size() > before; });
  return fixture.entry->reserved.back();
}

}  // namespace

BOOST_AUTO_TEST_CASE(work_for_an_earlier_incarnation_is_not_run) {
  endpoint_fixture fixture;
  work_header header = fixture.entry->header(1);
  header.endpoint_incarnation = 99;
  BOOST_TEST(refusals(fixture, header) == four("wrong_incarnation"),
             boost::test_tools::per_element());
  BOOST_TEST(fixture.prefill_engine.prefilled_tokens() == 0);
  BOOST_TEST(fixture.service.calls() == 0);
  forget_replies(fixture);
  fixture.entry->send("decode-1", resume_request{header.key, 99, 0});
  fixture.until([&] { return !fixture.entry->finished.empty(); });
  BOOST_TEST(name(fixture.entry->finished.front().reason) ==
             "wrong_incarnation");
}

BOOST_AUTO_TEST_CASE(an_entry_acts_on_its_own_attempts_only) {
  endpoint_fixture fixture;
  BOOST_REQUIRE(fixture.start_request(1, "p", 200));
  const attempt_key key = fixture.entry->key(1);
  work_header foreign = fixture.entry->header(2);
  foreign.key.entry = "entry-2";
  fixture.entry->send("plain-1", plain_request{foreign, "GET", "/", {}, ""});
  BOOST_REQUIRE(fixture.until([&] { return fixture.end_of(key) != nullptr; }));
  BOOST_TEST(fixture.service.calls() == 0);
}

BOOST_AUTO_TEST_CASE(an_attempt_is_prefilled_once) {
  endpoint_fixture fixture;
  const prefill_request twice{fixture.entry->header(1), "model", "p", 300};
  fixture.entry->send("prefill-1", twice);
  fixture.entry->send("prefill-1", twice);
  fixture.until([&] { return fixture.entry->prefilled.size() == 1; });
  fixture.entry->send("prefill-1", twice);
  fixture.until([&] { return fixture.entry->prefilled.size() == 2; });
  BOOST_TEST(name(fixture.entry->prefilled.front().reason) == "none");
  BOOST_TEST(name(fixture.entry->prefilled.back().reason) == "duplicate");
  BOOST_TEST(fixture.prefill_engine.prefilled_tokens() == 300);
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_refuses_new_work_and_ends_the_old) {
  endpoint_fixture fixture(slow_decode());
  BOOST_REQUIRE(fixture.start_request(1, "p", 30));
  const attempt_key key = fixture.entry->key(1);
  fixture.until([&] { return fixture.entry->offset[key] > 0; });
  fixture.configure({"prefill-1", "decode-1", "plain-1"});
  fixture.until([&] {
    return std::count_if(fixture.entry->hellos.begin(),
                         fixture.entry->hellos.end(),
                         [](const auto& one) { return one.load.leaving; }) >= 3;
  });
  forget_replies(fixture);
  BOOST_TEST(refusals(fixture, fixture.entry->header(2)) == four("leaving"),
             boost::test_tools::per_element());
  BOOST_REQUIRE(fixture.until([&] { return fixture.end_of(key) != nullptr; }));
  BOOST_TEST(fixture.entry->text[key] == fake_answer("p", 30));
  fixture.configure({});
  forget_replies(fixture);
  BOOST_TEST(name(reserve(fixture, 3, 300, 1'000'000).reason) == "none");
}

BOOST_AUTO_TEST_CASE(a_drain_by_signal_waits_for_what_runs) {
  endpoint_fixture fixture(slow_decode());
  BOOST_REQUIRE(fixture.start_request(1, "p", 30));
  const attempt_key key = fixture.entry->key(1);
  bool drained = false;
  fixture.node("decode-1").role->drain([&] {
    drained = true;
    BOOST_TEST(fixture.decode_engine.held() == 0U);
  });
  BOOST_TEST(!fixture.node("decode-1").role->ready());
  BOOST_REQUIRE(fixture.until([&] { return drained; }));
  BOOST_REQUIRE(fixture.until([&] { return fixture.end_of(key) != nullptr; }));
  BOOST_TEST(fixture.entry->text[key] == fake_answer("p", 30));
  BOOST_TEST(name(reserve(fixture, 2, 300, 1'000'000).reason) == "leaving");
}

BOOST_AUTO_TEST_CASE(the_platforms_list_makes_an_endpoint_leave) {
  settings base;
  base.engine.platform_list = "endpoint-rules-test-platform.json";
  std::ofstream(base.engine.platform_list) << R"([])";
  endpoint_fixture fixture(quick_engine(), base);
  BOOST_TEST(fixture.node("decode-1").role->ready());
  std::ofstream(base.engine.platform_list)
      << R"([{"name": "decode-1", "leaving": true}])";
  BOOST_TEST(
      fixture.until([&] { return !fixture.node("decode-1").role->ready(); }));
  BOOST_TEST(fixture.node("prefill-1").role->ready());
  std::ofstream(base.engine.platform_list) << "half a li";
  fixture.run_for(milliseconds(700));
  BOOST_TEST(!fixture.node("decode-1").role->ready());
  std::remove(base.engine.platform_list.c_str());
}

BOOST_AUTO_TEST_CASE(hopeless_work_is_refused_at_once_with_a_time) {
  endpoint_fixture fixture;
  BOOST_TEST(name(reserve(fixture, 1, all_tokens + 1, 20'000'000).reason) ==
             "too_large");
  BOOST_REQUIRE(fixture.start_request(2, "p", all_tokens - 300));
  fixture.until([&] { return fixture.decode_engine.pieces_free() == 0; });
  const time_point asked = runtime_clock::now();
  const reserve_reply refused = reserve(fixture, 3, 300, 100'000);
  BOOST_TEST(name(refused.reason) == "no_memory");
  BOOST_TEST(refused.retry_after_us > 100'000);
  BOOST_TEST((runtime_clock::now() - asked < milliseconds(90)));
}

BOOST_AUTO_TEST_CASE(a_promise_waits_for_memory_and_no_longer) {
  endpoint_fixture fixture;
  BOOST_REQUIRE(fixture.start_request(1, "p", all_tokens - 300));
  fixture.until([&] { return fixture.decode_engine.pieces_free() == 0; });
  const std::size_t before = fixture.entry->reserved.size();
  work_header header = fixture.entry->header(2);
  header.deadline_us = 3'600'000'000;
  fixture.entry->send("decode-1", reserve_request{header, 300, 20, 0});
  fixture.run_for(milliseconds(100));
  BOOST_TEST(fixture.entry->reserved.size() == before);
  fixture.entry->send("decode-1", cancel_request{fixture.entry->key(1)});
  BOOST_REQUIRE(
      fixture.until([&] { return fixture.entry->reserved.size() > before; }));
  BOOST_TEST(name(fixture.entry->reserved.back().reason) == "none");
}

BOOST_AUTO_TEST_CASE(work_that_waits_past_its_deadline_ends_at_once) {
  fake::engine_options slow = quick_engine();
  slow.prefill_base = milliseconds(500);
  endpoint_fixture fixture(slow);
  for (std::uint64_t request = 1; request <= 2; ++request) {
    work_header header = fixture.entry->header(request);
    header.deadline_us = request == 1 ? 20'000'000 : 100'000;
    fixture.entry->send("prefill-1",
                        prefill_request{header, "model", "p", 300});
  }
  fixture.until([&] { return !fixture.entry->prefilled.empty(); });
  BOOST_TEST(fixture.entry->prefilled.front().key.request == 2U);
  BOOST_TEST(name(fixture.entry->prefilled.front().reason) == "deadline");
  BOOST_TEST(!fixture.entry->prefilled.front().ran);
}

BOOST_AUTO_TEST_CASE(an_organisation_fills_its_own_bound_only) {
  settings base;
  base.limits.max_waiting_per_organisation = 2;
  fake::engine_options slow = quick_engine();
  slow.prefill_base = milliseconds(200);
  endpoint_fixture fixture(slow, base);
  for (std::uint64_t request = 1; request <= 5; ++request) {
    work_header header = fixture.entry->header(request);
    header.organisation = request == 5 ? "brokers" : "importers";
    fixture.entry->send("prefill-1",
                        prefill_request{header, "model", "p", 300});
  }
  fixture.until([&] { return fixture.entry->prefilled.size() == 5; });
  for (const prefill_reply& got : fixture.entry->prefilled) {
    const bool refused = got.key.request == 4;
    BOOST_TEST(name(got.reason) == (refused ? "queue_full" : "none"));
    BOOST_TEST((got.retry_after_us > 0) == refused);
  }
}

BOOST_AUTO_TEST_CASE(a_stream_resumes_after_a_lost_session) {
  endpoint_fixture fixture(slow_decode());
  BOOST_REQUIRE(fixture.start_request(1, "p", 60));
  const attempt_key key = fixture.entry->key(1);
  fixture.until([&] { return fixture.entry->offset[key] >= 5; });
  const std::string address = fixture.node("decode-1").address();
  fixture.entry->hub->forget("decode-1");
  fixture.run_for(milliseconds(100));
  fixture.entry->hub->connect("decode-1", address);
  fixture.until(
      [&] { return fixture.entry->hub->session_incarnation("decode-1") != 0; });
  fixture.run_for(milliseconds(100));
  const std::int32_t have = fixture.entry->offset[key];
  fixture.entry->send("decode-1", resume_request{key, 1, have});
  BOOST_REQUIRE(fixture.until([&] { return fixture.end_of(key) != nullptr; }));
  BOOST_TEST(!fixture.entry->gap);
  BOOST_TEST(fixture.entry->text[key] == fake_answer("p", 60));
}

BOOST_AUTO_TEST_CASE(an_entry_that_restarts_frees_its_old_work_at_once) {
  endpoint_fixture fixture(slow_decode());
  BOOST_REQUIRE(fixture.start_request(1, "p", 5000));
  fixture.until([&] { return fixture.decode_engine.held() == 1; });
  const time_point restarted = runtime_clock::now();
  fixture.start_entry(2);
  BOOST_TEST(fixture.until([&] { return fixture.memory_is_free(); }));
  BOOST_TEST((runtime_clock::now() - restarted < seconds(4)));
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_gone_loses_its_work_with_the_lease) {
  endpoint_fixture fixture(slow_decode());
  BOOST_REQUIRE(fixture.start_request(1, "p", 5000));
  fixture.until([&] { return fixture.decode_engine.held() == 1; });
  const time_point gone = runtime_clock::now();
  fixture.entry->hub.reset();
  fixture.run_for(seconds(3));
  BOOST_TEST(fixture.decode_engine.held() == 1U);
  BOOST_TEST(fixture.until([&] { return fixture.memory_is_free(); }));
  BOOST_TEST((runtime_clock::now() - gone < seconds(7)));
}

BOOST_AUTO_TEST_CASE(work_that_its_holder_no_longer_claims_ends) {
  endpoint_fixture fixture(slow_decode());
  BOOST_REQUIRE(fixture.start_request(1, "p", 5000));
  BOOST_REQUIRE(fixture.start_request(2, "p", 5000));
  fixture.until([&] { return fixture.decode_engine.held() == 2; });
  const wanted_attempts claims{"entry-1", 1, {fixture.entry->key(2)}};
  BOOST_TEST(fixture.until([&] {
    fixture.entry->send("decode-1", claims);
    fixture.run_for(milliseconds(50));
    return fixture.decode_engine.held() == 1;
  }));
  BOOST_TEST(fixture.end_of(fixture.entry->key(2)) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_restarted_endpoint_sweeps_what_nobody_claims) {
  endpoint_fixture fixture(slow_decode());
  BOOST_REQUIRE(fixture.start_request(1, "p", 5000));
  BOOST_REQUIRE(fixture.start_request(2, "q", 300));
  const attempt_key kept = fixture.entry->key(2);
  fixture.until([&] { return fixture.entry->offset[kept] >= 5; });
  fixture.restart("decode-1", 2);
  const std::int32_t have = fixture.entry->offset[kept];
  fixture.entry->send("decode-1", resume_request{kept, 2, have});
  const wanted_attempts claims{"entry-1", 1, {kept}};
  BOOST_TEST(fixture.until([&] {
    fixture.entry->send("decode-1", claims);
    fixture.run_for(milliseconds(50));
    return fixture.decode_engine.held() <= 1;
  }));
  BOOST_REQUIRE(fixture.until([&] {
    fixture.entry->send("decode-1", claims);
    fixture.run_for(milliseconds(50));
    return fixture.end_of(kept) != nullptr;
  }));
  BOOST_TEST(name(fixture.end_of(kept)->reason) == "none");
  BOOST_TEST(!fixture.entry->gap);
  BOOST_TEST(fixture.entry->text[kept] == fake_answer("q", 300));
  BOOST_TEST(fixture.until([&] { return fixture.memory_is_free(); }));
}
