// Organisations that are taken away by a later configuration, at two gateways
// in real processes of which only the first one has a disk.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <string>

#include "gateway_fleet.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

using nlohmann::json;

constexpr const char* hosts[] = {leader_host, follower_host};

struct key_removal_fixture : gateway_fleet {
  key_removal_fixture() {
    desk.answers = [this](const http_request&,
                          std::unique_ptr<http_exchange> exchange) {
      ++runs;
      exchange->respond(
          reply(200, "done", {{"Citronwharf-Server-Stamp", "s"}}));
    };
    list("s1", "desk", "", desk.address());
    start_both();
    publish(routes(), services());
    for (const char* host : hosts) {
      BOOST_REQUIRE(run_until(loop, [&] { return status_at(host) == 200; }));
    }
  }

  // A few entries of the log are enough for a snapshot.
  void start_both() {
    const json control{{"snapshot_entries", 8}, {"keep_entries", 2}};
    leader = start("g1", leader_host, {{"control", control}});
    start_follower();
  }

  static json routes() {
    json open = route("open", "/o/", "safe", "desk");
    open["public"] = true;
    return {route("commit", "/c/", "unsafe", "desk"), open};
  }
  static json services() { return json::array({{{"name", "desk"}}}); }

  static json state_without_organisations(int version) {
    return {
        {"version", version}, {"routes", routes()}, {"services", services()}};
  }
  static json state_with(int version, const json& organisations) {
    json out = state_without_organisations(version);
    out["tenants"] = organisations;
    return out;
  }

  http_response put(const json& state) {
    return call(leader_host, operators,
                {"POST", "/-/Config.Put", {}, state.dump(), ""});
  }

  int status_at(const char* host, const char* key = "k1",
                const char* path = "/c/1") {
    http_request request = request_to(path);
    request.headers[1].value = fmt::format("Token {}", key);
    return call(host, callers, request).status;
  }

  int status_without_key(const char* host) {
    http_request request = request_to("/c/1");
    request.headers.erase(request.headers.begin() + 1);
    return call(host, callers, request).status;
  }

  /// Publishes version 2 with an empty list of organisations and waits until it
  /// is in force at both gateways.
  void remove_all_organisations() {
    BOOST_REQUIRE(put(state_with(2, json::array())).status == 200);
    for (const char* host : hosts) {
      BOOST_TEST(run_until(loop, [&] { return status_at(host) == 401; }));
    }
  }

  void expect_no_key_is_valid() {
    const int runs_before = runs;
    for (const char* host : hosts) {
      BOOST_TEST_CONTEXT(host) {
        const http_response read =
            call(host, operators, {"GET", "/-/Config.Get", {}, "", ""});
        BOOST_REQUIRE(read.status == 200);
        BOOST_TEST(json::parse(read.body).at("tenants") == json::array());
        BOOST_TEST(status_at(host, "k1") == 401);
        BOOST_TEST(status_at(host, "never") == 401);
        BOOST_TEST(status_without_key(host) == 401);
      }
    }
    BOOST_TEST(runs == runs_before);
  }

  fake_server desk{loop};
  int runs = 0;  // of requests at the server
};

}  // namespace

// Guards against a configuration whose list of organisations is empty being
// taken for one without organisations, which accepts any key.
BOOST_FIXTURE_TEST_CASE(no_key_is_valid_after_the_last_organisation_is_removed,
                        key_removal_fixture) {
  remove_all_organisations();
  expect_no_key_is_valid();
  for (const char* host : hosts) {
    BOOST_TEST(status_at(host, "k1", "/o/1") == 200);
  }
  // Organisations that are added later have the keys that they bring.
  BOOST_REQUIRE(
      put(state_with(3, {{{"name", "t2"}, {"apiKeys", {"k2"}}}})).status ==
      200);
  for (const char* host : hosts) {
    BOOST_TEST(run_until(loop, [&] { return status_at(host, "k2") == 200; }));
    BOOST_TEST(status_at(host, "k1") == 401);
  }
}

// Guards against the empty list being lost in the log, in a snapshot or on the
// way to a process without a disk.
BOOST_FIXTURE_TEST_CASE(no_key_is_valid_after_a_restart_of_all_processes,
                        key_removal_fixture) {
  remove_all_organisations();
  constexpr int last_version = 20;
  for (int version = 3; version <= last_version; ++version) {
    BOOST_REQUIRE(put(state_with(version, json::array())).status == 200);
  }
  leader->kill();
  follower->kill();
  start_both();
  wait_until_ready(leader_host);
  wait_until_ready(follower_host);
  expect_no_key_is_valid();
}

// Guards against a process that holds an older configuration, or an empty list,
// accepting keys while no majority confirms what it holds.
BOOST_FIXTURE_TEST_CASE(no_key_is_valid_at_a_process_that_is_out_of_touch,
                        key_removal_fixture) {
  // The follower is stopped while the list is published; the leader then stops.
  follower->send_signal(SIGSTOP);
  BOOST_REQUIRE(put(state_with(2, json::array())).status == 200);
  leader->send_signal(SIGSTOP);
  follower->send_signal(SIGCONT);
  const auto out_of_touch =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  run_until(loop,
            [&] { return std::chrono::steady_clock::now() >= out_of_touch; });
  const int runs_before = runs;
  BOOST_TEST(status_at(follower_host, "k1") == 503);
  BOOST_TEST(status_at(follower_host, "never") == 503);
  leader->send_signal(SIGCONT);
  BOOST_TEST(run_until(loop, [&] { return status_at(follower_host) == 401; }));
  BOOST_TEST(status_at(follower_host, "never") == 401);
  BOOST_TEST(runs == runs_before);
}

// Guards against a list that is null being published as an empty or an absent
// one.
BOOST_FIXTURE_TEST_CASE(a_list_that_is_null_is_refused_and_changes_nothing,
                        key_removal_fixture) {
  for (const char* list : {"tenants", "routes", "services"}) {
    json state = state_with(2, json::array());
    state[list] = nullptr;
    BOOST_TEST_CONTEXT(list) {
      BOOST_TEST(put(state).status == 400);
    }
  }
  for (const char* host : hosts) {
    BOOST_TEST(status_at(host) == 200);
    BOOST_TEST(status_at(host, "never") == 401);
  }
}

// Guards against reading an absent list as an empty one: such a configuration
// has no organisations and asks for no key.
BOOST_FIXTURE_TEST_CASE(no_key_is_needed_without_a_list_of_organisations,
                        key_removal_fixture) {
  BOOST_REQUIRE(put(state_without_organisations(2)).status == 200);
  for (const char* host : hosts) {
    BOOST_TEST(
        run_until(loop, [&] { return status_without_key(host) == 200; }));
  }
}
