// Servers that leave, ask to be spared, answer twice, stall or are slow, behind
// a gateway in a real process.
#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>

#include "gateway_fixture.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

using steady = std::chrono::steady_clock;

struct two_desks : gateway_fixture {
  two_desks() {
    BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
    wait_served();
    wait_fleet_known();
  }

  // Lists another server of the service and waits until it is used.
  void add_desk() {
    add("s2", "desk", "", other_desk);
    BOOST_REQUIRE(run_until(loop, [&] {
      call(callers, request_to("/c/1"));
      return !other_desk.seen.empty();
    }));
  }

  // Runs the loop for a span.
  void pass(std::chrono::milliseconds span) {
    const auto end = steady::now() + span;
    run_until(loop, [&] { return steady::now() >= end; });
  }

  fake_server other_desk{loop};
};

http_response signed_reply(const http_request& request,
                           std::vector<header_field> more = {}) {
  more.push_back({"Citronwharf-Server-Stamp", "s"});
  more.push_back({"Citronwharf-Request-Id",
                  find_header(request.headers, "Citronwharf-Request-Id")});
  return reply(200, "done", std::move(more));
}

// Answers each request on its connections with raw bytes.
class raw_server {
 public:
  using answer = std::function<std::string(const std::string& request)>;

  raw_server(boost::asio::io_context& loop, answer answers)
      : acceptor_(loop, {boost::asio::ip::tcp::v4(), 0}),
        answers_(std::move(answers)) {
    accept();
  }
  std::string address() const {
    return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
  }

 private:
  using socket = boost::asio::ip::tcp::socket;

