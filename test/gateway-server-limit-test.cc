// Tests of a fleet whose servers name the number of requests a second that they
// take.
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <string>
#include <vector>

#include "gateway_fleet.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using std::chrono::steady_clock;

namespace {

// A server that has named its limit may get 1.5 times as much and 5 requests
// more in any 4 s, from 3 s after it first named it.
constexpr auto learning_time = std::chrono::seconds(3);
constexpr auto window = std::chrono::seconds(4);
constexpr double max_excess = 1.5;
constexpr double max_extra_requests = 5;
constexpr auto request_interval = std::chrono::milliseconds(20);
constexpr auto load_time = std::chrono::milliseconds(9000);
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

// A server that may name a limit.
struct limited_server {
  explicit limited_server(boost::asio::io_context& loop) : server(loop) {
    server.answers = [this](const http_request& request,
                            std::unique_ptr<http_exchange> exchange) {
      arrivals.push_back(steady_clock::now());
      respond(request, *exchange);
    };
  }

  void respond(const http_request& request, http_exchange& exchange) {
    const std::string id =
        find_header(request.headers, "Citronwharf-Request-Id");
    std::vector<header_field> headers{{"Citronwharf-Server-Stamp", "s"},
                                      {"Citronwharf-Request-Id", id}};
    if (!limit.empty()) {
      headers.push_back({"Server-Limit", limit});
      if (!first_named) {
        first_named = arrivals.back();
      }
    }
    if (request.target == "/-/hold-take") {
      exchange.respond(reply(200, R"({"hold":"m1"})"));
    } else if (!generates) {
      exchange.respond(reply(200, "done", std::move(headers)));
    } else if (id.empty()) {
      exchange.respond(reply(200, "{}"));
    } else if (find_header(request.headers, "Citronwharf-Stage") == "prefill") {
      exchange.respond(
          reply(200, R"({"handle":"h1","tokens":1000})", std::move(headers)));
    } else {
      headers.push_back({"Content-Type", "text/event-stream"});
      exchange.start_stream(reply(200, "", std::move(headers)));
      exchange.write(event(1) + event(2));
      exchange.finish();
    }
  }

  // Returns the most requests in any window that begins after the fleet has had
  // time to learn the limit.
  std::size_t max_in_window() const {
    std::size_t most = 0;
    for (auto from = arrivals.begin(); from != arrivals.end(); ++from) {
      if (first_named && *from >= *first_named + learning_time) {
        const auto to = std::lower_bound(from, arrivals.end(), *from + window);
        most = std::max(most, static_cast<std::size_t>(to - from));
      }
    }
    return most;
  }

  std::size_t arrivals_since(steady_clock::time_point at) const {
    return static_cast<std::size_t>(std::count_if(
        arrivals.begin(), arrivals.end(),
        [&](steady_clock::time_point each) { return each >= at; }));
  }

  fake_server server;
  bool generates = false;
  std::string limit;  // "": names none
  std::optional<steady_clock::time_point> first_named;
  std::vector<steady_clock::time_point> arrivals;
};

std::size_t max_allowed(double limit) {
  const double seconds = std::chrono::duration<double>(window).count();
  return static_cast<std::size_t>(
      std::floor(limit * seconds * max_excess + max_extra_requests));
}

struct limit_fixture : gateway_fleet {
  void start_plain() {
    list("s1", "desk", "", limited.server.address());
    list("s2", "desk", "", other.server.address());
    start_all();
  }

  void start_engines(const std::string& limited_stage) {
    limited.generates = true;
    other.generates = true;
    list("e1", "models", limited_stage, limited.server.address());
    list("e2", "models", limited_stage, other.server.address());
    if (limited_stage == "prefill") {
      rest.generates = true;
      list("e3", "models", "decode", rest.server.address());
    }
    start_all();
  }

  void start_all() {
    start_leader();
    start_follower();
    publish_all();
  }

  // Sends requests to both gateways in turn and waits until all have ended.
  void load(const std::vector<std::string>& paths) {
    std::size_t number = 0;
    repeat(request_interval, load_time, [&] {
      http_request request = request_to(paths[number % paths.size()]);
      request.headers.push_back({"Citronwharf-Token-Count", "1000,20"});
      send(number % 2 == 0 ? leader_host : follower_host, request);
      ++number;
    });
    wait_until_all_ended();
  }

  std::size_t count(int status) const {
    return static_cast<std::size_t>(std::count_if(
        sent.begin(), sent.end(),
        [&](const sent_request& each) { return each.got.status == status; }));
  }

  limited_server limited{loop};
  limited_server other{loop};
  limited_server rest{loop};
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(plain_server_gets_no_more_than_the_limit_it_names,
                        limit_fixture) {
  start_plain();
  limited.limit = "4.3";
  load({"/c/1", "/l/1"});
  BOOST_REQUIRE(limited.first_named.has_value());
  BOOST_TEST(limited.max_in_window() <= max_allowed(4.3));
  BOOST_TEST(count(status_ok) == sent.size());
}

BOOST_FIXTURE_TEST_CASE(decode_engine_gets_no_more_than_the_limit_it_names,
                        limit_fixture) {
  start_engines("decode");
  limited.limit = "4";
  load({"/s/1"});
  BOOST_REQUIRE(limited.first_named.has_value());
  BOOST_TEST(limited.max_in_window() <= max_allowed(4));
  BOOST_TEST(count(status_ok) == sent.size());
}

BOOST_FIXTURE_TEST_CASE(prefill_engine_gets_no_more_than_the_limit_it_names,
                        limit_fixture) {
  start_engines("prefill");
  limited.limit = "4";
  load({"/s/1"});
  BOOST_REQUIRE(limited.first_named.has_value());
  BOOST_TEST(limited.max_in_window() <= max_allowed(4));
  BOOST_TEST(count(status_ok) == sent.size());
}

BOOST_FIXTURE_TEST_CASE(all_servers_at_their_limit_are_used_up_to_it,
                        limit_fixture) {
  start_plain();
  limited.limit = "10";
  other.limit = "10";
  load({"/c/1", "/l/1"});
  for (const limited_server* each : {&limited, &other}) {
    BOOST_REQUIRE(each->first_named.has_value());
    BOOST_TEST(each->max_in_window() <= max_allowed(10));
    // At least half of the limit is used.
    BOOST_TEST(each->max_in_window() >= 20U);
  }
  BOOST_TEST(count(status_ok) + count(status_unavailable) == sent.size());
  for (const sent_request& each : sent) {
    if (each.got.status == status_unavailable) {
      BOOST_TEST(!find_header(each.got.headers, "Retry-After").empty());
    }
  }
}

BOOST_FIXTURE_TEST_CASE(server_that_names_no_limit_any_more_gets_its_share,
                        limit_fixture) {
  start_plain();
  limited.limit = "4";
  after(std::chrono::milliseconds(4000), [&] { limited.limit.clear(); });
  load({"/c/1", "/l/1"});
  const auto end = limited.arrivals.back();
  BOOST_TEST(limited.arrivals_since(end - std::chrono::seconds(2)) > 25U);
  BOOST_TEST(count(status_ok) == sent.size());
}

BOOST_FIXTURE_TEST_CASE(limit_holds_while_a_gateway_restarts, limit_fixture) {
  start_plain();
  limited.limit = "4";
  after(std::chrono::milliseconds(4000), [&] {
    follower->kill();
    follower.reset();
    start_follower();
  });
  load({"/c/1", "/l/1"});
  BOOST_TEST(limited.max_in_window() <= max_allowed(4));
}
