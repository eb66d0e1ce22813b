// Statuses that promise a caller that its request has not run, from servers
// that don't state it.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "scripted_servers.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

BOOST_FIXTURE_TEST_CASE(status_of_a_run_does_not_promise_that_nothing_ran,
                        scripted_servers) {
  for (const route_kind kind : {route_kind::unsafe, route_kind::stream}) {
    for (const int status : {408, 429, 503}) {
      for (const bool states_not_run : {false, true}) {
        add_case(
            {fmt::format("{}, kind {}, {}", status, static_cast<int>(kind),
                         states_not_run ? "stated" : "not stated"),
             kind, [=](const scripted_request& in) {
               in.from->write(raw_reply(
                   in.response_fields() +
                       (states_not_run ? "Citronwharf-Not-Run: 1\r\n" : ""),
                   "failed", status));
             }});
      }
    }
  }
  run();
  for (std::size_t each = warm_ups; each < cases.size(); ++each) {
    const scripted_case& of = cases[each];
    const bool stated = (each - warm_ups) % 2 == 1;
    BOOST_TEST_CONTEXT(of.name << "; " << of.log_line) {
      BOOST_TEST(of.got.complete);
      BOOST_TEST(of.got.status == (stated ? 503 : 502));
      BOOST_TEST(of.got.body != "failed");
      BOOST_TEST(of.got.head.find("Citronwharf-Server-Stamp") ==
                 std::string::npos);
      BOOST_TEST(of.requests >= 1);
      BOOST_TEST((stated || of.requests == 1));
    }
  }
}
