// Faults of engines and services: each request must get the right outcome, and
// all engine memory must be free at the end.
#include <boost/test/unit_test.hpp>

#include "endpoint_fixture.h"
#include "fake/tokens.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using citronwharf::fake::fake_answer;
using citronwharf::test::endpoint_fixture;
using citronwharf::test::fast_engine_options;

namespace {

constexpr std::int32_t tokens = 20;

std::string reason_name(failure_reason reason) {
  return nlohmann::json(reason).get<std::string>();
}

bool starts_with(const std::string& text_to_search, const std::string& prefix) {
  return text_to_search.compare(0, prefix.size(), prefix) == 0;
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

BOOST_AUTO_TEST_CASE(prefill_faults_are_reported) {
  for (const prefill_row& row : prefill_rows) {
    BOOST_TEST_CONTEXT(row.at << ' ' << row.kind) {
      endpoint_fixture fixture;
      fixture.prefill_engine.add_fault({row.at, row.kind, 1, 0, 0});
      BOOST_TEST(!fixture.start_request(1, "p", tokens));
      BOOST_REQUIRE(fixture.entry->prefill_replies.size() == 1U);
      const prefill_reply& reply = fixture.entry->prefill_replies.front();
      BOOST_TEST(reason_name(reply.reason) == reason_name(row.reason));
      BOOST_TEST(reply.ran == row.ran);
      fixture.entry->send("decode-1", cancel_request{fixture.entry->key(1)});
      BOOST_TEST(
          fixture.run_loop_until([&] { return fixture.memory_is_free(); }));
    }
  }
}

BOOST_AUTO_TEST_CASE(transfer_and_decode_faults_are_retried_or_reported) {
  for (const decode_row& row : decode_rows) {
    BOOST_TEST_CONTEXT(row.at << ' ' << row.kind << ' ' << row.after) {
      endpoint_fixture fixture;
      const bool at_prefill = std::string(row.engine) == "prefill";
      (at_prefill ? fixture.prefill_engine : fixture.decode_engine)
          .add_fault({row.at, row.kind, row.count, row.after, 0});
      BOOST_REQUIRE(fixture.start_request(1, "p", tokens));
      const attempt_key key = fixture.entry->key(1);
      BOOST_REQUIRE(fixture.run_loop_until(
          [&] { return fixture.find_decode_finished(key) != nullptr; }));
      BOOST_TEST(reason_name(fixture.find_decode_finished(key)->reason) ==
                 reason_name(row.reason));
      BOOST_TEST(fixture.find_decode_finished(key)->ran == row.ran);
      BOOST_TEST(fixture.entry->finished_messages.size() == 1U);
      BOOST_TEST(!fixture.entry->saw_offset_gap);
      const std::string& text = fixture.entry->texts[key];
      if (row.reason == failure_reason::none) {
        BOOST_TEST(text == fake_answer("p", tokens));
      } else {
        BOOST_TEST(starts_with(fake_answer("p", tokens), text));
      }
      BOOST_TEST(
          fixture.run_loop_until([&] { return fixture.memory_is_free(); }));
    }
  }
}

BOOST_AUTO_TEST_CASE(plain_call_faults_are_reported_and_calls_not_repeated) {
  for (const plain_row& row : plain_rows) {
    BOOST_TEST_CONTEXT(row.kind) {
      endpoint_fixture fixture;
      fixture.service.add_fault({row.kind, 1, 50'000});
      work_header header = fixture.entry->header(1);
      header.deadline_us = row.deadline_us;
      const plain_request call{
          header, "POST", "/prices", {}, R"({"commit_id":"c1"})"};
      fixture.entry->send("plain-1", call);
      fixture.entry->send("plain-1", call);  // the same frame, delivered twice
      BOOST_REQUIRE(fixture.run_loop_until(
          [&] { return !fixture.entry->plain_replies.empty(); }));
      const plain_reply& reply = fixture.entry->plain_replies.front();
      BOOST_TEST(reason_name(reply.reason) == reason_name(row.reason));
      BOOST_TEST(reply.ran == row.ran);
      fixture.entry->send("plain-1", call);  // and once more after the reply
      BOOST_REQUIRE(fixture.run_loop_until(
          [&] { return fixture.entry->plain_replies.size() == 2U; }));
      BOOST_TEST(reason_name(fixture.entry->plain_replies.back().reason) ==
                 "duplicate");
      BOOST_TEST(fixture.entry->plain_replies.back().ran);
      BOOST_TEST(fixture.service.executions("c1") == row.executions);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_call_to_a_closed_service_is_reported_as_not_run) {
  endpoint_fixture fixture;
  fixture.service.close();
  fixture.entry->send(
      "plain-1",
      plain_request{fixture.entry->header(1), "POST", "/prices", {}, "{}"});
  BOOST_REQUIRE(fixture.run_loop_until(
      [&] { return !fixture.entry->plain_replies.empty(); }));
  BOOST_TEST(reason_name(fixture.entry->plain_replies.front().reason) ==
             "engine_lost");
  BOOST_TEST(!fixture.entry->plain_replies.front().ran);
}

// Cancels a request in each of its stages and waits until all memory is free.
BOOST_AUTO_TEST_CASE(a_cancel_frees_memory_in_every_stage) {
  fake::engine_options slow_options = fast_engine_options();
  slow_options.token_interval = milliseconds(20);
  slow_options.link_bytes_per_second = 200'000;
  for (const std::string stage : {"reserved", "prefilling", "exported",
                                  "importing", "decoding", "finished"}) {
    BOOST_TEST_CONTEXT(stage) {
      // The slow prefill and the long export lifetime ensure that only the
      // cancel can free the memory in time.
      slow_options.prefill_base =
          stage == "prefilling" ? seconds(15) : milliseconds(50);
      slow_options.export_life = seconds(60);
      endpoint_fixture fixture(slow_options);
      const work_header header = fixture.entry->header(1);
      const attempt_key key = header.key;
      const std::int32_t max_tokens = stage == "finished" ? 1 : 2000;
      if (stage == "reserved") {
        fixture.entry->send("decode-1",
                            reserve_request{header, 300, max_tokens, 0});
        fixture.run_loop_until(
            [&] { return !fixture.entry->reserve_replies.empty(); });
      } else if (stage == "prefilling" || stage == "exported") {
        fixture.entry->send("prefill-1",
                            prefill_request{header, "model", "p", 300});
        fixture.run_loop_until(
            [&] { return fixture.prefill_engine.held() == 1; });
        fixture.run_loop_until([&] {
          return stage == "prefilling" ||
                 !fixture.entry->prefill_replies.empty();
        });
      } else {
        fixture.start_request(1, "p", max_tokens);
        fixture.run_loop_until(
            [&] { return fixture.decode_engine.held() == 1; });
        fixture.run_loop_until([&] {
          return stage == "importing" || fixture.entry->next_offsets[key] > 0;
        });
      }
      for (const char* endpoint : {"prefill-1", "decode-1"}) {
        fixture.entry->send(endpoint, cancel_request{key});
      }
      BOOST_TEST(
          fixture.run_loop_until([&] { return fixture.memory_is_free(); }));
      // All pieces can be reserved again.
      fixture.entry->reserve_replies.clear();
      const std::int32_t all_tokens = 320 * 256;
      fixture.entry->send("decode-1", reserve_request{fixture.entry->header(2),
                                                      all_tokens, 0, 0});
      BOOST_REQUIRE(fixture.run_loop_until(
          [&] { return !fixture.entry->reserve_replies.empty(); }));
      BOOST_TEST(reason_name(fixture.entry->reserve_replies.front().reason) ==
                 "none");
    }
  }
}
