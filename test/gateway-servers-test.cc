// Tests of a gateway process with servers that leave, send Retry-After, answer
// twice, stall or are slow.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>

#include "raw_server.h"
#include "server_fixture.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

using steady = std::chrono::steady_clock;

http_response stamped_reply(const http_request& request,
                            std::vector<header_field> extra = {}) {
  extra.push_back({"Citronwharf-Server-Stamp", "s"});
  extra.push_back({"Citronwharf-Request-Id",
                   find_header(request.headers, "Citronwharf-Request-Id")});
  return reply(200, "done", std::move(extra));
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(leaving_server_gets_no_further_requests,
                        server_fixture) {
  add_plain_server();
  plain_server.answers = [](const http_request& request,
                            std::unique_ptr<http_exchange> exchange) {
    exchange->respond(stamped_reply(request, {{"Server-Leaving", "1"}}));
  };
  const std::size_t before = plain_server.seen.size();
  BOOST_REQUIRE(run_until(loop, [&] {
    BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
    return plain_server.seen.size() > before;
  }));
  // The directory still lists it as ready.
  const std::size_t requests_before = plain_server.seen.size();
  for (int round = 0; round < 30; ++round) {
    BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
  }
  BOOST_TEST(plain_server.seen.size() == requests_before);
}

BOOST_FIXTURE_TEST_CASE(leaving_engine_gets_no_further_prompts,
                        server_fixture) {
  const auto usual_handler = decode.answers;
  const auto leaving = [](const http_request& request,
                          std::unique_ptr<http_exchange> exchange) {
    if (request.target == "/-/hold-take") {
      exchange->respond(
          reply(200, R"({"hold":"m1"})", {{"Server-Leaving", "1"}}));
    } else {
      exchange->respond(stamped_reply(request));
    }
  };
  decode.answers = leaving;
  BOOST_REQUIRE(run_until(loop, [&] {
    call(callers, prompt_to("/s/1"));
    return !decode.seen.empty();
  }));
  const auto hold_count = [&] {
    return std::count_if(
        decode.seen.begin(), decode.seen.end(),
        [](const auto& each) { return each.target == "/-/hold-take"; });
  };
  const auto requests_before = hold_count();
  for (int round = 0; round < 10; ++round) {
    BOOST_TEST(call(callers, prompt_to("/s/1")).status == 200);
  }
  BOOST_TEST(hold_count() == requests_before);
}

BOOST_FIXTURE_TEST_CASE(key_withdrawn_while_waiting_for_tokens_gets_401,
                        server_fixture) {
  constexpr int tokens_per_second = 4000;
  constexpr std::size_t prompts = 10;
  int rounds_with_refusal = 0;  // a request waited at the withdrawal
  for (int round = 0; round < 6; ++round) {
    const int version = 10 + 2 * round;
    BOOST_REQUIRE(publish(version, "k1", tokens_per_second).status == 200);
    wait_until_ready();
    std::vector<http_response> got;
    std::vector<std::unique_ptr<http_call>> calls;
    calls.reserve(prompts);
    for (std::size_t each = 0; each < prompts; ++each) {
      calls.push_back(fetch(
          loop, {callers}, prompt_to("/s/1"),
          [&](absl::StatusOr<http_response> response, bool /*sent*/) {
            got.push_back(response.ok() ? *std::move(response) : reply(0, ""));
          }));
      run_loop_for(std::chrono::milliseconds(20));
    }
    BOOST_REQUIRE(publish(version + 1, "k2", tokens_per_second).status == 200);
    BOOST_REQUIRE(run_until(loop, [&] { return got.size() == prompts; }));
    const auto refused =
        std::find_if(got.begin(), got.end(),
                     [](const auto& each) { return each.status == 401; });
    if (refused != got.end()) {
      ++rounds_with_refusal;
      BOOST_TEST(find_header(refused->headers, "Retry-After").empty());
    }
    BOOST_REQUIRE(gateway->running());
  }
  BOOST_TEST(rounds_with_refusal >= 2);
}

BOOST_FIXTURE_TEST_CASE(retry_after_of_a_server_is_respected, server_fixture) {
  bool overloaded = true;
  std::vector<steady::time_point> received_at;
  steady::time_point refused_at;
  plain_server.answers = [&](const http_request& request,
                             std::unique_ptr<http_exchange> exchange) {
    received_at.push_back(steady::now());
    if (!overloaded) {
      exchange->respond(stamped_reply(request));
      return;
    }
    refused_at = steady::now();
    exchange->respond(
        reply(503, "", {{"Citronwharf-Not-Run", "1"}, {"Retry-After", "1.6"}}));
  };
  BOOST_TEST(call(callers, request_to("/c/1")).status == 503);
  overloaded = false;
  const auto first = refused_at;
  int early_requests = 0;
  while (steady::now() - first < std::chrono::milliseconds(1500)) {
    const auto asked = steady::now();
    const http_response got = call(callers, request_to("/c/1"));
    // Requests that cannot be served are answered at once, with Retry-After.
    BOOST_TEST((got.status == 200 || got.status == 503));
    if (got.status == 503) {
      BOOST_TEST(!find_header(got.headers, "Retry-After").empty());
      BOOST_TEST((steady::now() - asked < std::chrono::milliseconds(200)));
    }
    run_loop_for(std::chrono::milliseconds(20));
  }
  for (const auto& at : received_at) {
    const auto after = at - first;
    early_requests += after > std::chrono::milliseconds(500) &&
                              after < std::chrono::milliseconds(1600)
                          ? 1
                          : 0;
  }
  BOOST_TEST(early_requests <= 2);
  run_loop_for(std::chrono::milliseconds(200));
  BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
}

// A response without the server stamp may come from another process that now
// uses the address.
BOOST_FIXTURE_TEST_CASE(success_without_server_stamp_is_not_forwarded,
                        server_fixture) {
  plain_server.answers = [](const http_request& /*request*/,
                            std::unique_ptr<http_exchange> exchange) {
    exchange->respond(reply(200, "not the server's"));
  };
  const http_response got = call(callers, request_to("/c/1"));
  BOOST_TEST(got.status == 502);
  BOOST_TEST(got.body.find("not the server's") == std::string::npos);
}

// A second response to a request arrives when its connection already serves
// another call, which has a response of its own.
BOOST_FIXTURE_TEST_CASE(late_second_response_reaches_no_other_request,
                        server_fixture) {
  std::string last_id;
  int hold_count = 0;
  raw_server engine(loop, [&](const std::string& request,
                              const std::shared_ptr<raw_connection>& caller) {
    const std::string stale_response =
        last_id.empty() ? ""
                        : raw_reply(
                              "Citronwharf-Server-Stamp: s\r\n"
                              "Citronwharf-Request-Id: " +
                                  last_id + "\r\n",
                              event(1));
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    if (request.find("hold-take") != std::string::npos) {
      caller->write(
          stale_response +
          raw_reply("", fmt::format(R"({{"hold":"m{}"}})", ++hold_count)));
    } else if (id.empty()) {
      caller->write(stale_response + raw_reply("", "{}"));
    } else {
      last_id = id;
      caller->write(stale_response +
                    raw_reply(fmt::format("Citronwharf-Server-Stamp: s\r\n"
                                          "Citronwharf-Request-Id: {}\r\n",
                                          last_id),
                              event(1) + event(2)));
    }
  });
  instances = json::array();
  for (const std::string stage : {"prefill", "decode"}) {
    json entry{
        {"id", "e-" + stage},
        {"service", "models"},
        {"addr", stage == "prefill" ? prefill.address() : engine.address()},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"stage", stage}};
    instances.push_back(entry);
  }
  BOOST_REQUIRE(run_until(loop, [&] {
    call(callers, prompt_to("/s/1"));
    return hold_count > 0;
  }));
  for (int round = 0; round < 10; ++round) {
    const http_response got = call(callers, prompt_to("/s/1"));
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.body == event(1) + event(2));
  }
}

