// Tests of a fleet whose servers end whenever they begin to run a certain
// request.
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fleet.h"
#include "raw_server.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using std::chrono::steady_clock;

namespace {

// The request may reach servers in three more retries that are sent later than
// this after it has ended the third server.
constexpr auto learning_time = std::chrono::seconds(3);
constexpr std::size_t learned_after = 3;
constexpr std::ptrdiff_t max_late_sends = 3;
constexpr auto run_time = std::chrono::milliseconds(30);
constexpr auto restart_time = std::chrono::milliseconds(1500);
constexpr auto tick = std::chrono::milliseconds(25);
constexpr auto load_time = std::chrono::milliseconds(11000);
constexpr int ticks_per_crashing_request = 10;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
const std::string crashing_body = "crash";

struct crashing_server {
  std::string id;
  std::unique_ptr<raw_server> server;
  std::vector<std::shared_ptr<raw_connection>> open;
  bool up = true;
  int starts = 1;
};

struct crashing_request_fixture : gateway_fleet {
  crashing_request_fixture() {
    for (const char* service : {"desk", "models"}) {
      for (int number = 0; number < 3; ++number) {
        add_server(service, number);
      }
    }
    list_servers();
    start_leader();
    start_follower();
    publish_all(true);
  }

  void add_server(const std::string& service, int number) {
    servers.emplace_back();
    crashing_server& added = servers.back();
    added.id = fmt::format("{}{}", service, number);
    added.server = std::make_unique<raw_server>(
        loop, [this, &added](const std::string& request,
                             const std::shared_ptr<raw_connection>& from) {
          respond(added, request, from);
        });
  }

  void list_servers() {
    instances = json::array();
    for (const crashing_server& each : servers) {
      const bool generates = each.id.rfind("models", 0) == 0;
      list(each.id, generates ? "models" : "desk", generates ? "decode" : "",
           each.server->address());
    }
  }

  void respond(crashing_server& server, const std::string& request,
               const std::shared_ptr<raw_connection>& from) {
    server.open.push_back(from);
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    if (id.empty()) {
      from->write(raw_reply("", R"({"hold":"m1"})"));
      return;
    }
    const bool crashes = request.find(crashing_body) != std::string::npos;
    if (crashes) {
      crashing_sends.push_back(steady_clock::now());
    }
    const int starts = server.starts;
    after(run_time, [this, &server, from, id, crashes, starts,
                     streams = request.find(" /s/") != std::string::npos] {
      if (!server.up || server.starts != starts) {
        return;
      }
      if (crashes) {
        crash(server);
        return;
      }
      const std::string fields = fmt::format(
          "Citronwharf-Server-Stamp: s\r\nCitronwharf-Request-Id: {}\r\n", id);
      from->write(raw_reply(fields, streams ? event(1) + event(2) : "done"));
    });
  }

  // The server comes back under another id.
  void crash(crashing_server& server) {
    crashes.push_back(steady_clock::now());
    server.up = false;
    server.server->stop();
    for (const auto& connection : std::exchange(server.open, {})) {
      connection->close();
    }
    after(restart_time, [this, &server] {
      server.up = true;
      ++server.starts;
      server.id += "x";
      server.server->restart();
      list_servers();
    });
  }

  void send_to_next_gateway(const http_request& request) {
    http_request with_tokens = request;
    with_tokens.headers.push_back({"Citronwharf-Token-Count", "1000,20"});
    send(sent.size() % 2 == 0 ? leader_host : follower_host, with_tokens);
  }

  // Sends sound requests, no two alike, and the crashing one again and again.
  void load(const std::string& path, const std::string& crashing_path) {
    int number = 0;
    repeat(tick, load_time, [&] {
      ++number;
      send_to_next_gateway(request_to(path + std::to_string(number), "sound"));
      if (number % ticks_per_crashing_request == 0) {
        crashing_requests.push_back(sent.size());
        send_to_next_gateway(request_to(crashing_path, crashing_body));
      }
    });
    wait_until_all_ended();
  }

  void check_not_sent_on(const std::string& path,
                         const std::string& crashing_path) {
    load(path, crashing_path);
    // If it never ended a third server, nothing is late.
    const auto learned = crashes.size() < learned_after
                             ? crashes.back() + learning_time
                             : crashes[learned_after - 1] + learning_time;
    const auto late_sends =
        std::count_if(crashing_sends.begin(), crashing_sends.end(),
                      [&](auto at) { return at > learned; });
    BOOST_TEST_MESSAGE(crashes.size() << " servers ended");
    BOOST_TEST(late_sends <= max_late_sends);
    int sound_refused = 0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
      const bool crashing =
          std::count(crashing_requests.begin(), crashing_requests.end(), i) > 0;
      if (sent[i].sent_at <= learned) {
        continue;
      }
      if (!crashing) {
        sound_refused += sent[i].got.status == status_ok ? 0 : 1;
      } else {
        BOOST_TEST(sent[i].got.status == status_unavailable);
        BOOST_TEST(!find_header(sent[i].got.headers, "Retry-After").empty());
      }
    }
    BOOST_TEST(sound_refused == 0);
  }

  std::deque<crashing_server> servers;
  std::vector<steady_clock::time_point> crashes;
  std::vector<steady_clock::time_point> crashing_sends;
  std::vector<std::size_t> crashing_requests;  // indices in `sent`
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(safe_request_that_crashes_servers_is_not_sent_for_ever,
                        crashing_request_fixture) {
  check_not_sent_on("/l/", "/l/crash");
}

BOOST_FIXTURE_TEST_CASE(
    unsafe_request_that_crashes_servers_is_not_sent_for_ever,
    crashing_request_fixture) {
  check_not_sent_on("/c/", "/c/crash");
}

BOOST_FIXTURE_TEST_CASE(stream_that_crashes_servers_is_not_sent_for_ever,
                        crashing_request_fixture) {
  check_not_sent_on("/s/", "/s/crash");
}

// All requests are alike, as reads without a body are.
BOOST_FIXTURE_TEST_CASE(sound_request_is_sent_again_after_all_servers_crashed,
                        crashing_request_fixture) {
  int number = 0;
  repeat(tick, std::chrono::milliseconds(6000), [&] {
    if (++number % 80 == 20) {
      for (crashing_server& each : servers) {
        if (each.up) {
          crash(each);
        }
      }
    }
    send_to_next_gateway(request_to("/l/1", "sound"));
  });
  wait_until_all_ended();
  // Until all are back under their new ids.
  const auto back =
      crashes.back() + restart_time + std::chrono::milliseconds(700);
  const std::size_t first = sent.size();
  run_until(loop, [&] { return steady_clock::now() >= back; });
  repeat(tick, std::chrono::milliseconds(500),
         [&] { send_to_next_gateway(request_to("/l/1", "sound")); });
  wait_until_all_ended();
  BOOST_TEST(crashes.size() >= 6U);
  BOOST_TEST(std::all_of(
      sent.begin() + static_cast<std::ptrdiff_t>(first), sent.end(),
      [](const sent_request& each) { return each.got.status == status_ok; }));
}
