// A gateway process with a configuration in force, and its servers.
#ifndef CITRONWHARF_TEST_SERVER_FIXTURE_H_
#define CITRONWHARF_TEST_SERVER_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "gateway_fixture.h"

namespace citronwharf::test {

struct server_fixture : gateway_fixture {
  server_fixture() {
    BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
    wait_until_ready();
    wait_until_fleet_is_known();
  }

  // Lists a second server of the service and waits until it gets a request.
  void add_plain_server() {
    add("s2", "desk", "", other_plain_server);
    BOOST_REQUIRE(run_until(loop, [&] {
      call(callers, request_to("/c/1"));
      return !other_plain_server.seen.empty();
    }));
  }

  void run_loop_for(std::chrono::milliseconds span) {
    const auto end = std::chrono::steady_clock::now() + span;
    run_until(loop, [&] { return std::chrono::steady_clock::now() >= end; });
  }

  fake_server other_plain_server{loop};
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_SERVER_FIXTURE_H_