// The engine sends single bytes but no event: the stream is resumed on another
// engine.
BOOST_FIXTURE_TEST_CASE(stream_without_events_is_resumed_on_another_engine,
                        server_fixture) {
  std::vector<std::shared_ptr<http_exchange>> stalled_streams;
  const auto send_first_event_only =
      [&](const http_request& request,
          std::unique_ptr<http_exchange> exchange) {
        if (answer_auxiliary_request(request, *exchange)) {
          return;
        }
        if (!find_header(request.headers, "Last-Event-Id").empty()) {
          gateway_fixture::stream_response(3)(request, std::move(exchange));
          return;
        }
        exchange->start_stream(reply(200, "",
                                     {{"Citronwharf-Server-Stamp", "s"},
                                      {"Content-Type", "text/event-stream"}}));
        exchange->write(event(1));
        stalled_streams.push_back(std::move(exchange));
      };
  decode.answers = send_first_event_only;
  other_decode.answers = send_first_event_only;
  http_request request = prompt_to("/r/1");
  for (header_field& field : request.headers) {
    if (field.name == "Citronwharf-Deadline-Ms") {
      field.value = "14000";
    }
  }
  bool ended = false;
  http_response got;
  const auto running =
      fetch(loop, {callers}, request,
            [&](absl::StatusOr<http_response> response, bool /*sent*/) {
              got = response.ok() ? *std::move(response) : reply(0, "");
              ended = true;
            });
  const auto started_at = steady::now();
  while (!ended && steady::now() - started_at < std::chrono::seconds(5)) {
    for (const auto& each : stalled_streams) {
      each->write(":");
    }
    run_loop_for(std::chrono::milliseconds(200));
  }
  BOOST_TEST(ended);
  BOOST_TEST(got.body == event(1) + event(2) + event(3));
}

// A stream with a pause that is within the gap objective of its route, one
// second, stays on one engine.
BOOST_FIXTURE_TEST_CASE(slow_stream_within_its_gap_objective_is_not_moved,
                        server_fixture) {
  gap_objective_ms = 1000;
  BOOST_REQUIRE(publish(8).status == 200);
  int events_sent = 0;
  std::shared_ptr<http_exchange> slow_stream;
  int streams = 0;
  const auto answer = [&](const http_request& request,
                          std::unique_ptr<http_exchange> exchange) {
    if (answer_auxiliary_request(request, *exchange)) {
      return;
    }
    ++streams;
    exchange->start_stream(reply(200, "",
                                 {{"Citronwharf-Server-Stamp", "s"},
                                  {"Content-Type", "text/event-stream"}}));
    exchange->write(event(++events_sent));
    slow_stream = std::move(exchange);
  };
  decode.answers = answer;
  other_decode.answers = answer;
  http_response got;
  bool ended = false;
  const auto running =
      fetch(loop, {callers}, prompt_to("/r/1"),
            [&](absl::StatusOr<http_response> response, bool /*sent*/) {
              got = response.ok() ? *std::move(response) : reply(0, "");
              ended = true;
            });
  BOOST_REQUIRE(run_until(loop, [&] { return slow_stream != nullptr; }));
  run_loop_for(std::chrono::milliseconds(1200));
  slow_stream->write(event(++events_sent));
  slow_stream->finish();
  BOOST_REQUIRE(run_until(loop, [&] { return ended; }));
  BOOST_TEST(streams == 1);
  BOOST_TEST(got.body == event(1) + event(2));
}
