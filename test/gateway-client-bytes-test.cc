// Whatever bytes clients put into what a gateway reads, no process ends, and
// what it keeps under a client's own words stays bounded.
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "hostile_clients.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

const std::vector<std::string>& odd_values() {
  static const std::vector<std::string> values{
      "\xff",
      "\xc3(",
      "\xed\xa0\x80",
      "a\tb",
      "\"\\",
      "r:0123456789",
      "9223372036854775808",
      "-1",
      "1e999",
      "nan",
      ",",
      ":,:",
      "\xff:1,b:2",
      std::string(8000, 'x'),
      std::string(8000, ','),
  };
  return values;
}

struct client_bytes : gateway_fixture {
  client_bytes() {
    for (fake_server* each : {&decode, &other_decode}) {
      each->answers = [](const http_request& request,
                         std::unique_ptr<http_exchange> exchange) {
        if (answer_auxiliary_request(request, *exchange)) {
          return;
        }
        exchange->start_stream(reply(200, "",
                                     {{"Citronwharf-Server-Stamp", "s"},
                                      {"Content-Type", "text/event-stream"}}));
        exchange->write(event(1));
        exchange->finish();
      };
    }
    BOOST_REQUIRE_EQUAL(publish(1).status, 200);
    wait_until_ready();
    wait_until_fleet_is_known();
  }

  void check_served() {
    BOOST_REQUIRE(gateway->running());
    BOOST_TEST(run_until(
        loop, [&] { return call(callers, request_to("/l/x")).status == 200; }));
    BOOST_TEST(run_until(
        loop, [&] { return call(callers, prompt_to("/r/x")).status == 200; }));
  }

  // Replaces the header `name` of the request.
  static void set(http_request& request, const std::string& name,
                  const std::string& value) {
    for (header_field& field : request.headers) {
      if (field.name == name) {
        field.value = value;
        return;
      }
    }
    request.headers.push_back({name, value});
  }

  std::ptrdiff_t metric_lines() {
    const http_response page = call(admin, {"GET", "/metrics", {}, "", ""});
    BOOST_REQUIRE_EQUAL(page.status, 200);
    return std::count(page.body.begin(), page.body.end(), '\n');
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(any_bytes_in_headers_are_survived, client_bytes) {
  for (const char* name :
       {"Host", "Authorization", "Citronwharf-Request-Id",
        "Citronwharf-Deadline-Ms", "Citronwharf-Token-Count",
        "Citronwharf-Length-Hint", "Citronwharf-Prefix-Hash", "Last-Event-Id",
        "Citronwharf-Resumes", "Connection", "Expect", "X-Other"}) {
    for (const std::string& value : odd_values()) {
      for (const char* path : {"/l/x", "/c/x", "/s/x", "/r/x"}) {
        BOOST_TEST_CONTEXT(name << ": " << value.substr(0, 20)) {
          http_request request = prompt_to(path);
          set(request, "Citronwharf-Deadline-Ms", "300");
          set(request, name, value);
          call(callers, request);
          BOOST_REQUIRE(gateway->running());
        }
      }
    }
  }
  check_served();
}

BOOST_FIXTURE_TEST_CASE(any_bytes_in_targets_are_survived, client_bytes) {
  for (const std::string& value : odd_values()) {
    for (const char* path : {"/l/", "/c/", "/s/", "/r/", ""}) {
      std::string escaped = value;
      std::replace(escaped.begin(), escaped.end(), '\t', '%');
      http_request request = prompt_to(path + escaped);
      set(request, "Citronwharf-Deadline-Ms", "300");
      call(callers, request);
      BOOST_REQUIRE(gateway->running());
    }
  }
  check_served();
}

// Nothing is kept of the words of requests that have ended.
BOOST_FIXTURE_TEST_CASE(new_words_in_each_request_take_no_memory,
                        client_bytes) {
  constexpr int requests = 600;
  const auto send = [&](int number) {
    const std::string word = fmt::format("{}{}", number, std::string(900, 'w'));
    for (const char* name : {"Host", "Authorization", "Citronwharf-Request-Id",
                             "Citronwharf-Resumes", "X-Other"}) {
      http_request request = request_to("/l/" + word);
      set(request, name, (name[0] == 'A' ? "Token " : "") + word);
      call(callers, request);
    }
    http_request prompt = prompt_to("/r/" + word);
    set(prompt, "Citronwharf-Prefix-Hash",
        fmt::format("{}:100,x{}:100", word, word));
    call(callers, prompt);
  };
  for (int i = 0; i < requests / 2; ++i) {
    send(i);
  }
  const long before = memory_kb(gateway->pid(), "VmRSS:");
  const std::ptrdiff_t lines = metric_lines();
  for (int i = requests / 2; i < requests; ++i) {
    send(i);
  }
  // 1,800 requests with words of some 2 KB.
  constexpr long max_growth_kb = 1500;
  BOOST_TEST(memory_kb(gateway->pid(), "VmRSS:") - before <= max_growth_kb);
  BOOST_TEST(metric_lines() == lines);
  check_served();
}
