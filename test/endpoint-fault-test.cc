// Faults of engines and services, each with its honest outcome and with all
// memory free at the end.
#include <boost/test/unit_test.hpp>

#include "endpoint_fixture.h"
#include "fake/tokens.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using citronwharf::fake::fake_answer;
using citronwharf::test::endpoint_fixture;
using citronwharf::test::quick_engine;

namespace {

constexpr std::int32_t tokens = 20;

std::string name(failure_reason reason) {
  return nlohmann::json(reason).get<std::string>();
}

bool begins(const std::string& whole, const std::string& head) {
  return whole.compare(0, head.size(), head) == 0;
}

struct prefill_row {
  const char* at;
  const char* kind;
  failure_reason reason;
  bool ran;
};

const std::vector<prefill_row> prefill_rows{
    {"prefill", "refuse", failure_reason::engine_refused, false},
    {"prefill", "cut", failure_reason::engine_lost, true},
    {"prefill", "die", failure_reason::engine_lost, true},
    {"prefill", "hang", failure_reason::engine_lost, true},
    {"prefill_answer", "cross", failure_reason::engine_lost, true}};

struct decode_row {
  const char* engine;
  const char* at;
  const char* kind;
  std::int32_t count;
  std::int32_t after;
  failure_reason reason;
  bool ran;
};

const std::vector<decode_row> decode_rows{
    {"prefill", "transfer", "refuse", 2, 0, failure_reason::none, true},
    {"prefill", "transfer", "cut", 2, 0, failure_reason::none, true},
    {"prefill", "transfer", "hang", -1, 0, failure_reason::transfer_failed,
     false},
    {"prefill", "transfer", "die", 1, 0, failure_reason::transfer_failed,
     false},
    {"prefill", "export", "expire", 1, 0, failure_reason::export_expired,
     false},
    {"decode", "import", "refuse", 2, 0, failure_reason::none, true},
    {"decode", "import", "cut", 2, 0, failure_reason::none, true},
    {"decode", "import", "hang", -1, 0, failure_reason::transfer_failed, false},
    {"decode", "import", "die", 1, 0, failure_reason::transfer_failed, false},
    {"decode", "decode", "refuse", 2, 0, failure_reason::none, true},
    {"decode", "decode", "cut", 2, 5, failure_reason::none, true},
    {"decode", "decode", "hang", 1, 5, failure_reason::none, true},
    {"decode", "decode", "cross", 1, 5, failure_reason::none, true},
    {"decode", "decode", "cut", -1, 0, failure_reason::engine_lost, true},
    {"decode", "decode", "die", 1, 5, failure_reason::engine_lost, true},
    {"decode", "decode", "die", 1, tokens, failure_reason::none, true}};

struct plain_row {
  const char* kind;
  std::int64_t deadline_us;
  failure_reason reason;
  bool ran;
  std::int32_t executions;
};

const std::vector<plain_row> plain_rows{
    {"refuse", 5'000'000, failure_reason::none, true, 0},
    {"cut", 5'000'000, failure_reason::engine_lost, true, 1},
    {"hang", 300'000, failure_reason::engine_lost, true, 1},
    {"slow", 5'000'000, failure_reason::none, true, 1}};

}  // namespace

BOOST_AUTO_TEST_CASE(faults_in_prefill) {
  for (const prefill_row& row : prefill_rows) {
    BOOST_TEST_CONTEXT(row.at << ' ' << row.kind) {
      endpoint_fixture fixture;
      fixture.prefill_engine.add_fault({row.at, row.kind, 1, 0, 0});
      BOOST_TEST(!fixture.start_request(1, "p", tokens));
      BOOST_REQUIRE(fixture.entry->prefilled.size() == 1U);
      const prefill_reply& got = fixture.entry->prefilled.front();
      BOOST_TEST(name(got.reason) == name(row.reason));
      BOOST_TEST(got.ran == row.ran);
      fixture.entry->send("decode-1", cancel_request{fixture.entry->key(1)});
      BOOST_TEST(fixture.until([&] { return fixture.memory_is_free(); }));
    }
  }
}

BOOST_AUTO_TEST_CASE(faults_in_transfer_and_decode) {
  for (const decode_row& row : decode_rows) {
    BOOST_TEST_CONTEXT(row.at << ' ' << row.kind << ' ' << row.after) {
      endpoint_fixture fixture;
      const bool at_prefill = std::string(row.engine) == "prefill";
      (at_prefill ? fixture.prefill_engine : fixture.decode_engine)
          .add_fault({row.at, row.kind, row.count, row.after, 0});
      BOOST_REQUIRE(fixture.start_request(1, "p", tokens));
      const attempt_key key = fixture.entry->key(1);
      BOOST_REQUIRE(
          fixture.until([&] { return fixture.end_of(key) != nullptr; }));
      BOOST_TEST(name(fixture.end_of(key)->reason) == name(row.reason));
      BOOST_TEST(fixture.end_of(key)->ran == row.ran);
      BOOST_TEST(fixture.entry->finished.size() == 1U);
      BOOST_TEST(!fixture.entry->gap);
      const std::string& text = fixture.entry->text[key];
      if (row.reason == failure_reason::none) {
        BOOST_TEST(text == fake_answer("p", tokens));
      } else {
        BOOST_TEST(begins(fake_answer("p", tokens), text));
      }
      BOOST_TEST(fixture.until([&] { return fixture.memory_is_free(); }));
    }
  }
}

BOOST_AUTO_TEST_CASE(faults_in_plain_calls) {
  for (const plain_row& row : plain_rows) {
    BOOST_TEST_CONTEXT(row.kind) {
      endpoint_fixture fixture;
      fixture.service.add_fault({row.kind, 1, 50'000});
      work_header header = fixture.entry->header(1);
      header.deadline_us = row.deadline_us;
      const plain_request call{
          header, "POST", "/prices", {}, R"({"commit_id":"c1"})"};
      fixture.entry->send("plain-1", call);
      fixture.entry->send("plain-1", call);  // a frame that came twice
      BOOST_REQUIRE(
          fixture.until([&] { return !fixture.entry->called.empty(); }));
      const plain_reply& got = fixture.entry->called.front();
      BOOST_TEST(name(got.reason) == name(row.reason));
      BOOST_TEST(got.ran == row.ran);
      fixture.entry->send("plain-1", call);  // and late
      BOOST_REQUIRE(
          fixture.until([&] { return fixture.entry->called.size() == 2U; }));
      BOOST_TEST(name(fixture.entry->called.back().reason) == "duplicate");
      BOOST_TEST(fixture.entry->called.back().ran);
      BOOST_TEST(fixture.service.executions("c1") == row.executions);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_service_that_is_gone_has_not_run_the_call) {
  endpoint_fixture fixture;
  fixture.service.close();
  fixture.entry->send(
      "plain-1",
      plain_request{fixture.entry->header(1), "POST", "/prices", {}, "{}"});
  BOOST_REQUIRE(fixture.until([&] { return !fixture.entry->called.empty(); }));
  BOOST_TEST(name(fixture.entry->called.front().reason) == "engine_lost");
  BOOST_TEST(!fixture.entry->called.front().ran);
}

// Cancels at a moment of the request's life and waits for the memory.
BOOST_AUTO_TEST_CASE(a_cancel_frees_memory_in_every_stage) {
  fake::engine_options slow = quick_engine();
  slow.token_interval = milliseconds(20);
  slow.link_bytes_per_second = 200'000;
  for (const std::string stage : {"reserved", "prefilling", "exported",
                                  "importing", "decoding", "finished"}) {
    BOOST_TEST_CONTEXT(stage) {
      // Nothing but the cancel frees in time.
      slow.prefill_base =
          stage == "prefilling" ? seconds(15) : milliseconds(50);
      slow.export_life = seconds(60);
      endpoint_fixture fixture(slow);
      const work_header header = fixture.entry->header(1);
      const attempt_key key = header.key;
      const std::int32_t most = stage == "finished" ? 1 : 2000;
      if (stage == "reserved") {
        fixture.entry->send("decode-1", reserve_request{header, 300, most, 0});
        fixture.until([&] { return !fixture.entry->reserved.empty(); });
      } else if (stage == "prefilling" || stage == "exported") {
        fixture.entry->send("prefill-1",
                            prefill_request{header, "model", "p", 300});
        fixture.until([&] { return fixture.prefill_engine.held() == 1; });
        fixture.until([&] {
          return stage == "prefilling" || !fixture.entry->prefilled.empty();
        });
      } else {
        fixture.start_request(1, "p", most);
        fixture.until([&] { return fixture.decode_engine.held() == 1; });
        fixture.until([&] {
          return stage == "importing" || fixture.entry->offset[key] > 0;
        });
      }
      for (const char* endpoint : {"prefill-1", "decode-1"}) {
        fixture.entry->send(endpoint, cancel_request{key});
      }
      BOOST_TEST(fixture.until([&] { return fixture.memory_is_free(); }));
      // All pieces can be promised again.
      fixture.entry->reserved.clear();
      const std::int32_t all = 320 * 256;
      fixture.entry->send("decode-1",
                          reserve_request{fixture.entry->header(2), all, 0, 0});
      BOOST_REQUIRE(
          fixture.until([&] { return !fixture.entry->reserved.empty(); }));
      BOOST_TEST(name(fixture.entry->reserved.front().reason) == "none");
    }
  }
}
