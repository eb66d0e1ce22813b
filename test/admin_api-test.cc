// Tests the administration API on a fake replica.
#include "control/admin_api.h"

#include <boost/test/unit_test.hpp>

#include "configuration-samples.h"
#include "control/key.h"
#include "memory-replica.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

struct api_fixture {
  admin_response call(const std::string& method, const std::string& target,
                      const json& body = nullptr) {
    return call_text(method, target, body.is_null() ? "" : body.dump());
  }
  admin_response call_text(const std::string& method, const std::string& target,
                           const std::string& body) {
    admin_response out;
    int response_count = 0;
    api.handle({method, target, body}, [&](const admin_response& response) {
      out = response;
      ++response_count;
    });
    BOOST_TEST(response_count == 1);
    return out;
  }
  void apply_sample() {
    const admin_response response = call(
        "POST", "config",
        {{"operation", "first"}, {"base", 0}, {"document", good_document()}});
    BOOST_REQUIRE(response.status == 200);
  }

  configuration_machine machine;
  memory_replica log{{{configuration_command::kind, &machine}}};
  admin_api api{log, machine};
};

}  // namespace

BOOST_AUTO_TEST_CASE(calls_return_expected_status) {
  struct call_case {
    const char* method;
    const char* target;
    json body;
    int status;
  };
  const json weight = weight_document(5);
  const std::string digest = digest_of("secret");
  const std::vector<call_case> cases{
      {"POST", "config", {{"operation", "a"}, {"document", weight}}, 400},
      {"POST", "config", {{"base", 1}, {"document", weight}}, 400},
      {"POST", "config", {{"operation", 7}, {"base", 1}}, 400},
      {"POST",
       "config",
       {{"operation", "a"}, {"base", 1}, {"document", {{"x", 1}}}},
       422},
      {"POST",
       "config",
       {{"operation", "a"},
        {"base", 0},
        {"partial", true},
        {"document", weight}},
       409},
      {"POST",
       "config",
       {{"operation", "a"},
        {"base", 1},
        {"partial", true},
        {"document", weight}},
       200},
      {"POST", "diff", {{"partial", true}, {"document", weight}}, 200},
      {"GET", "config", nullptr, 200},
      {"GET", "history", nullptr, 200},
      {"GET", "keys", nullptr, 200},
      {"POST",
       "keys",
       {{"operation", "a"},
        {"id", "k2"},
        {"organisation", "brokers"},
        {"digest", digest}},
       200},
      {"POST", "keys", {{"operation", "a"}, {"id", "k2"}}, 400},
      {"POST", "keys/k1/withdraw", {{"operation", "a"}}, 200},
      {"POST", "keys/k9/withdraw", {{"operation", "a"}}, 404},
      {"POST", "keys/k1/withdraw", json::object(), 400},
      {"POST", "endpoints/p1/drain", {{"operation", "a"}}, 200},
      {"POST", "endpoints/p9/drain", {{"operation", "a"}}, 404},
      {"POST",
       "endpoints/p1/drain",
       {{"operation", "a"}, {"draining", 7}},
       400},
      {"GET", "status", nullptr, 200},
      {"GET", "replica", nullptr, 200},
      {"POST", "replica/init", nullptr, 200},
      {"POST",
       "replica/add",
       {{"process", "c2"}, {"address", "127.0.0.1:2"}},
       200},
      {"POST", "replica/add", {{"process", "c2"}}, 400},
      {"POST", "replica/remove", {{"replica", "none"}}, 404},
      {"POST", "replica/remove", json::object(), 400},
      {"POST", "replica/snapshot", nullptr, 200},
      {"GET", "nothing", nullptr, 404},
      {"DELETE", "config", nullptr, 404}};
  for (const call_case& each : cases) {
    BOOST_TEST_CONTEXT(each.method << " " << each.target << " " << each.body) {
      api_fixture fixture;
      fixture.apply_sample();
      const admin_response response =
          fixture.call(each.method, each.target, each.body);
      BOOST_TEST(response.status == each.status, response.body.dump());
    }
  }
}

BOOST_AUTO_TEST_CASE(malformed_bodies_are_rejected) {
  for (const char* text : {"{", "7", "[]", "\xff"}) {
    api_fixture fixture;
    BOOST_TEST(fixture.call_text("POST", "config", text).status == 400);
  }
}

BOOST_AUTO_TEST_CASE(failure_status_tells_whether_call_may_have_run) {
  struct failure_case {
    absl::Status failure;
    int status;
  };
  for (const failure_case& each :
       {failure_case{absl::UnavailableError("c2"), 503},
        failure_case{absl::AbortedError("leader lost"), 504},
        failure_case{absl::DeadlineExceededError("slow"), 504}}) {
    api_fixture fixture;
    fixture.log.fail_proposals(each.failure);
    const json body = {
        {"operation", "a"}, {"base", 0}, {"document", good_document()}};
    BOOST_TEST(fixture.call("POST", "config", body).status == each.status);
    BOOST_TEST(fixture.call("GET", "config").status == each.status);
  }
}

BOOST_AUTO_TEST_CASE(diff_does_not_apply_changes) {
  api_fixture fixture;
  fixture.apply_sample();
  const admin_response response = fixture.call(
      "POST", "diff", {{"partial", true}, {"document", weight_document(5)}});
  const json changes = response.body.at("changes");
  BOOST_TEST(changes.at("organisations").at(0).at("weight") == 5);
  BOOST_TEST(fixture.machine.current().version == 1U);
}

BOOST_AUTO_TEST_CASE(secrets_are_not_stored) {
  const std::string secret = make_secret();
  BOOST_TEST(secret.size() == 67U);
  BOOST_TEST(secret != make_secret());
  api_fixture fixture;
  fixture.apply_sample();
  fixture.call("POST", "keys",
               {{"operation", "a"},
                {"id", "k2"},
                {"organisation", "brokers"},
                {"digest", digest_of(secret)}});
  BOOST_TEST(fixture.machine.snapshot().dump().find(secret) ==
             std::string::npos);
  const std::string stored_digest = fixture.machine.current().keys[1].digest;
  BOOST_TEST(same_digest(stored_digest, digest_of(secret)));
  BOOST_TEST(!same_digest(stored_digest, digest_of(secret + "x")));
  BOOST_TEST(!same_digest(stored_digest, stored_digest.substr(1)));
  BOOST_TEST(
      !fixture.call("GET", "keys").body.at("keys").at(1).contains("digest"));
}