  void accept() {
    auto made = std::make_shared<socket>(acceptor_.get_executor());
    acceptor_.async_accept(*made, [this, made](auto error) {
      if (!error) {
        serve(made);
        accept();
      }
    });
  }
  void serve(const std::shared_ptr<socket>& at) {
    auto text = std::make_shared<std::string>();
    boost::asio::async_read_until(
        *at, boost::asio::dynamic_buffer(*text), "\r\n\r\n",
        [this, at, text](auto error, std::size_t) {
          if (error) {
            return;
          }
          boost::system::error_code ignored;
          boost::asio::write(*at, boost::asio::buffer(answers_(*text)),
                             ignored);
          serve(at);
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  answer answers_;
};

std::string raw_reply(const std::string& headers, const std::string& body) {
  return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                     headers, body.size(), body);
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_server_that_leaves_gets_no_further_request,
                        two_desks) {
  add_desk();
  desk.answers = [](const http_request& request,
                    std::unique_ptr<http_exchange> exchange) {
    exchange->respond(signed_reply(request, {{"Server-Leaving", "1"}}));
  };
  const std::size_t before = desk.seen.size();
  BOOST_REQUIRE(run_until(loop, [&] {
    BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
    return desk.seen.size() > before;
  }));
  // The list goes on naming it as ready.
  const std::size_t told = desk.seen.size();
  for (int round = 0; round < 30; ++round) {
    BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
  }
  BOOST_TEST(desk.seen.size() == told);
}

BOOST_FIXTURE_TEST_CASE(an_engine_that_leaves_gets_no_further_prompt,
                        two_desks) {
  const auto as_usual = decode.answers;
  const auto leaving = [](const http_request& request,
                          std::unique_ptr<http_exchange> exchange) {
    if (request.target == "/-/hold-take") {
      exchange->respond(
          reply(200, R"({"hold":"m1"})", {{"Server-Leaving", "1"}}));
    } else {
      exchange->respond(signed_reply(request));
    }
  };
  decode.answers = leaving;
  BOOST_REQUIRE(run_until(loop, [&] {
    call(callers, prompt_to("/s/1"));
    return !decode.seen.empty();
  }));
  const auto holds = [&] {
    return std::count_if(
        decode.seen.begin(), decode.seen.end(),
        [](const auto& each) { return each.target == "/-/hold-take"; });
  };
  const auto told = holds();
  for (int round = 0; round < 10; ++round) {
    BOOST_TEST(call(callers, prompt_to("/s/1")).status == 200);
  }
  BOOST_TEST(holds() == told);
}

BOOST_FIXTURE_TEST_CASE(a_key_withdrawn_during_a_wait_for_tokens_gets_401,
                        two_desks) {
  constexpr int tokens_per_second = 4000;
  constexpr std::size_t prompts = 10;
  int met = 0;  // rounds in which a request waited at the withdrawal
  for (int round = 0; round < 6; ++round) {
    const int version = 10 + 2 * round;
    BOOST_REQUIRE(publish(version, "k1", tokens_per_second).status == 200);
    wait_served();
    std::vector<http_response> got;
    std::vector<std::unique_ptr<http_call>> calls;
    calls.reserve(prompts);
    for (std::size_t each = 0; each < prompts; ++each) {
      calls.push_back(fetch(
          loop, {callers}, prompt_to("/s/1"),
          [&](absl::StatusOr<http_response> response, bool /*sent*/) {
            got.push_back(response.ok() ? *std::move(response) : reply(0, ""));
          }));
      pass(std::chrono::milliseconds(20));
    }
    BOOST_REQUIRE(publish(version + 1, "k2", tokens_per_second).status == 200);
    BOOST_REQUIRE(run_until(loop, [&] { return got.size() == prompts; }));
    const auto refused =
        std::find_if(got.begin(), got.end(),
                     [](const auto& each) { return each.status == 401; });
    if (refused != got.end()) {
      ++met;
      BOOST_TEST(find_header(refused->headers, "Retry-After").empty());
    }
    BOOST_REQUIRE(gateway->running());
  }
  BOOST_TEST(met >= 2);
}

BOOST_FIXTURE_TEST_CASE(
    prompts_that_engines_refuse_stay_within_the_retry_budget, two_desks) {
  fake_server more[2] = {fake_server(loop), fake_server(loop)};
  add("p2", "models", "prefill", more[0]);
  add("p3", "models", "prefill", more[1]);
  const auto refuse = [](const http_request& /*request*/,
                         std::unique_ptr<http_exchange> exchange) {
    exchange->respond(reply(503, "", {{"Citronwharf-Not-Run", "1"}}));
  };
  prefill.answers = refuse;
  more[0].answers = refuse;
  more[1].answers = refuse;
  const auto runs = [](const fake_server& at) {
    return std::count_if(
        at.seen.begin(), at.seen.end(),
        [](const http_request& each) { return each.target == "/s/1"; });
  };
  constexpr int waves = 40;
  constexpr int at_once = 8;
  int served = 0;
  for (int wave = 0; wave < waves; ++wave) {
    std::vector<std::unique_ptr<http_call>> calls;
    calls.reserve(at_once);
    int ended = 0;
    for (int each = 0; each < at_once; ++each) {
      calls.push_back(
          fetch(loop, {callers}, prompt_to("/s/1"),
                [&](absl::StatusOr<http_response> response, bool /*sent*/) {
                  ++ended;
                  served += response.ok() && response->status == 200 ? 1 : 0;
                }));
    }
    BOOST_REQUIRE(run_until(loop, [&] { return ended == at_once; }));
    pass(std::chrono::milliseconds(60));
  }
  const auto arrivals = runs(prefill) + runs(more[0]) + runs(more[1]) +
                        runs(decode) + runs(other_decode);
  constexpr int requests = waves * at_once;
  // The defaults of the settings, over one window.
  constexpr double allowed = 0.2 * requests + 60;
  BOOST_TEST(served >= requests * 9 / 10);
  BOOST_TEST(runs(prefill) > 0);
  BOOST_TEST(static_cast<double>(arrivals - requests) <= allowed);
}

BOOST_FIXTURE_TEST_CASE(a_server_that_asks_to_be_spared_is_spared, two_desks) {
  bool full = true;
  std::vector<steady::time_point> reached;
  steady::time_point refused;
  desk.answers = [&](const http_request& request,
                     std::unique_ptr<http_exchange> exchange) {
    reached.push_back(steady::now());
    if (!full) {
      exchange->respond(signed_reply(request));
      return;
    }
    refused = steady::now();
    exchange->respond(
        reply(503, "", {{"Citronwharf-Not-Run", "1"}, {"Retry-After", "1.6"}}));
  };
  BOOST_TEST(call(callers, request_to("/c/1")).status == 503);
  full = false;
  const auto first = refused;
  int early = 0;
  while (steady::now() - first < std::chrono::milliseconds(1500)) {
    const auto asked = steady::now();
    const http_response got = call(callers, request_to("/c/1"));
    // What can't be served is answered at once, with the time to come back.
    BOOST_TEST((got.status == 200 || got.status == 503));
    if (got.status == 503) {
      BOOST_TEST(!find_header(got.headers, "Retry-After").empty());
      BOOST_TEST((steady::now() - asked < std::chrono::milliseconds(200)));
    }
    pass(std::chrono::milliseconds(20));
  }
  for (const auto& at : reached) {
    const auto after = at - first;
    early += after > std::chrono::milliseconds(500) &&
                     after < std::chrono::milliseconds(1600)
                 ? 1
                 : 0;
  }
  BOOST_TEST(early <= 2);
  pass(std::chrono::milliseconds(200));
  BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
}

// A body that another process on the address made up is nobody's answer.
BOOST_FIXTURE_TEST_CASE(a_success_without_signature_reaches_no_caller,
                        two_desks) {
  desk.answers = [](const http_request& /*request*/,
                    std::unique_ptr<http_exchange> exchange) {
    exchange->respond(reply(200, "not the desk's"));
  };
  const http_response got = call(callers, request_to("/c/1"));
  BOOST_TEST(got.status == 502);
  BOOST_TEST(got.body.find("not the desk's") == std::string::npos);
}

// The second answer to a request comes when its connection already serves
// another call, which has an answer of its own.
BOOST_FIXTURE_TEST_CASE(a_late_second_answer_reaches_nobody_else, two_desks) {
  std::string last_id;
  int holds = 0;
  raw_server engine(loop, [&](const std::string& request) -> std::string {
    const auto id_at = request.find("Citronwharf-Request-Id: ");
    const std::string stale = last_id.empty()
                                  ? ""
                                  : raw_reply(
                                        "Citronwharf-Server-Stamp: s\r\n"
                                        "Citronwharf-Request-Id: " +
                                            last_id + "\r\n",
                                        event(1));
    if (request.find("hold-take") != std::string::npos) {
      return stale + raw_reply("", fmt::format(R"({{"hold":"m{}"}})", ++holds));
    }
    if (id_at == std::string::npos) {
      return stale + raw_reply("", "{}");
    }
    const auto from = id_at + std::string("Citronwharf-Request-Id: ").size();
    last_id = request.substr(from, request.find('\r', from) - from);
    return stale + raw_reply(fmt::format("Citronwharf-Server-Stamp: s\r\n"
                                         "Citronwharf-Request-Id: {}\r\n",
                                         last_id),
                             event(1) + event(2));
  });
  instances = json::array();
  for (const std::string stage : {"prefill", "decode"}) {
    json entry{
        {"id", "e-" + stage},
        {"service", "models"},
        {"addr", stage == "prefill" ? prefill.address() : engine.address()},
        {"zone", "z1"},
        {"slots", 8},
        {"state", "ready"},
        {"stage", stage}};
    instances.push_back(entry);
  }
  BOOST_REQUIRE(run_until(loop, [&] {
    call(callers, prompt_to("/s/1"));
    return holds > 0;
  }));
  for (int round = 0; round < 10; ++round) {
    const http_response got = call(callers, prompt_to("/s/1"));
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.body == event(1) + event(2));
  }
}

// The engine sends a byte now and then, and no event: the stream goes on
// elsewhere.
BOOST_FIXTURE_TEST_CASE(a_stream_that_only_trickles_goes_on_elsewhere,
                        two_desks) {
  std::vector<std::shared_ptr<http_exchange>> trickling;
  const auto trickle = [&](const http_request& request,
                           std::unique_ptr<http_exchange> exchange) {
    if (answers_beside(request, *exchange)) {
      return;
    }
    if (!find_header(request.headers, "Last-Event-Id").empty()) {
      gateway_fixture::stream_of(3)(request, std::move(exchange));
      return;
    }
    exchange->start_stream(reply(200, "",
                                 {{"Citronwharf-Server-Stamp", "s"},
                                  {"Content-Type", "text/event-stream"}}));
    exchange->write(event(1));
    trickling.push_back(std::move(exchange));
  };
  decode.answers = trickle;
  other_decode.answers = trickle;
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
  const auto began = steady::now();
  while (!ended && steady::now() - began < std::chrono::seconds(5)) {
    for (const auto& each : trickling) {
      each->write(":");
    }
    pass(std::chrono::milliseconds(200));
  }
  BOOST_TEST(ended);
  BOOST_TEST(got.body == event(1) + event(2) + event(3));
}

// A route that bears pauses of a second gets its stream from one engine.
BOOST_FIXTURE_TEST_CASE(a_slow_sound_stream_is_left_alone, two_desks) {
  gap_objective_ms = 1000;
  BOOST_REQUIRE(publish(8).status == 200);
  int sent = 0;
  std::shared_ptr<http_exchange> slow;
  int streams = 0;
  const auto answer = [&](const http_request& request,
                          std::unique_ptr<http_exchange> exchange) {
    if (answers_beside(request, *exchange)) {
      return;
    }
    ++streams;
    exchange->start_stream(reply(200, "",
                                 {{"Citronwharf-Server-Stamp", "s"},
                                  {"Content-Type", "text/event-stream"}}));
    exchange->write(event(++sent));
    slow = std::move(exchange);
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
  BOOST_REQUIRE(run_until(loop, [&] { return slow != nullptr; }));
  pass(std::chrono::milliseconds(1200));
  slow->write(event(++sent));
  slow->finish();
  BOOST_REQUIRE(run_until(loop, [&] { return ended; }));
  BOOST_TEST(streams == 1);
  BOOST_TEST(got.body == event(1) + event(2));
}
