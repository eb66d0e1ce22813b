// Tests of a gateway process whose engines crash whenever they begin an answer
// on a certain part of a prompt.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "raw_server.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using citronwharf::find_header;
using citronwharf::http_call;
using citronwharf::http_exchange;
using citronwharf::http_request;
using citronwharf::http_response;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr int engine_count = 10;
constexpr int events_per_answer = 5;
constexpr auto event_gap = milliseconds(40);
constexpr auto crash_delay = milliseconds(60);
constexpr auto restart_time = milliseconds(400);
constexpr auto crashing_interval = milliseconds(100);
constexpr auto sound_interval = milliseconds(50);
// Gateways may learn of the crashes for this long after the fifth one.
constexpr auto learning_time = milliseconds(3000);
constexpr auto observed_time = milliseconds(4000);
constexpr int learned_after = 5;  // crashes
constexpr int max_late_sends = 3;

struct crashing_engine {
  std::string id;
  std::unique_ptr<raw_server> server;
  std::vector<std::shared_ptr<raw_connection>> open;
  bool up = true;
  int starts = 1;
};

struct sent_request {
  bool sound = false;
  steady_clock::time_point sent_at;
  bool ended = false;
  http_response got;
};

struct crashing_part_fixture : gateway_fixture {
  crashing_part_fixture() {
    for (int number = 0; number < engine_count; ++number) {
      engines.emplace_back();
      crashing_engine& engine = engines.back();
      engine.id = fmt::format("e{}", number);
      engine.server = std::make_unique<raw_server>(
          loop, [this, &engine](const std::string& request,
                                const std::shared_ptr<raw_connection>& from) {
            respond(engine, request, from);
          });
    }
    const auto answer_prefill = prefill.answers;
    prefill.answers = [this, answer_prefill](
                          const http_request& request,
                          std::unique_ptr<http_exchange> exchange) {
      count_send(find_header(request.headers, "Citronwharf-Prefix-Hash"));
      answer_prefill(request, std::move(exchange));
    };
    list_engines();
    BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
    wait_until_ready();
    wait_until_fleet_is_known();
  }

  void list_engines() {
    instances = json::array();
    add("p1", "models", "prefill", prefill);
    for (const crashing_engine& engine : engines) {
      instances.push_back(json{{"id", engine.id},
                               {"service", "models"},
                               {"addr", engine.server->address()},
                               {"zone", "z1"},
                               {"version", "v1"},
                               {"slots", 8},
                               {"state", "ready"},
                               {"stage", "decode"}});
    }
  }

  void after(milliseconds span, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(loop);
    timer->expires_after(span);
    timer->async_wait(
        [timer, action = std::move(action)](boost::system::error_code error) {
          if (!error) {
            action();
          }
        });
  }

  bool has_crashing_part(const std::string& prompt) const {
    return prompt.find(crashing_part + ":") != std::string::npos;
  }

  void count_send(const std::string& prompt) {
    if (has_crashing_part(prompt)) {
      crashing_sends.push_back(steady_clock::now());
    }
  }

  void respond(crashing_engine& engine, const std::string& request,
               const std::shared_ptr<raw_connection>& from) {
    if (!engine.up) {
      from->reset();
      return;
    }
    engine.open.push_back(from);
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    if (request.find("hold-take") != std::string::npos) {
      from->write(raw_reply("", R"({"hold":"m1"})"));
      return;
    }
    if (id.empty()) {
      from->write(raw_reply("", "{}"));
      return;
    }
    from->write(
        fmt::format("HTTP/1.1 200 -\r\nCitronwharf-Server-Stamp: s\r\n"
                    "Citronwharf-Request-Id: {}\r\n"
                    "Content-Type: text/event-stream\r\n\r\n",
                    id));
    const std::string prompt = raw_header(request, "Citronwharf-Prefix-Hash");
    count_send(prompt);
    const int starts = engine.starts;
    if (has_crashing_part(prompt)) {
      after(crash_delay, [this, &engine, starts] {
        if (engine.up && engine.starts == starts) {
          crash(engine);
        }
      });
      return;
    }
    const std::string last_event = raw_header(request, "Last-Event-Id");
    write_event(from, last_event.empty() ? 1 : std::stoi(last_event) + 1);
  }

  void write_event(const std::shared_ptr<raw_connection>& to, int id) {
    after(event_gap, [this, to, id] {
      if (id > events_per_answer) {
        to->close();
        return;
      }
      to->write(event(id));
      write_event(to, id + 1);
    });
  }

