// Tests of a gateway process that sends a stream to an engine of another
// software version while the first one is silent before its first event.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "raw_client.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

struct replacement_fixture : gateway_fixture {
  replacement_fixture() {
    instances = json::array();
    add("d1", "models", "decode", decode);
    add("d2", "models", "decode", other_decode);
    instances.back()["version"] = "v2";
    const auto answer = [this](const http_request& request,
                               std::unique_ptr<http_exchange> exchange) {
      if (answer_auxiliary_request(request, *exchange)) {
        return;
      }
      held.push_back(std::move(exchange));
      if (held.size() == 1) {
        held.front()->start_stream(head());
      }
    };
    decode.answers = answer;
    other_decode.answers = answer;
    BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
    wait_until_ready();
    wait_until_fleet_is_known();
  }

  static http_response head() {
    return reply(200, "",
                 {{"Citronwharf-Server-Stamp", "s"},
                  {"Content-Type", "text/event-stream"}});
  }

  // Engines that got the stream, in order.
  std::vector<std::unique_ptr<http_exchange>> held;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(
    stream_is_not_taken_over_at_another_version_once_it_has_begun,
    replacement_fixture) {
  raw_client client(
      loop, callers,
      "POST /r/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n"
      "Citronwharf-Request-Id: q1\r\nCitronwharf-Deadline-Ms: 6000\r\n"
      "Citronwharf-Token-Count: 1000,80\r\nConnection: close\r\n"
      "Content-Length: 4\r\n\r\nbody");
  // The replacement is asked after the first engine's silence.
  BOOST_REQUIRE(run_until(loop, [&] { return held.size() == 2; }));
  held[0]->write("id: 1\ndata: first\n\nHTTP/1.1 500 -\r\n\r\n");
  // The gateway may reset the connection before the first event is read.
  BOOST_REQUIRE(run_until(loop, [&] {
    return client.ended() ||
           client.bytes().find("data: first") != std::string::npos;
  }));
  held[1]->start_stream(head());
  held[1]->write("id: 2\ndata: second\n\n");
  held[1]->finish();
  BOOST_REQUIRE(run_until(loop, [&] { return client.ended(); }));
  BOOST_TEST(client.bytes().find("data: second") == std::string::npos);
}
