// Tests of gateway processes in front of engines of two software versions,
// whose events must not be joined in one stream, neither within an answer nor
// when the caller resumes the stream, at any process and after restarts.
#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <list>
#include <string>

#include "gateway_fixture.h"
#include "versioned_engines.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using namespace citronwharf;        // NOLINT(google-build-using-namespace)

namespace {

struct version_fixture : gateway_fixture {
  version_fixture() { instances = json::array(); }

  versioned_engine& add_engine(const std::string& version) {
    engines.emplace_back(loop, fmt::format("e{}", engines.size()), version);
    instances.push_back(engines.back().entry());
    return engines.back();
  }

  // Two engines of each of two versions, which fall silent after the first
  // event of a stream.
  void add_silent_engines() {
    for (const char* version : {"v1", "v2", "v1", "v2"}) {
      versioned_engine& engine = add_engine(version);
      engine.first_events = 1;
      engine.stays_silent = true;
    }
  }

  void remove(const versioned_engine& engine) {
    json left = json::array();
    for (const json& entry : instances) {
      if (entry.at("id") != engine.id) {
        left.push_back(entry);
      }
    }
    instances = left;
  }

  void prepare() {
    BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
    wait_until_ready();
    wait_until_fleet_is_known();
  }

  void restart_after_kill() {
    gateway->kill();
    start();
    wait_until_ready();
  }

  std::list<versioned_engine> engines;
  stream_caller caller{loop, last_id, "/r/1"};
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(broken_stream_goes_on_at_the_version_that_began_it,
                        version_fixture) {
  for (const char* version : {"v1", "v1", "v2", "v2", "v3", "v3"}) {
    add_engine(version).first_events = 1;
  }
  prepare();
  int whole = 0;
  constexpr int streams = 24;
  for (int number = 0; number < streams; ++number) {
    const received_stream got = caller.get(callers, caller.request());
    BOOST_TEST(got.versions.size() == 1U);
    whole += got.whole() ? 1 : 0;
  }
  BOOST_TEST(whole >= streams / 2);
}

BOOST_FIXTURE_TEST_CASE(
    stream_that_breaks_off_before_its_version_is_stored_goes_on,
    version_fixture) {
  for (const char* version : {"v1", "v1", "v2", "v2", "v3", "v3"}) {
    versioned_engine& engine = add_engine(version);
    engine.first_events = 1;
    engine.break_off_after = std::chrono::milliseconds(3);
  }
  prepare();
  int whole = 0;
  constexpr int streams = 24;
  for (int number = 0; number < streams; ++number) {
    const received_stream got = caller.get(callers, caller.request());
    BOOST_TEST(got.versions.size() == 1U);
    whole += got.whole() ? 1 : 0;
  }
  // Engines that broke off are avoided for a while.
  BOOST_TEST(whole >= streams / 2);
  int begun = 0;
  for (const versioned_engine& engine : engines) {
    begun += engine.begun;
  }
  BOOST_TEST(begun == streams);
}

BOOST_FIXTURE_TEST_CASE(silent_engine_is_replaced_by_one_of_its_version,
                        version_fixture) {
  add_silent_engines();
  prepare();
  for (int number = 0; number < 6; ++number) {
    const received_stream got = caller.get(callers, caller.request());
    BOOST_TEST(got.versions.size() == 1U);
    BOOST_TEST(got.whole());
  }
}

BOOST_FIXTURE_TEST_CASE(
    broken_stream_ends_at_once_if_no_engine_of_its_version_is_left,
    version_fixture) {
  versioned_engine& first = add_engine("v1");
  first.first_events = 1;
  prepare();
  versioned_engine& second = add_engine("v2");
  BOOST_REQUIRE(run_until(loop, [&] {
    return folder.read("g1.log").find(R"("servers":2)") != std::string::npos;
  }));
  // New streams may begin at the other version.
  for (int number = 0; number < 8; ++number) {
    const auto sent_at = std::chrono::steady_clock::now();
    const received_stream got = caller.get(callers, caller.request());
    BOOST_TEST(got.versions.size() == 1U);
    BOOST_TEST((std::chrono::steady_clock::now() - sent_at <
                std::chrono::milliseconds(1000)));
  }
  BOOST_TEST(first.begun > 0);
  BOOST_TEST(second.resumed == 0);
}

BOOST_FIXTURE_TEST_CASE(resumed_stream_goes_on_at_the_version_that_began_it,
                        version_fixture) {
  add_silent_engines();
  prepare();
  const auto begun = caller.begin(callers, 24);
  BOOST_TEST(caller.resume(callers, begun) >= 12);
}

// The engines of its version have no memory for longer than streams under way
// wait, but not as long as callers do.
BOOST_FIXTURE_TEST_CASE(resumed_stream_waits_for_memory_as_long_as_its_caller,
                        version_fixture) {
  add_silent_engines();
  prepare();
  const auto begun = caller.begin(callers, 1);
  const auto set_refuses_holds = [&](bool refuses) {
    for (versioned_engine& engine : engines) {
      engine.refuses_holds = refuses;
    }
  };
  set_refuses_holds(true);
  boost::asio::steady_timer timer(loop, std::chrono::milliseconds(1200));
  timer.async_wait(
      [&](boost::system::error_code) { set_refuses_holds(false); });
  BOOST_TEST(caller.resume(callers, begun) == 1);
}

BOOST_FIXTURE_TEST_CASE(
    stream_resumed_after_a_kill_goes_on_at_the_version_that_began_it,
    version_fixture) {
  add_silent_engines();
  prepare();
  const auto begun = caller.begin(callers, 24);
  restart_after_kill();
  BOOST_TEST(caller.resume(callers, begun) >= 12);
}

BOOST_FIXTURE_TEST_CASE(
    stream_resumed_after_a_kill_is_refused_if_its_version_has_left,
    version_fixture) {
  versioned_engine& old = add_engine("v1");
  old.first_events = 1;
  old.stays_silent = true;
  prepare();
  const auto begun = caller.begin(callers, 4);
  versioned_engine& replacement = add_engine("v2");
  remove(old);
  restart_after_kill();
  const auto resumed_at = std::chrono::steady_clock::now();
  BOOST_TEST(caller.resume(callers, begun) == 0);
  BOOST_TEST(replacement.resumed == 0);
  BOOST_TEST((std::chrono::steady_clock::now() - resumed_at <
              std::chrono::milliseconds(4000)));
  BOOST_TEST(caller.get(callers, caller.request()).whole());
}
