// A gateway in a real process, with fakes of the platform's directory and
// servers. The tests act as its operators, callers and balancer.
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>

#include "gateway_fixture.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

using system_fixture = gateway_fixture;

}  // namespace

BOOST_FIXTURE_TEST_CASE(one_process_serves_requests_within_the_allowance,
                        system_fixture) {
  BOOST_TEST(call(callers, request_to("/c/1")).status == 503);
  BOOST_TEST(call(readiness, {"GET", "/-/ready", {}, "", ""}).status == 503);
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  wait_until_fleet_is_known();

  // A commit reaches its server with the organisation's name, without its key.
  BOOST_TEST(call(callers, request_to("/c/1")).body == "done");
  BOOST_REQUIRE(plain_server.seen.size() == 1U);
  const http_request sent = plain_server.seen.back();
  BOOST_TEST(find_header(sent.headers, "Citronwharf-Tenant") == "t1");
  BOOST_TEST(find_header(sent.headers, "Authorization") == "");
  BOOST_TEST(sent.body == "body");

  // A generation: one engine prefills the prompt, another decodes.
  const http_response stream = call(callers, prompt_to("/s/1"));
  BOOST_TEST(stream.body == event(1) + event(2) + event(3));
  BOOST_TEST(find_header(prefill.seen.back().headers, "Citronwharf-Stage") ==
             "prefill");

  BOOST_TEST(call(callers, request_to("/none/1")).status == 404);
  BOOST_TEST(call(callers, request_to("/c/1", "wrong")).status == 401);
  // A burst of 4,000 tokens is soon spent. Single requests can wait until their
  // tokens have accrued; of many at once, some must be refused.
  BOOST_TEST(publish(8, "k1", 4000).status == 200);
  constexpr std::size_t concurrent_requests = 20;
  std::vector<http_response> answers;
  std::vector<std::unique_ptr<http_call>> running;
  for (std::size_t sent = 0; sent < concurrent_requests; ++sent) {
    running.push_back(
        fetch(loop, {callers}, prompt_to("/s/1"),
              [&](absl::StatusOr<http_response> response, bool /*sent*/) {
                answers.push_back(response.ok() ? *std::move(response)
                                                : reply(0, ""));
              }));
  }
  BOOST_REQUIRE(
      run_until(loop, [&] { return answers.size() == concurrent_requests; }));
  std::size_t refused_count = 0;
  for (const http_response& answer : answers) {
    BOOST_TEST((answer.status == 200 || answer.status == 429));
    if (answer.status == 429) {
      ++refused_count;
      BOOST_TEST(!find_header(answer.headers, "Retry-After").empty());
    }
  }
  BOOST_TEST(refused_count >= concurrent_requests / 4);
  BOOST_TEST(refused_count < concurrent_requests);
}

BOOST_FIXTURE_TEST_CASE(operators_publish_and_read_back, system_fixture) {
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  // Versions that are not newer are accepted, but change nothing.
  BOOST_TEST(publish(7, "other").status == 200);
  BOOST_TEST(publish(6, "other").status == 200);
  const http_response read =
      call(operators, {"GET", "/-/Config.Get", {}, "", ""});
  BOOST_TEST(read.status == 200);
  BOOST_TEST(json::parse(read.body).at("tenants")[0].at("apiKeys")[0] == "k1");
  BOOST_TEST(call(operators, {"POST", "/-/Config.Put", {}, "{\"version\":", ""})
                 .status == 400);
  // A withdrawn key stops working.
  BOOST_TEST(publish(8, "k2").status == 200);
  BOOST_TEST(run_until(loop, [&] {
    return call(callers, request_to("/c/1", "k1")).status == 401;
  }));
  // An acknowledged configuration survives a restart.
  gateway->kill();
  start();
  BOOST_TEST(run_until(loop, [&] {
    const auto again = call(operators, {"GET", "/-/Config.Get", {}, "", ""});
    return again.status == 200 && json::parse(again.body).at("version") == 8;
  }));
}

BOOST_FIXTURE_TEST_CASE(a_commit_whose_response_is_lost_runs_once,
                        system_fixture) {
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  plain_server.answers = [](const http_request&,
                            std::unique_ptr<http_exchange>) {};
  BOOST_TEST(call(callers, request_to("/c/1")).status == 502);
  BOOST_TEST(plain_server.seen.size() == 1U);
  // Requests that a server states it did not run may be repeated elsewhere.
  plain_server.answers = [](const http_request&,
                            std::unique_ptr<http_exchange> exchange) {
    exchange->respond(reply(503, "", {{"Citronwharf-Not-Run", "1"}}));
  };
  const http_response refused = call(callers, request_to("/c/2"));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(!find_header(refused.headers, "Retry-After").empty());
}

BOOST_FIXTURE_TEST_CASE(a_commit_without_response_is_answered_with_504,
                        system_fixture) {
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  std::vector<std::unique_ptr<http_exchange>> held;
  plain_server.answers = [&](const http_request&,
                             std::unique_ptr<http_exchange> exchange) {
    held.push_back(std::move(exchange));
  };
  http_request request = request_to("/c/1");
  request.headers.back().value = "300";
  // The commit may have run; 503 would state that it did not.
  BOOST_TEST(call(callers, request).status == 504);
}

