// Tests of a fleet of gateways in front of engines of two software versions:
// streams that callers resume at another gateway, and after a kill of the
// leader, which alone has a disk.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <list>
#include <string>

#include "gateway_fleet.h"
#include "versioned_engines.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

struct version_fleet : gateway_fleet {
  version_fleet() {
    start_leader();
    start_follower();
    for (const char* version : {"v1", "v2", "v1", "v2"}) {
      versioned_engine& engine = engines_of_versions.emplace_back(
          loop, fmt::format("e{}", engines_of_versions.size()), version);
      engine.first_events = 1;
      engine.stays_silent = true;
      instances.push_back(engine.entry());
    }
    publish_all(true);
    // A process that does not know the size of its fleet assumes that many
    // others share the retry budget.
    repeat(std::chrono::milliseconds(500), std::chrono::milliseconds(2000),
           [] {});
  }

  std::string address_of(const std::string& host) const {
    return fmt::format("{}:{}", host, callers);
  }

  std::list<versioned_engine> engines_of_versions;
  stream_caller caller{loop, last_id, "/s/1"};
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(stream_resumed_elsewhere_goes_on_at_its_version,
                        version_fleet) {
  constexpr int streams = 12;
  BOOST_TEST(caller.resume(address_of(leader_host),
                           caller.begin(address_of(follower_host), streams)) >=
             streams / 2);
  BOOST_TEST(caller.resume(address_of(follower_host),
                           caller.begin(address_of(leader_host), streams)) >=
             streams / 2);
}

BOOST_FIXTURE_TEST_CASE(
    stream_resumed_after_a_kill_of_the_leader_goes_on_at_its_version,
    version_fleet) {
  constexpr int streams = 12;
  const auto begun = caller.begin(address_of(follower_host), streams);
  leader->kill();
  start_leader();
  wait_until_ready(leader_host);
  BOOST_TEST(caller.resume(address_of(follower_host), begun) >= streams / 2);
  const auto begun_later = caller.begin(address_of(leader_host), streams);
  leader->kill();
  follower->kill();
  start_follower();
  start_leader();
  wait_until_ready(leader_host);
  wait_until_ready(follower_host);
  BOOST_TEST(caller.resume(address_of(follower_host), begun_later) >=
             streams / 2);
}