  // Half of the engines come back under the id that they had.
  void crash(crashing_engine& engine) {
    crashes.push_back(steady_clock::now());
    engine.up = false;
    for (const auto& connection : std::exchange(engine.open, {})) {
      connection->reset();
    }
    after(restart_time, [this, &engine] {
      engine.up = true;
      ++engine.starts;
      if (&engine - &engines.front() < engine_count / 2) {
        engine.id += "x";
      }
      list_engines();
    });
  }

  // No two requests are alike; both kinds share the caller's part.
  void send(bool sound) {
    sent.emplace_back();
    sent_request& to = sent.back();
    to.sound = sound;
    to.sent_at = steady_clock::now();
    http_request request = prompt_to(last_id % 2 == 0 ? "/r/1" : "/s/1");
    request.headers.push_back(
        {"Citronwharf-Prefix-Hash",
         fmt::format("a9:400,{}:300,f{}:100",
                     sound ? fmt::format("c{}", last_id % 3) : crashing_part,
                     last_id)});
    calls.push_back(citronwharf::fetch(
        loop, {callers}, request,
        [&to](absl::StatusOr<http_response> response, bool /*sent*/) {
          to.got = response.ok() ? *std::move(response) : reply(0, "");
          to.ended = true;
        }));
  }

  void send_each(milliseconds interval, bool sound) {
    if (stopped) {
      return;
    }
    send(sound);
    after(interval, [this, interval, sound] { send_each(interval, sound); });
  }

  void run_loop_for(milliseconds span) {
    const auto end = steady_clock::now() + span;
    run_until(loop, [&] { return steady_clock::now() >= end; });
  }

  // Returns whether the log names this event.
  bool logged(const std::string& name) const {
    return folder.read("g1.log").find("\"" + name + "\"") != std::string::npos;
  }

  std::string crashing_part = "bad1";
  bool stopped = false;
  std::deque<crashing_engine> engines;
  std::deque<sent_request> sent;
  std::vector<std::unique_ptr<http_call>> calls;
  std::vector<steady_clock::time_point> crashes;
  std::vector<steady_clock::time_point> crashing_sends;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(part_that_crashes_engines_is_not_sent_on_for_ever,
                        crashing_part_fixture) {
  send_each(sound_interval, true);
  send_each(crashing_interval, false);
  BOOST_REQUIRE(run_until(loop, [&] {
    return crashes.size() >= static_cast<std::size_t>(learned_after);
  }));
  const auto learned = crashes[learned_after - 1] + learning_time;
  run_loop_for(learning_time + observed_time);
  stopped = true;
  BOOST_REQUIRE(run_until(loop, [&] {
    return std::all_of(sent.begin(), sent.end(),
                       [](const sent_request& each) { return each.ended; });
  }));
  const auto late_sends =
      std::count_if(crashing_sends.begin(), crashing_sends.end(),
                    [&](auto at) { return at > learned; });
  BOOST_TEST_MESSAGE(crashes.size() << " crashes, " << crashing_sends.size()
                                    << " sends with the part");
  BOOST_TEST(late_sends <= max_late_sends);
  int sound = 0;
  int sound_served = 0;
  int refused = 0;
  int crashing = 0;
  for (const sent_request& each : sent) {
    if (each.sent_at <= learned) {
      continue;
    }
    if (each.sound) {
      ++sound;
      sound_served += each.got.status == status_ok ? 1 : 0;
    } else {
      ++crashing;
      refused += each.got.status == status_unavailable &&
                         !find_header(each.got.headers, "Retry-After").empty()
                     ? 1
                     : 0;
    }
  }
  BOOST_TEST(sound > 0);
  BOOST_TEST(sound_served == sound);
  BOOST_TEST(refused == crashing);
}

// Header values may have bytes that aren't UTF-8.
BOOST_FIXTURE_TEST_CASE(part_with_any_bytes_is_quarantined,
                        crashing_part_fixture) {
  crashing_part = "bad\xff\xc3";
  send_each(sound_interval, true);
  send_each(crashing_interval, false);
  BOOST_TEST(run_until(
      loop, [&] { return !gateway->running() || logged("part_quarantined"); }));
  run_loop_for(milliseconds(1000));  // within which the quarantine is saved
  stopped = true;
  BOOST_REQUIRE(gateway->running());
  BOOST_REQUIRE(run_until(loop, [&] {
    return std::all_of(sent.begin(), sent.end(),
                       [](const sent_request& each) { return each.ended; });
  }));
  BOOST_TEST(run_until(
      loop, [&] { return call(callers, request_to("/l/x")).status != 0; }));
  send(false);
  BOOST_REQUIRE(run_until(loop, [&] { return sent.back().ended; }));
  BOOST_TEST(sent.back().got.status == status_unavailable);
}