BOOST_FIXTURE_TEST_CASE(a_broken_stream_resumes_at_another_engine,
                        system_fixture) {
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  wait_until_fleet_is_known();
  const auto complete_answer = stream_response(4);
  int broken_streams = 0;
  const fake_server::answer breaking_answer = [&](const http_request& request,
                                                  std::unique_ptr<http_exchange>
                                                      exchange) {
    if (request.target.rfind("/r/", 0) != 0 &&
        request.target.rfind("/s/", 0) != 0) {
      complete_answer(request, std::move(exchange));
      return;
    }
    if (broken_streams++ > 0) {
      complete_answer(request, std::move(exchange));
      return;
    }
    exchange->start_stream(reply(200, "", {{"Citronwharf-Server-Stamp", "s"}}));
    // Breaks off in the middle of an event, after it was written.
    exchange->write(event(1) + event(2) + "id: 3\nda");
    const std::shared_ptr<http_exchange> held = std::move(exchange);
    const auto timer = std::make_shared<runtime_timer>(loop);
    timer->expires_after(milliseconds(50));
    timer->async_wait([held, timer](auto /*error*/) {});
  };
  decode.answers = breaking_answer;
  other_decode.answers = breaking_answer;
  const http_response resumed = call(callers, prompt_to("/r/1"));
  BOOST_TEST(resumed.body == event(1) + event(2) + event(3) + event(4));
  BOOST_TEST(broken_streams == 2);
  // The KV cache is fetched from the prefill engine; the prompt is not
  // prefilled again.
  std::vector<std::string> fetched_from;
  for (const fake_server* each : {&decode, &other_decode}) {
    for (const http_request& request : each->seen) {
      if (request.target == "/r/1") {
        fetched_from.push_back(find_header(request.headers, "Kv-Fetch"));
      }
    }
  }
  std::sort(fetched_from.begin(), fetched_from.end());
  BOOST_TEST(fetched_from == (std::vector<std::string>{"", prefill.address()}),
             boost::test_tools::per_element());
  // A broken stream that may not be resumed must not look complete.
  broken_streams = 0;
  BOOST_TEST(call(callers, prompt_to("/s/1")).status == 0);
  BOOST_TEST(broken_streams == 1);
}

BOOST_FIXTURE_TEST_CASE(no_prompt_is_prefilled_without_decode_memory,
                        system_fixture) {
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  const fake_server::answer refusing_answer =
      [](const http_request&, std::unique_ptr<http_exchange> exchange) {
        exchange->respond(reply(503, "", {{"Citronwharf-Not-Run", "1"}}));
      };
  decode.answers = refusing_answer;
  other_decode.answers = refusing_answer;
  const http_response refused = call(callers, prompt_to("/s/1"));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(prefill.seen.empty());
}

BOOST_FIXTURE_TEST_CASE(a_disconnected_caller_cancels_its_request,
                        system_fixture) {
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  std::vector<std::unique_ptr<http_exchange>> held;
  bool closed = false;
  plain_server.answers = [&](const http_request&,
                             std::unique_ptr<http_exchange> exchange) {
    exchange->on_closed([&] { closed = true; });
    held.push_back(std::move(exchange));
  };
  auto running = fetch(loop, {callers}, request_to("/c/1"),
                       [](const absl::StatusOr<http_response>&, bool) {});
  BOOST_REQUIRE(run_until(loop, [&] { return !held.empty(); }));
  running.reset();
  BOOST_TEST(run_until(loop, [&] { return closed; }));
}

BOOST_FIXTURE_TEST_CASE(a_drain_completes_requests_in_progress,
                        system_fixture) {
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  std::vector<std::unique_ptr<http_exchange>> held;
  plain_server.answers = [&](const http_request&,
                             std::unique_ptr<http_exchange> exchange) {
    held.push_back(std::move(exchange));
  };
  http_response drained_response;
  drained_response.status = -1;
  const auto running = fetch(
      loop, {callers}, request_to("/c/1"),
      [&](absl::StatusOr<http_response> response, bool) {
        drained_response = response.ok() ? *std::move(response) : reply(0, "");
      });
  BOOST_REQUIRE(run_until(loop, [&] { return !held.empty(); }));
  gateway->send_signal(SIGTERM);
  BOOST_TEST(run_until(loop, [&] {
    return call(readiness, {"GET", "/-/ready", {}, "", ""}).status == 503;
  }));
  BOOST_TEST(gateway->running());
  held.front()->respond(
      reply(200, "late", {{"Citronwharf-Server-Stamp", "s"}}));
  BOOST_TEST(run_until(loop, [&] { return drained_response.status != -1; }));
  BOOST_TEST(drained_response.body == "late");
  BOOST_TEST(gateway->wait() == 0);
}

// Callers that retry while a killed process restarts are served, not refused.
BOOST_FIXTURE_TEST_CASE(a_restarted_process_serves_requests_received_at_startup,
                        system_fixture) {
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  for (int round = 0; round < 3; ++round) {
    gateway->kill();
    start();
    http_request request = request_to("/c/1");
    for (header_field& field : request.headers) {
      if (field.name == "Citronwharf-Deadline-Ms") {
        field.value = "14000";
      }
    }
    BOOST_TEST(call(callers, request).status == 200);
    wait_until_ready();
  }
}

// Load: more changes than are needed for a snapshot, so that a restarted
// process gets the document from it before its other parts run.
BOOST_FIXTURE_TEST_CASE(a_process_starts_from_its_snapshot, system_fixture) {
  constexpr int first = 7;
  constexpr int last = 40;
  BOOST_REQUIRE(run_until(loop, [&] { return publish(first).status == 200; }));
  for (int version = first + 1; version <= last; ++version) {
    BOOST_REQUIRE(publish(version).status == 200);
  }
  for (int round = 0; round < 2; ++round) {
    gateway->kill();
    start();
    wait_until_ready();
    BOOST_TEST(call(callers, request_to("/c/1")).body == "done");
    const http_response read =
        call(operators, {"GET", "/-/Config.Get", {}, "", ""});
    BOOST_TEST(json::parse(read.body).at("version") == last);
  }
}
