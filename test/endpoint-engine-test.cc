// Contract of the engine protocol (docs/ENGINE.md): the engine client of the
// endpoint processes against the fake engine.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>

#include "endpoint/engine_client.h"
#include "fake/engine.h"
#include "fake/tokens.h"
#include "raw_server.h"
#include "run-until.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using citronwharf::test::run_until;

namespace {

fake::engine_options fast_options() {
  fake::engine_options options;
  options.token_interval = milliseconds(1);
  options.prefill_base = milliseconds(1);
  options.load_lag = milliseconds(0);
  return options;
}

struct engine_pair {
  explicit engine_pair(const fake::engine_options& options = fast_options())
      : prefill(loop, options), decode(loop, options) {
    prefill_client = connect(prefill);
    decode_client = connect(decode);
  }
  std::unique_ptr<engine_client> connect(fake::engine& to) {
    return std::make_unique<engine_client>(
        loop, fmt::format("127.0.0.1:{}", to.listen().value()));
  }
  bool run_loop_until(const std::function<bool()>& condition) {
    return run_until(loop, condition);
  }
  failure_reason run_prefill(const std::string& id, const std::string& prompt) {
    std::optional<failure_reason> reported;
    const auto call = prefill_client->prefill(
        {id, "model", prompt, 300, 0}, seconds(5),
        [&](const engine_error& error, const engine_export& out) {
          reported = error.reason;
          exported = out;
        });
    run_loop_until([&] { return reported.has_value(); });
    return reported.value_or(failure_reason::deadline);
  }
  failure_reason run_import(const std::string& id, std::int32_t max_tokens,
                            std::int32_t offset = 0) {
    std::optional<failure_reason> reported;
    const auto call = decode_client->import(
        {id, exported.export_id, exported.address, 300, max_tokens, offset, 0},
        seconds(5), [&](const engine_error& error, const engine_imported&) {
          reported = error.reason;
        });
    run_loop_until([&] { return reported.has_value(); });
    return reported.value_or(failure_reason::deadline);
  }
  failure_reason run_decode(const std::string& id, std::int32_t offset,
                            duration stall = seconds(5)) {
    std::optional<failure_reason> reported;
    text.clear();
    const auto call = decode_client->decode(
        id, offset, stall,
        [&](const std::vector<std::string>& tokens) {
          for (const std::string& token : tokens) {
            text += token;
          }
        },
        [&](const engine_error& error) { reported = error.reason; });
    run_loop_until([&] { return reported.has_value(); });
    return reported.value_or(failure_reason::deadline);
  }

  boost::asio::io_context loop;
  fake::engine prefill;
  fake::engine decode;
  std::unique_ptr<engine_client> prefill_client;
  std::unique_ptr<engine_client> decode_client;
  engine_export exported;
  std::string text;
};

bool ok(failure_reason reason) {
  return reason == failure_reason::none;
}

}  // namespace

BOOST_AUTO_TEST_CASE(prefill_transfer_and_decode_return_the_complete_answer) {
  engine_pair pair;
  BOOST_TEST(ok(pair.run_prefill("e/1/1/1", "mackerel")));
  BOOST_TEST(pair.prefill.held() == 1U);
  BOOST_TEST(ok(pair.run_import("e/1/1/1", 20)));
  BOOST_TEST(pair.prefill.held() == 0U);
  BOOST_TEST(pair.prefill.wasted_tokens() == 0);
  BOOST_TEST(ok(pair.run_decode("e/1/1/1", 0)));
  BOOST_TEST(pair.text == fake::fake_answer("mackerel", 20));
  BOOST_TEST(pair.decode.pieces_free() == 320);
}

BOOST_AUTO_TEST_CASE(a_stream_resumes_at_its_offset) {
  engine_pair pair;
  pair.run_prefill("e/1/1/1", "salmon");
  pair.run_import("e/1/1/1", 20);
  pair.decode.add_fault({"decode", "cut", 1, 5, 0});
  BOOST_TEST(!ok(pair.run_decode("e/1/1/1", 0)));
  BOOST_TEST(pair.text == fake::fake_answer("salmon", 5));
  BOOST_TEST(ok(pair.run_decode("e/1/1/1", 5)));
  BOOST_TEST(fake::fake_answer("salmon", 5) + pair.text ==
             fake::fake_answer("salmon", 20));
}

BOOST_AUTO_TEST_CASE(
    an_answer_continues_after_the_tokens_sent_with_the_prompt) {
  engine_pair pair;
  const std::string sent = fake::fake_answer("tuna", 12);
  pair.run_prefill("e/1/1/2", "tuna" + sent);
  BOOST_TEST(ok(pair.run_import("e/1/1/2", 20, 12)));
  BOOST_TEST(ok(pair.run_decode("e/1/1/2", 12)));
  BOOST_TEST(sent + pair.text == fake::fake_answer("tuna", 20));
}

