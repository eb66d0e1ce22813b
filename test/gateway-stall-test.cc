// Tests of a gateway process that is suspended, so that responses and expired
// timeouts wait for it together.
#include <fmt/format.h>
#include <sys/wait.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <thread>

#include "gateway_fixture.h"
#include "raw_server.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using citronwharf::http_response;

namespace {

constexpr auto longer_than_hold_timeout = std::chrono::milliseconds(260);

// Two decode engines. The hold that is requested first is answered while the
// gateway is suspended.
struct stall_fixture : gateway_fixture {
  stall_fixture() {
    instances = json::array();
    for (const raw_server* engine : {&first, &second}) {
      instances.push_back(json{{"id", fmt::format("e{}", instances.size())},
                               {"service", "models"},
                               {"addr", engine->address()},
                               {"zone", "z1"},
                               {"version", "v1"},
                               {"slots", 8},
                               {"state", "ready"},
                               {"stage", "decode"}});
    }
    BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
    wait_until_ready();
  }

  void respond(const std::string& request,
               const std::shared_ptr<raw_connection>& caller) {
    const std::string hold = R"({"hold":"m1"})";
    const bool takes_hold = request.find("hold-take") != std::string::npos;
    if (takes_hold && stall_first_hold) {
      stall_first_hold = false;
      caller->write(fmt::format("HTTP/1.1 200 -\r\nContent-Length: {}\r\n\r\n",
                                hold.size()));
      suspend_before = [caller, hold] { caller->write(hold); };
      return;
    }
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    if (takes_hold) {
      caller->write(raw_reply("", hold));
    } else if (id.empty()) {
      caller->write(raw_reply("", "{}"));
    } else {
      ++executions;
      caller->write(
          fmt::format("HTTP/1.1 200 -\r\nCitronwharf-Server-Stamp: s\r\n"
                      "Citronwharf-Request-Id: {}\r\n"
                      "Content-Type: text/event-stream\r\n\r\n{}",
                      id, event(1)));
      streams.push_back(caller);
    }
  }

  // Runs `action` while the gateway is suspended for `span`.
  void suspend_gateway(std::chrono::milliseconds span,
                       const std::function<void()>& action) const {
    gateway->send_signal(SIGSTOP);
    int status = 0;
    BOOST_REQUIRE(waitpid(gateway->pid(), &status, WUNTRACED) ==
                  gateway->pid());
    action();
    std::this_thread::sleep_for(span);
    gateway->send_signal(SIGCONT);
  }

  void run_loop_for(std::chrono::milliseconds span) {
    const auto end = std::chrono::steady_clock::now() + span;
    run_until(loop, [&] { return std::chrono::steady_clock::now() >= end; });
  }

  bool stall_first_hold = true;
  int executions = 0;
  std::function<void()> suspend_before;
  std::vector<std::shared_ptr<raw_connection>> streams;
  raw_server first{loop, [this](const std::string& request,
                                const std::shared_ptr<raw_connection>& caller) {
                     respond(request, caller);
                   }};
  raw_server second{loop,
                    [this](const std::string& request,
                           const std::shared_ptr<raw_connection>& caller) {
                      respond(request, caller);
                    }};
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(
    stream_is_sent_once_if_its_hold_is_answered_and_times_out_at_once,
    stall_fixture) {
  http_response got;
  bool ended = false;
  const auto running = citronwharf::fetch(
      loop, {callers}, prompt_to("/s/1"),
      [&](absl::StatusOr<http_response> response, bool /*sent*/) {
        got = response.ok() ? *std::move(response) : reply(0, "");
        ended = true;
      });
  BOOST_REQUIRE(run_until(loop, [&] { return suspend_before != nullptr; }));
  // The gateway has read the head of the response.
  run_loop_for(std::chrono::milliseconds(50));
  suspend_gateway(longer_than_hold_timeout, suspend_before);
  run_loop_for(std::chrono::milliseconds(300));
  for (const auto& stream : streams) {
    stream->write(event(2));
    stream->close();
  }
  BOOST_REQUIRE(run_until(loop, [&] { return ended; }));
  BOOST_TEST(executions == 1);
  BOOST_TEST(got.status == 200);
  BOOST_TEST(got.body == event(1) + event(2));
}
