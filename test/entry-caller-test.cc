// Contract of the caller's interface over HTTP: good, bad and faulty cases.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "caller_fixture.h"
#include "fake/tokens.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

std::string ask(const std::string& prompt, int tokens, bool stream) {
  return nlohmann::json{
      {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}}
      .dump();
}

// The tokens of a stream's events in order, and its last event's name.
struct stream_text {
  std::string text;
  std::string last;
  nlohmann::json last_data;
};

stream_text read_stream(const std::string& body) {
  stream_text out;
  std::size_t at = 0;
  while (at < body.size()) {
    const std::size_t end = body.find("\n\n", at);
    const std::size_t line = body.find('\n', at);
    BOOST_REQUIRE(end != std::string::npos);
    out.last = body.substr(at + 7, line - at - 7);
    out.last_data =
        nlohmann::json::parse(body.substr(line + 7, end - line - 7));
    if (out.last == "tokens") {
      for (const auto& token : out.last_data.at("tokens")) {
        out.text += token.get<std::string>();
      }
    }
    at = end + 2;
  }
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(good_calls) {
  caller_fixture fixture;
  const auto whole = fixture.finish(
      caller_fixture::post("summary/x", ask("mackerel", 5, false)));
  BOOST_TEST(whole->answer.status == 200);
  BOOST_TEST(whole->header("X-Outcome") == "done");
  BOOST_TEST(!whole->header("X-Request-Id").empty());
  const auto body = nlohmann::json::parse(whole->answer.body);
  BOOST_TEST(body.at("text") == fake::fake_answer("mackerel", 5));
  BOOST_TEST(body.at("tokens") == 5);

  const auto stream =
      fixture.finish(caller_fixture::post("summary", ask("salmon", 7, true)));
  BOOST_TEST(stream->header("Content-Type") == "text/event-stream");
  const stream_text read = read_stream(stream->answer.body);
  BOOST_TEST(read.text == fake::fake_answer("salmon", 7));
  BOOST_TEST(read.last == "end");
  BOOST_TEST(read.last_data.at("tokens") == 7);
  BOOST_TEST(read.last_data.at("outcome") == "done");

  const auto plain =
      fixture.finish(caller_fixture::post("commit/price?sheet=7", "cod 9"));
  BOOST_TEST(plain->answer.status == 201);
  BOOST_TEST(plain->answer.body == "POST /price?sheet=7 cod 9");
  BOOST_TEST(plain->header("X-Sheet") == "7");
  BOOST_TEST(plain->header("X-Outcome") == "done");
  const auto open = fixture.finish(caller_fixture::post("open", "x", ""));
  BOOST_TEST(open->answer.status == 201);
}

BOOST_AUTO_TEST_CASE(bad_calls_end_before_anything_runs) {
  caller_fixture fixture;
  fixture.until([&] { return fixture.decode.count["claims"] >= 0; });
  struct row {
    const char* name;
    http_request in;
    int status;
    const char* reason;
  };
  const auto post = [](const std::string& target, const std::string& body,
                       const std::string& key = "good") {
    return caller_fixture::post(target, body, key);
  };
  const std::string good = ask("x", 1, false);
  const auto with = [](http_request in, const char* name, std::string value) {
    in.headers.push_back({name, std::move(value)});
    return in;
  };
  http_request many = post("summary", good);
  for (int index = 0; index < 80; ++index) {
    many.headers.push_back({fmt::format("X-{}", index), "1"});
  }
  http_request get = post("summary", "");
  get.method = "GET";
  std::vector<row> table{
      {"no key", post("summary", good, ""), 401, "no-key"},
      {"wrong key", post("summary", good, "bad"), 401, "wrong-key"},
      {"withdrawn key", post("summary", good, "old"), 401, "key-withdrawn"},
      {"doubled key", with(post("summary", good), "Authorization", "Bearer x"),
       400, "doubled-key"},
      {"other scheme",
       with(post("summary", good, ""), "Authorization", "Basic good"), 401,
       "wrong-key"},
      {"two secrets", post("summary", good, "good old"), 401, "wrong-key"},
      {"unknown route", post("nothing", good), 404, "unknown-route"},
      {"unknown route, no key", post("nothing", good, ""), 401, "no-key"},
      {"no route", post("", good), 404, "unknown-route"},
      {"wrong method", get, 405, "wrong-method"},
      {"body over the route's limit", post("summary", std::string(5000, 'x')),
       413, "body-too-large"},
      {"body over the server's limit",
       post("summary", std::string(3U << 20U, 'x')), 413, "body-too-large"},
      {"headers too many", many, 431, "too-many-headers"},
      {"not JSON", post("summary", "{\"prompt\":"), 400, "not-json"},
      {"not UTF-8", post("summary", "{\"prompt\":\"\xff\"}"), 400, "not-json"},
      {"not an object", post("summary", "[1]"), 422, "wrong-type"},
      {"no prompt", post("summary", "{}"), 422, "wrong-type"},
      {"prompt of wrong type", post("summary", R"({"prompt":7})"), 422,
       "wrong-type"},
      {"empty prompt", post("summary", R"({"prompt":""})"), 422, "wrong-type"},
      {"stream of wrong type",
       post("summary", R"({"prompt":"x","stream":"yes"})"), 422, "wrong-type"},
      {"doubled claim",
       with(with(post("commit", "x"), "Idempotency-Key", "a"),
            "Idempotency-Key", "b"),
       400, "bad-request"},
      {"rate", post("summary", ask("x", 50, false), "small"), 429, "rate"}};
  for (const char* count : {"0", "-1", "1.5", "\"3\"", "101", "1e99", "null"}) {
    table.push_back(
        {"max_tokens",
         post("summary",
              fmt::format(R"({{"prompt":"x","max_tokens":{}}})", count)),
         422, "wrong-type"});
  }
  for (const row& one : table) {
    const auto got = fixture.finish(one.in);
    BOOST_TEST(got->answer.status == one.status, one.name);
    BOOST_TEST(got->header("X-Outcome") == "not-run", one.name);
    BOOST_TEST(!got->header("X-Request-Id").empty(), one.name);
    BOOST_TEST(got->header("Content-Type") == "application/problem+json",
               one.name);
    const auto body = nlohmann::json::parse(got->answer.body, nullptr, false);
    BOOST_TEST(body.value("title", "") == one.reason, one.name);
    BOOST_TEST((one.status != 429 || !got->header("Retry-After").empty()));
  }
  BOOST_TEST(fixture.prefill.count["prefill"] == 0);
  BOOST_TEST(fixture.plain.count["plain"] == 0);
  BOOST_TEST(fixture.decode.count["reserve"] == 0);
}

BOOST_AUTO_TEST_CASE(a_prompt_that_no_endpoint_holds_is_refused) {
  caller_fixture fixture;
  fixture.decode.load.pieces_total = 1;  // of 100 tokens
  fixture.decode.hello();
  const http_request in =
      caller_fixture::post("summary", ask(std::string(2000, 'x'), 1, false));
  std::unique_ptr<caller_call> got;
  fixture.until([&] {
    got = fixture.finish(in);
    return got->answer.status == 413;
  });
  BOOST_TEST(got->answer.status == 413);
  BOOST_TEST(got->header("X-Outcome") == "not-run");
}

BOOST_AUTO_TEST_CASE(no_endpoint_sees_a_key) {
  caller_fixture fixture;
  for (const char* target : {"summary", "commit/a", "lookup/b"}) {
    http_request in = caller_fixture::post(target, ask("cod", 3, true));
    in.headers.push_back(
        {"Idempotency-Key", std::string("claim-value") + target});
    in.headers.push_back({"Connection", "X-Hop"});
    in.headers.push_back({"X-Hop", "hop-value"});
    in.headers.push_back({"X-End", "end-value"});
    fixture.finish(in);
  }
  const std::string all = fixture.prefill.received + fixture.decode.received +
                          fixture.plain.received;
  BOOST_TEST(all.find("\"cod\"") != std::string::npos);
  BOOST_TEST(all.find("end-value") != std::string::npos);
  for (const char* secret :
       {"good", "Bearer", "claim-value", "hop-value", "k1"}) {
    BOOST_TEST(all.find(secret) == std::string::npos, secret);
  }
}

BOOST_AUTO_TEST_CASE(twenty_callers_get_their_own_answers) {
  caller_fixture fixture;
  std::vector<std::unique_ptr<caller_call>> calls;
  calls.reserve(20);
  for (int index = 0; index < 20; ++index) {
    calls.push_back(fixture.call(caller_fixture::post(
        "summary", ask(fmt::format("prompt {}", index), 40, index % 2 == 0))));
  }
  fixture.until([&] {
    return std::all_of(calls.begin(), calls.end(),
                       [](const auto& one) { return one->over; });
  });
  for (int index = 0; index < 20; ++index) {
    const std::string& body = calls[index]->answer.body;
    const std::string text =
        index % 2 == 0 ? read_stream(body).text
                       : nlohmann::json::parse(body).value("text", "");
    BOOST_TEST(text == fake::fake_answer(fmt::format("prompt {}", index), 40));
  }
  BOOST_TEST(fixture.until([&] { return fixture.prefill.held.empty(); }));
}

BOOST_AUTO_TEST_CASE(a_broken_stream_ends_with_an_error_event) {
  caller_fixture fixture;
  fixture.desired.routes[3].idempotent = false;
  fixture.apply();
  fixture.decode.on_decode = [&](const decode_request& in,
                                 const std::string& prompt) {
    fixture.decode.send_tokens(in.header.key, prompt, 0, 2);
    fixture.decode.send_end(in.header.key, 2, failure_reason::engine_lost);
    return true;
  };
  const auto got =
      fixture.finish(caller_fixture::post("summary", ask("cod", 5, true)));
  const stream_text read = read_stream(got->answer.body);
  BOOST_TEST(read.last == "error");
  BOOST_TEST(read.last_data.at("outcome") == "unknown");
  BOOST_TEST(read.last_data.at("tokens") == 2);
  BOOST_TEST(read.text == fake::fake_answer("cod", 2));
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_frees_everything) {
  caller_fixture fixture;
  for (const char* stage : {"reserve", "prefill", "decode"}) {
    const std::string at = stage;
    fixture.decode.on_reserve = [&](const reserve_request& in) {
      fixture.decode.held.insert(in.header.key);
      return at == "reserve";
    };
    fixture.prefill.on_prefill = [&](const prefill_request& in) {
      fixture.prefill.held.insert(in.header.key);
      return at == "prefill";
    };
    fixture.decode.on_decode = [&](const decode_request&, const std::string&) {
      return true;
    };
    auto call =
        fixture.call(caller_fixture::post("summary", ask("cod", 5, true)));
    const int before =
        fixture.decode.count[stage] + fixture.prefill.count[stage];
    fixture.until([&] {
      return fixture.decode.count[stage] + fixture.prefill.count[stage] >
             before;
    });
    call.reset();
    BOOST_TEST(fixture.until([&] {
      return fixture.decode.held.empty() && fixture.prefill.held.empty();
    }),
               stage);
  }
}

BOOST_AUTO_TEST_CASE(keys_and_freshness) {
  caller_fixture fixture({}, duration{});  // never confirmed
  const std::string body = ask("x", 1, false);
  auto got = fixture.finish(caller_fixture::post("summary", body));
  BOOST_TEST(got->answer.status == 503);
  BOOST_TEST(got->header("X-Outcome") == "not-run");
  BOOST_TEST(!got->header("Retry-After").empty());
  got = fixture.finish(caller_fixture::post("open", body, ""));
  BOOST_TEST(got->answer.status == 201);
  fixture.fresh_for = seconds(3600);
  fixture.apply();
  fixture.decode.on_reserve = [](const reserve_request&) { return true; };
  auto waiting = fixture.call(caller_fixture::post("summary", body));
  fixture.until([&] { return fixture.decode.count["reserve"] > 0; });
  fixture.desired.keys[0].withdrawn = true;
  fixture.apply();
  fixture.until([&] { return waiting->over; });
  BOOST_TEST(waiting->answer.status == 401);
  BOOST_TEST(waiting->header("X-Outcome") == "not-run");
  BOOST_TEST(fixture.prefill.count["prefill"] == 0);
  got = fixture.finish(caller_fixture::post("summary", body));
  BOOST_TEST(got->answer.status == 401);
}

BOOST_AUTO_TEST_CASE(waiting_requests_are_bounded) {
  caller_fixture fixture([](settings& in) {
    in.limits.max_waiting = 3;
    in.limits.max_waiting_per_organisation = 2;
  });
  fixture.decode.on_reserve = [](const reserve_request&) { return true; };
  const http_request in = caller_fixture::post("summary", ask("x", 1, false));
  const auto first = fixture.call(in);
  const auto second = fixture.call(in);
  fixture.until([&] { return fixture.decode.count["reserve"] == 2; });
  const auto third = fixture.finish(in);
  BOOST_TEST(third->answer.status == 429);
  BOOST_TEST(third->header("X-Outcome") == "not-run");
  BOOST_TEST(!third->header("Retry-After").empty());
  const auto other = fixture.finish(caller_fixture::post("open", "x", ""));
  BOOST_TEST(other->answer.status == 201);
}

BOOST_AUTO_TEST_CASE(a_call_that_may_not_be_repeated_is_sent_once) {
  struct row {
    failure_reason reason;
    bool ran;
    const char* route;
    int status;
    const char* outcome;
  };
  const std::vector<row> table{
      {failure_reason::leaving, false, "commit", 503, "not-run"},
      {failure_reason::engine_lost, true, "commit", 502, "unknown"},
      {failure_reason::engine_lost, true, "lookup", 502, "unknown"}};
  for (const row& one : table) {
    caller_fixture fixture;
    fixture.plain.on_plain = [&](const plain_request& in) {
      plain_reply out;
      out.key = in.header.key;
      out.reason = one.reason;
      out.ran = one.ran;
      out.load = fixture.plain.load;
      fixture.plain.send(out);
      return true;
    };
    const auto got = fixture.finish(caller_fixture::post(one.route, "cod 9"));
    BOOST_TEST(got->answer.status == one.status);
    BOOST_TEST(got->header("X-Outcome") == one.outcome);
    BOOST_TEST(fixture.plain.count["plain"] == 1);
  }
}

BOOST_AUTO_TEST_CASE(a_lost_session_makes_a_commit_unknown) {
  caller_fixture fixture;
  fixture.plain.on_plain = [&](const plain_request&) {
    fixture.plain.hub().close();
    return true;
  };
  const auto got = fixture.finish(caller_fixture::post("commit", "cod 9"));
  BOOST_TEST(got->answer.status == 502);
  BOOST_TEST(got->header("X-Outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(a_drain_cuts_no_request) {
  caller_fixture fixture;
  attempt_key key;
  fixture.decode.on_decode = [&](const decode_request& in, const std::string&) {
    key = in.header.key;
    return true;
  };
  const auto call =
      fixture.call(caller_fixture::post("summary", ask("cod", 4, true)));
  fixture.until([&] { return key.attempt != 0; });
  bool drained = false;
  fixture.entry->drain([&] { drained = true; });
  BOOST_TEST(!fixture.entry->ready());
  BOOST_TEST(!drained);
  fixture.decode.send_tokens(key, "cod", 0, 4);
  fixture.decode.send_end(key, 4);
  BOOST_TEST(fixture.until([&] { return call->over && drained; }));
  BOOST_TEST(read_stream(call->answer.body).last == "end");
}

BOOST_AUTO_TEST_CASE(a_second_try_with_a_key_never_runs_again) {
  caller_fixture fixture;
  const auto claimed = [](const char* route, const std::string& body,
                          const char* claim) {
    http_request in = caller_fixture::post(route, body);
    in.headers.push_back({"Idempotency-Key", claim});
    return in;
  };
  for (const char* route : {"commit/a", "summary"}) {
    const http_request in = claimed(route, ask("cod", 3, true), "c1");
    const http_request other = claimed(route, ask("cod", 4, true), "c1");
    const auto first = fixture.finish(in);
    BOOST_TEST(first->header("X-Outcome") ==
               (std::string(route) == "summary" ? "unknown" : "done"));
    std::unique_ptr<caller_call> second;
    fixture.until([&] {
      second = fixture.finish(in);
      return second->answer.status != 409;  // until the answer is stored
    });
    BOOST_TEST(second->header("Idempotency-Replayed") == "true", route);
    if (std::string(route) == "summary") {
      const stream_text read = read_stream(second->answer.body);
      BOOST_TEST(read.text == fake::fake_answer("cod", 3));
      BOOST_TEST(read.last_data.at("tokens") == 3);
    } else {
      BOOST_TEST(second->answer.body == first->answer.body);
      BOOST_TEST(second->answer.status == 201);
    }
    BOOST_TEST(fixture.finish(other)->answer.status == 422);
    fixture.machine.restore(claims().snapshot());
  }
  BOOST_TEST(fixture.plain.count["plain"] == 1);
  BOOST_TEST(fixture.prefill.count["prefill"] == 1);
}

BOOST_AUTO_TEST_CASE(what_tries_with_a_key_are_told) {
  caller_fixture fixture;
  http_request in = caller_fixture::post("commit", "cod 9");
  in.headers.push_back({"Idempotency-Key", "c2"});
  attempt_key key;
  fixture.plain.on_plain = [&](const plain_request& got) {
    key = got.header.key;
    return true;
  };
  fixture.leader->log.doubts = 1;  // the claim's first answer is lost
  const auto first = fixture.call(in);
  BOOST_TEST(fixture.until([&] { return key.attempt != 0; }));
  const auto second = fixture.finish(in);
  BOOST_TEST(second->answer.status == 409);
  BOOST_TEST(!second->header("Retry-After").empty());
  plain_reply lost;
  lost.key = key;
  lost.reason = failure_reason::engine_lost;
  lost.ran = true;
  fixture.plain.send(lost);
  BOOST_TEST(fixture.until([&] { return first->over; }));
  BOOST_TEST(first->header("X-Outcome") == "unknown");
  std::unique_ptr<caller_call> third;
  BOOST_TEST(fixture.until([&] {
    third = fixture.finish(in);
    return third->answer.body.find("claim-unknown") != std::string::npos;
  }));
  BOOST_TEST(third->header("X-Outcome") == "unknown");
  BOOST_TEST(fixture.plain.count["plain"] == 1);

  // Not run frees the key; without a leader nothing is sent.
  http_request next = caller_fixture::post("commit", "cod 9");
  next.headers.push_back({"Idempotency-Key", "c3"});
  fixture.plain.on_plain = [&](const plain_request& got) {
    plain_reply out;
    out.key = got.header.key;
    out.reason = failure_reason::leaving;
    fixture.plain.send(out);
    return true;
  };
  BOOST_TEST(fixture.finish(next)->header("X-Outcome") == "not-run");
  fixture.plain.on_plain = nullptr;
  BOOST_TEST(fixture.until(
      [&] { return fixture.finish(next)->header("X-Outcome") == "done"; }));
  const int sent = fixture.plain.count["plain"];
  BOOST_TEST(fixture.finish(next)->header("Idempotency-Replayed") == "true");
  fixture.leader->log.leads = false;
  http_request last = caller_fixture::post("commit", "cod 9");
  last.headers.push_back({"Idempotency-Key", "c4"});
  const auto refused = fixture.finish(last);
  BOOST_TEST(refused->answer.status == 503);
  BOOST_TEST(refused->header("X-Outcome") == "not-run");
  http_request open = caller_fixture::post("open", "x", "");
  open.headers.push_back({"Idempotency-Key", "c5"});
  BOOST_TEST(fixture.finish(open)->answer.status == 400);
  BOOST_TEST(fixture.plain.count["plain"] == sent);
}

// An endpoint keeps all it holds for an entry until it hears of its claims:
// one that restarted must hear of them though the entry wants nothing there.
BOOST_AUTO_TEST_CASE(endpoints_hear_of_claims_with_their_session) {
  caller_fixture fixture;
  BOOST_TEST(fixture.until([&] {
    return fixture.prefill.count["claims"] > 0 &&
           fixture.decode.count["claims"] > 0 &&
           fixture.plain.count["claims"] > 0;
  }));
}