BOOST_AUTO_TEST_CASE(an_export_expires_and_counts_as_wasted) {
  fake::engine_options options = fast_options();
  options.export_life = milliseconds(30);
  engine_pair pair(options);
  pair.run_prefill("e/1/1/1", "late");
  BOOST_TEST(pair.run_loop_until([&] { return pair.prefill.held() == 0; }));
  BOOST_TEST(pair.prefill.wasted_tokens() == 300);
  BOOST_TEST(pair.prefill.pieces_free() == 320);
  BOOST_TEST(
      (pair.run_import("e/1/1/1", 20) == failure_reason::export_expired));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded) {
  fake::engine_options options = fast_options();
  options.pieces_total = 3;
  engine_pair pair(options);
  pair.run_prefill("e/1/1/1", "big");
  BOOST_TEST((pair.run_import("e/1/1/1", 600) == failure_reason::no_memory));
  BOOST_TEST(ok(pair.run_import("e/1/1/1", 468)));
  BOOST_TEST(pair.decode.pieces_free() == 0);
}

BOOST_AUTO_TEST_CASE(a_cancel_frees_memory_and_is_retried_until_confirmed) {
  engine_pair pair;
  pair.run_prefill("e/1/1/1", "gone");
  pair.run_import("e/1/1/1", 2000);
  BOOST_TEST(pair.decode.pieces_free() < 320);
  pair.decode.add_fault({"cancel", "refuse", 2, 0, 0});
  bool cancelled = false;
  pair.decode_client->cancel("e/1/1/1", [&] { cancelled = true; });
  BOOST_TEST(pair.run_loop_until([&] { return cancelled; }));
  BOOST_TEST(pair.decode.pieces_free() == 320);
  BOOST_TEST(pair.decode_client->pending_cancels() == 0U);
}

BOOST_AUTO_TEST_CASE(faults_are_reported_with_distinct_reasons) {
  struct row {
    const char* at;
    const char* kind;
    failure_reason reason;
  };
  const std::vector<row> rows{
      {"prefill", "refuse", failure_reason::engine_refused},
      {"prefill", "cut", failure_reason::engine_lost},
      {"prefill", "die", failure_reason::engine_lost},
      {"prefill_answer", "cross", failure_reason::engine_lost}};
  for (const row& fault_row : rows) {
    engine_pair pair;
    pair.prefill.add_fault({fault_row.at, fault_row.kind, 1, 0, 0});
    BOOST_TEST((pair.run_prefill("e/1/1/1", "p") == fault_row.reason),
               fault_row.at << ' ' << fault_row.kind);
  }
}

BOOST_AUTO_TEST_CASE(a_broken_engine_stream_is_never_reported_as_complete) {
  for (const char* kind : {"cut", "cross", "die", "hang"}) {
    engine_pair pair;
    pair.run_prefill("e/1/1/1", "p");
    pair.run_import("e/1/1/1", 10);
    pair.decode.add_fault({"decode", kind, 1, 4, 0});
    const failure_reason reported =
        pair.run_decode("e/1/1/1", 0, milliseconds(200));
    BOOST_TEST((reported == failure_reason::engine_lost), kind);
    BOOST_TEST(pair.text == fake::fake_answer("p", 4), kind);
  }
}

BOOST_AUTO_TEST_CASE(
    outdated_orders_are_refused_only_by_engines_that_check_fencing) {
  for (const bool checks : {true, false}) {
    fake::engine_options options = fast_options();
    options.checks_fencing = checks;
    engine_pair pair(options);
    std::vector<int> statuses;
    for (const std::uint64_t token : {5U, 4U}) {
      const std::size_t before = statuses.size();
      const auto call = pair.decode_client->order(
          {token, "decode", fmt::format("m{}", token), "", ""},
          [&](const engine_error& error, const engine_info&) {
            statuses.push_back(error.status);
          });
      pair.run_loop_until([&] { return statuses.size() > before; });
    }
    BOOST_TEST(statuses.front() == 200);
    BOOST_TEST(statuses.back() == (checks ? 409 : 200));
  }
}

// Guards against a success other than 200 being taken for a refusal, which
// states that the engine ran nothing.
BOOST_AUTO_TEST_CASE(any_success_is_an_answer) {
  boost::asio::io_context loop;
  int status = 0;
  test::raw_server engine(
      loop, [&status](const std::string&,
                      const std::shared_ptr<test::raw_connection>& to) {
        to->write(test::raw_reply(
            "", nlohmann::json(engine_export{"e/1/1/1", "x1", "", 0, 0}).dump(),
            status));
        to->close();
      });
  engine_client client(loop, engine.address());
  for (status = 200; status < 300; ++status) {
    if (status == 204) {
      continue;  // has no body
    }
    std::optional<engine_error> got;
    const auto call = client.prefill(
        {"e/1/1/1", "model", "prompt", 300, 0}, seconds(5),
        [&](const engine_error& error, const engine_export&) { got = error; });
    BOOST_REQUIRE(run_until(loop, [&] { return got.has_value(); }));
    BOOST_TEST_CONTEXT(status) {
      BOOST_TEST((got->reason == failure_reason::none));
    }
  }
}

BOOST_AUTO_TEST_CASE(cached_prefixes_need_fewer_prefill_tokens) {
  fake::engine_options options = fast_options();
  options.cache_event_delay = milliseconds(0);
  options.cache_event_gap = 2;
  engine_pair pair(options);
  const std::string prompt(1200, 's');
  pair.run_prefill("e/1/1/1", prompt);
  const std::int64_t uncached_tokens = pair.prefill.prefilled_tokens();
  pair.run_prefill("e/1/2/1", prompt);
  BOOST_TEST(uncached_tokens == 300);
  BOOST_TEST(pair.prefill.prefilled_tokens() - uncached_tokens == 300 - 256);
}
