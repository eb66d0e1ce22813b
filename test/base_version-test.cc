// Tests of the choice of the base versions of services.
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "gateway/stream_versions.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

using versions = std::map<std::string, std::string>;

const time_point start{seconds(1000)};
const duration moment = milliseconds(1);

std::vector<listed_server> make_list(const std::vector<std::string>& versions,
                                     const std::string& service = "models") {
  std::vector<listed_server> out;
  for (const std::string& version : versions) {
    listed_server server;
    server.id = service + std::to_string(out.size());
    server.service = service;
    server.software_version = version;
    out.push_back(server);
  }
  return out;
}

struct planner_fixture {
  versions plan(const std::vector<listed_server>& listed, time_point now) {
    return planner.plan(
        listed,
        [this](const std::string& service) {
          const auto found = bases.find(service);
          return found == bases.end() ? "" : found->second;
        },
        now);
  }

  base_version_planner planner;
  versions bases;  // in force, by service
};

// The service has the base version v1.
struct base_fixture : planner_fixture {
  base_fixture() { bases["models"] = "v1"; }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(first_base_is_the_most_common_version,
                        planner_fixture) {
  BOOST_TEST((plan(make_list({"v1", "v2", "v2"}), start) ==
              versions{{"models", "v2"}}));
  // Until it is in force.
  BOOST_TEST((plan(make_list({"v3", "v2", "v3"}), start + moment) ==
              versions{{"models", "v3"}}));
}

BOOST_FIXTURE_TEST_CASE(first_base_of_equally_common_versions_is_one_of_them,
                        planner_fixture) {
  const versions first = plan(make_list({"v2", "v1", "v1", "v2"}), start);
  BOOST_TEST((first == versions{{"models", "v1"}}));
  planner.reset();
  BOOST_TEST((plan(make_list({"v1", "v2", "v2", "v1"}), start) == first));
}

BOOST_FIXTURE_TEST_CASE(each_service_has_its_base, planner_fixture) {
  std::vector<listed_server> listed = make_list({"v1", "v1", "v2"});
  for (const listed_server& each : make_list({"v2", "v2"}, "summaries")) {
    listed.push_back(each);
  }
  BOOST_TEST(
      (plan(listed, start) == versions{{"models", "v1"}, {"summaries", "v2"}}));
  bases["models"] = "v1";
  BOOST_TEST((plan(listed, start) == versions{{"summaries", "v2"}}));
}

BOOST_FIXTURE_TEST_CASE(no_server_needs_no_base, planner_fixture) {
  BOOST_TEST(plan({}, start).empty());
}

BOOST_FIXTURE_TEST_CASE(base_is_kept_while_a_server_has_it, base_fixture) {
  const auto listed = make_list({"v2", "v2", "v2", "v1"});
  for (time_point now = start; now < start + max_resumable_time * 4;
       now += seconds(10)) {
    BOOST_REQUIRE(plan(listed, now).empty());
  }
}

BOOST_FIXTURE_TEST_CASE(leaving_server_keeps_the_base, base_fixture) {
  auto listed = make_list({"v2", "v1"});
  listed.back().leaving = true;
  BOOST_TEST(plan(listed, start).empty());
  BOOST_TEST(plan(listed, start + max_resumable_time * 2).empty());
}

BOOST_FIXTURE_TEST_CASE(base_is_replaced_once_no_stream_of_it_can_be_resumed,
                        base_fixture) {
  const auto listed = make_list({"v2", "v3", "v3"});
  BOOST_TEST(plan(listed, start).empty());
  BOOST_TEST(plan(listed, start + max_resumable_time - moment).empty());
  BOOST_TEST(
      (plan(listed, start + max_resumable_time) == versions{{"models", "v3"}}));
}

BOOST_FIXTURE_TEST_CASE(server_that_returns_starts_the_wait_anew,
                        base_fixture) {
  const auto without = make_list({"v2"});
  plan(without, start);
  const time_point returned = start + max_resumable_time - seconds(1);
  BOOST_TEST(plan(make_list({"v2", "v1"}), returned).empty());
  const time_point gone = returned + seconds(1);
  BOOST_TEST(plan(without, gone).empty());
  BOOST_TEST(plan(without, gone + max_resumable_time - moment).empty());
  BOOST_TEST(
      (plan(without, gone + max_resumable_time) == versions{{"models", "v2"}}));
}

BOOST_FIXTURE_TEST_CASE(reset_starts_the_wait_anew, base_fixture) {
  const auto listed = make_list({"v2"});
  plan(listed, start);
  planner.reset();
  const time_point later = start + max_resumable_time;
  BOOST_TEST(plan(listed, later).empty());
  BOOST_TEST(plan(listed, later + max_resumable_time - moment).empty());
  BOOST_TEST(
      (plan(listed, later + max_resumable_time) == versions{{"models", "v2"}}));
}

// The directory may fail to list a service for a while.
BOOST_FIXTURE_TEST_CASE(service_without_servers_keeps_its_base, base_fixture) {
  BOOST_TEST(plan({}, start).empty());
  BOOST_TEST(plan({}, start + max_resumable_time * 2).empty());
  BOOST_TEST(plan(make_list({"v1"}), start + max_resumable_time * 2).empty());
  BOOST_TEST(
      plan(make_list({"v2"}), start + max_resumable_time * 2 + moment).empty());
}
