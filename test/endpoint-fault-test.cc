// Faults of engines and services, each with its honest outcome and with all
// memory free at the end.
#include <boost/test/unit_test.hpp>

#include "endpoint_world.h"
#include "fake/tokens.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using citronwharf::fake::fake_answer;
using citronwharf::test::endpoint_world;
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
      endpoint_world world;
      world.prefill_engine.add_fault({row.at, row.kind, 1, 0, 0});
      BOOST_TEST(!world.start_request(1, "p", tokens));
      BOOST_REQUIRE(world.entry->prefilled.size() == 1U);
      const prefill_reply& got = world.entry->prefilled.front();
      BOOST_TEST(name(got.reason) == name(row.reason));
      BOOST_TEST(got.ran == row.ran);
      world.entry->send("decode-1", cancel_request{world.entry->key(1)});
      BOOST_TEST(world.until([&] { return world.memory_is_free(); }));
    }
  }
}

BOOST_AUTO_TEST_CASE(faults_in_transfer_and_decode) {
  for (const decode_row& row : decode_rows) {
    BOOST_TEST_CONTEXT(row.at << ' ' << row.kind << ' ' << row.after) {
      endpoint_world world;
      const bool at_prefill = std::string(row.engine) == "prefill";
      (at_prefill ? world.prefill_engine : world.decode_engine)
          .add_fault({row.at, row.kind, row.count, row.after, 0});
      BOOST_REQUIRE(world.start_request(1, "p", tokens));
      const attempt_key key = world.entry->key(1);
      BOOST_REQUIRE(world.until([&] { return world.end_of(key) != nullptr; }));
      BOOST_TEST(name(world.end_of(key)->reason) == name(row.reason));
      BOOST_TEST(world.end_of(key)->ran == row.ran);
      BOOST_TEST(world.entry->finished.size() == 1U);
      BOOST_TEST(!world.entry->gap);
      const std::string& text = world.entry->text[key];
      if (row.reason == failure_reason::none) {
        BOOST_TEST(text == fake_answer("p", tokens));
      } else {
        BOOST_TEST(begins(fake_answer("p", tokens), text));
      }
      BOOST_TEST(world.until([&] { return world.memory_is_free(); }));
    }
  }
}

BOOST_AUTO_TEST_CASE(faults_in_plain_calls) {
  for (const plain_row& row : plain_rows) {
    BOOST_TEST_CONTEXT(row.kind) {
      endpoint_world world;
      world.service.add_fault({row.kind, 1, 50'000});
      work_header header = world.entry->header(1);
      header.deadline_us = row.deadline_us;
      const plain_request call{
          header, "POST", "/prices", {}, R"({"commit_id":"c1"})"};
      world.entry->send("plain-1", call);
      world.entry->send("plain-1", call);  // a frame that came twice
      BOOST_REQUIRE(world.until([&] { return !world.entry->called.empty(); }));
      const plain_reply& got = world.entry->called.front();
      BOOST_TEST(name(got.reason) == name(row.reason));
      BOOST_TEST(got.ran == row.ran);
      world.entry->send("plain-1", call);  // and late
      BOOST_REQUIRE(
          world.until([&] { return world.entry->called.size() == 2U; }));
      BOOST_TEST(name(world.entry->called.back().reason) == "duplicate");
      BOOST_TEST(world.entry->called.back().ran);
      BOOST_TEST(world.service.executions("c1") == row.executions);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_service_that_is_gone_has_not_run_the_call) {
  endpoint_world world;
  world.service.close();
  world.entry->send(
      "plain-1",
      plain_request{world.entry->header(1), "POST", "/prices", {}, "{}"});
  BOOST_REQUIRE(world.until([&] { return !world.entry->called.empty(); }));
  BOOST_TEST(name(world.entry->called.front().reason) == "engine_lost");
  BOOST_TEST(!world.entry->called.front().ran);
}

// Cancels at a moment of the request's life and waits for the memory.
BOOST_AUTO_TEST_CASE(a_cancel_frees_memory_in_every_stage) {
  fake::engine_options slow = quick_engine();
  slow.prefill_base = milliseconds(50);
  slow.token_interval = milliseconds(20);
  slow.link_bytes_per_second = 200'000;
  for (const std::string stage : {"reserved", "prefilling", "exported",
                                  "importing", "decoding", "finished"}) {
    BOOST_TEST_CONTEXT(stage) {
      endpoint_world world(slow);
      const work_header header = world.entry->header(1);
      const attempt_key key = header.key;
      const std::int32_t most = stage == "finished" ? 1 : 2000;
      if (stage == "reserved") {
        world.entry->send("decode-1", reserve_request{header, 300, most, 0});
        world.until([&] { return !world.entry->reserved.empty(); });
      } else if (stage == "prefilling" || stage == "exported") {
        world.entry->send("prefill-1",
                          prefill_request{header, "model", "p", 300});
        world.until([&] { return world.prefill_engine.held() == 1; });
        world.until([&] {
          return stage == "prefilling" || !world.entry->prefilled.empty();
        });
      } else {
        world.start_request(1, "p", most);
        world.until([&] { return world.decode_engine.held() == 1; });
        world.until([&] {
          return stage == "importing" || world.entry->offset[key] > 0;
        });
      }
      for (const char* endpoint : {"prefill-1", "decode-1"}) {
        world.entry->send(endpoint, cancel_request{key});
      }
      BOOST_TEST(world.until([&] { return world.memory_is_free(); }));
      // All pieces can be promised again.
      world.entry->reserved.clear();
      const std::int32_t all = 320 * 256;
      world.entry->send("decode-1",
                        reserve_request{world.entry->header(2), all, 0, 0});
      BOOST_REQUIRE(
          world.until([&] { return !world.entry->reserved.empty(); }));
      BOOST_TEST(name(world.entry->reserved.front().reason) == "none");
    }
  }
}
