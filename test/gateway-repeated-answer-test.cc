// Tests of a gateway process with servers that write an earlier response, one
// without a request id, once more on a persistent connection.
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "raw_server.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using citronwharf::find_header;
using citronwharf::http_request;
using citronwharf::http_response;

namespace {

const std::string refusal =
    raw_reply("Citronwharf-Not-Run: 1\r\n", "refused", 503);
const std::string misdirected = raw_reply("", "misdirected", 421);

std::string id_of(const http_request& request) {
  return find_header(request.headers, "Citronwharf-Request-Id");
}

// Two servers that refuse some requests without a request id and serve the
// others.
struct repeated_answer_fixture : gateway_fixture {
  void list(const std::vector<const raw_server*>& servers,
            const std::string& service, const std::string& stage = "") {
    instances = json::array();
    for (const raw_server* server : servers) {
      json entry{{"id", fmt::format("e{}", instances.size())},
                 {"service", service},
                 {"addr", server->address()},
                 {"zone", "z1"},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"}};
      if (!stage.empty()) {
        entry["stage"] = stage;
      }
      instances.push_back(entry);
    }
    BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
    wait_until_ready();
    wait_until_fleet_is_known();
  }

  // Refuses the next requests.
  void refuse(int requests, const std::string& with) {
    refusals_left = requests;
    current_refusal = with;
  }

  void respond(const std::string& request,
               const std::shared_ptr<raw_connection>& caller) {
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    const bool takes_hold = request.find("hold-take") != std::string::npos;
    const bool for_caller =
        request.find("POST /c/") == 0 || takes_stream(request);
    if (!for_caller && !takes_hold) {
      caller->write(raw_reply("", "{}"));
      return;
    }
    const bool refusable = takes_hold == refuse_holds;
    if (refusable && refusals_left > 0) {
      --refusals_left;
      caller->write(current_refusal);
      earlier[caller] = current_refusal;
      return;
    }
    if (takes_hold) {
      caller->write(raw_reply("", R"({"hold":"m1"})"));
      return;
    }
    if (repeats) {
      caller->write(earlier[caller]);
      earlier.erase(caller);
    }
    ++executions[id];
    const std::string content = takes_stream(request) ? event(1) : "done " + id;
    if (omit_next_id) {
      omit_next_id = false;
      earlier[caller] = raw_reply("Citronwharf-Server-Stamp: s\r\n", content);
      caller->write(earlier[caller]);
      return;
    }
    caller->write(raw_reply(
        fmt::format("Citronwharf-Server-Stamp: s\r\n"
                    "Content-Type: {}\r\n"
                    "Citronwharf-Request-Id: {}\r\n",
                    takes_stream(request) ? "text/event-stream" : "text/plain",
                    id),
        content));
  }

  static bool takes_stream(const std::string& request) {
    return request.find("POST /s/") == 0;
  }

  // A request that a server refuses is followed by one that runs.
  void check_request_after_refusal() {
    const http_response refused = call(callers, request_to("/c/1"));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(!find_header(refused.headers, "Retry-After").empty());
    BOOST_REQUIRE(refusals_left == 0);
    for (int round = 0; round < 3; ++round) {
      const http_request request = request_to("/c/1");
      const http_response got = call(callers, request);
      BOOST_TEST(got.status == 200);
      BOOST_TEST(got.body == "done " + id_of(request));
      BOOST_TEST(executions[id_of(request)] == 1);
    }
  }

  bool repeats = true;  // responses without a request id
  bool refuse_holds = false;
  bool omit_next_id = false;
  int refusals_left = 0;
  std::string current_refusal;
  // Responses without a request id.
  std::map<std::shared_ptr<raw_connection>, std::string> earlier;
  std::map<std::string, int> executions;  // by request id
  raw_server first{loop, [this](const std::string& request,
                                const std::shared_ptr<raw_connection>& caller) {
                     respond(request, caller);
                   }};
  raw_server second{loop,
                    [this](const std::string& request,
                           const std::shared_ptr<raw_connection>& caller) {
                      respond(request, caller);
                    }};
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(repeated_refusal_is_not_taken_for_that_of_a_request_run,
                        repeated_answer_fixture) {
  list({&first}, "desk");
  refuse(1, refusal);
  check_request_after_refusal();
  BOOST_TEST(first.connections == 2);
}

BOOST_FIXTURE_TEST_CASE(repeated_421_is_not_taken_for_that_of_a_request_run,
                        repeated_answer_fixture) {
  list({&first}, "desk");
  refuse(1, misdirected);
  check_request_after_refusal();
  BOOST_TEST(first.connections == 2);
}

BOOST_FIXTURE_TEST_CASE(repeated_refusal_does_not_run_a_request_at_two_servers,
                        repeated_answer_fixture) {
  list({&first, &second}, "desk");
  refuse(2, refusal);
  check_request_after_refusal();
}

BOOST_FIXTURE_TEST_CASE(repeated_421_does_not_run_a_request_at_two_servers,
                        repeated_answer_fixture) {
  list({&first, &second}, "desk");
  refuse(2, misdirected);
  check_request_after_refusal();
}

BOOST_FIXTURE_TEST_CASE(repeated_hold_refusal_does_not_run_a_stream_twice,
                        repeated_answer_fixture) {
  refuse_holds = true;
  list({&first, &second}, "models", "decode");
  refuse(2, refusal);
  int served = 0;
  for (int round = 0; round < 10; ++round) {
    const http_request request = prompt_to("/s/1");
    const http_response got = call(callers, request);
    BOOST_TEST((got.status == 200 || got.status == 503));
    BOOST_TEST(executions[id_of(request)] == (got.status == 200 ? 1 : 0));
    served += got.status == 200 ? 1 : 0;
  }
  BOOST_TEST(refusals_left == 0);
  BOOST_TEST(served > 0);
}

BOOST_FIXTURE_TEST_CASE(repeated_success_reaches_no_other_caller,
                        repeated_answer_fixture) {
  list({&first}, "desk");
  omit_next_id = true;
  for (int round = 0; round < 3; ++round) {
    const http_request request = request_to("/c/1");
    const http_response got = call(callers, request);
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.body == "done " + id_of(request));
  }
}

BOOST_FIXTURE_TEST_CASE(refusal_without_id_is_believed_if_it_is_the_first,
                        repeated_answer_fixture) {
  repeats = false;
  list({&first}, "desk");
  BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
  refuse(1, refusal);
  const http_request request = request_to("/c/1");
  const http_response got = call(callers, request);
  BOOST_TEST(got.status == 503);
  BOOST_TEST(!find_header(got.headers, "Retry-After").empty());
  BOOST_TEST(executions[id_of(request)] == 0);
  BOOST_TEST(first.connections == 1);
  BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
  const std::string metrics = call(admin, {"GET", "/metrics", {}, "", ""}).body;
  const std::string unidentified =
      "citronwharf_gateway_unidentified_answers_total{service=\"desk\"} 1\n";
  BOOST_TEST(metrics.find(unidentified) != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(request_refused_without_id_is_served_by_another_server,
                        repeated_answer_fixture) {
  repeats = false;
  list({&first, &second}, "desk");
  BOOST_REQUIRE(run_until(loop, [&] {
    call(callers, request_to("/c/1"));
    return first.connections > 0 && second.connections > 0;
  }));
  for (int round = 0; round < 5; ++round) {
    refuse(1, refusal);
    const http_request request = request_to("/c/1");
    const http_response got = call(callers, request);
    BOOST_TEST(refusals_left == 0);
    BOOST_TEST(got.status == 200);
    BOOST_TEST(executions[id_of(request)] == 1);
  }
}

BOOST_FIXTURE_TEST_CASE(repeated_refusal_with_id_is_not_given_to_another_caller,
                        repeated_answer_fixture) {
  list({&first}, "desk");
  BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
  refuse(1, raw_reply("Citronwharf-Not-Run: 1\r\n"
                      "Citronwharf-Request-Id: q2\r\n",
                      "refused", 503));
  BOOST_TEST(call(callers, request_to("/c/1")).status == 503);
  http_request request = request_to("/c/1");
  request.headers.erase(
      std::remove_if(request.headers.begin(), request.headers.end(),
                     [](const citronwharf::header_field& field) {
                       return field.name == "Citronwharf-Request-Id";
                     }),
      request.headers.end());
  omit_next_id = true;
  const http_response got = call(callers, request);
  BOOST_TEST(got.status == 200);
  BOOST_TEST(got.body == "done ");
}

// One server is listed under two ids, as while its entry is replaced.
BOOST_FIXTURE_TEST_CASE(
    repeated_refusal_is_not_believed_by_the_request_that_it_names,
    gateway_fixture) {
  std::map<std::string, int> executions;  // by request id
  std::string refused_id;
  std::shared_ptr<raw_connection> refused_on;
  int runs_after_refusal = 0;  // at the server that refused
  raw_server server(loop, [&](const std::string& request,
                              const std::shared_ptr<raw_connection>& caller) {
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    const std::string headers = "Citronwharf-Request-Id: " + id + "\r\n";
    const std::string refusal_of_id =
        raw_reply(headers + "Citronwharf-Not-Run: 1\r\n", "refused", 503);
    if (id != refused_id) {
      refused_id = id;
      refused_on = caller;
      caller->write(refusal_of_id);
      return;
    }
    ++executions[id];
    ++runs_after_refusal;
    caller->write(
        (caller == refused_on ? refusal_of_id : "") +
        raw_reply(headers + "Citronwharf-Server-Stamp: s\r\n", "done " + id));
  });
  raw_server other(loop, [&](const std::string& request,
                             const std::shared_ptr<raw_connection>& caller) {
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    const std::string headers = "Citronwharf-Request-Id: " + id + "\r\n";
    ++executions[id];
    caller->write(
        raw_reply(headers + "Citronwharf-Server-Stamp: s\r\n", "done " + id));
  });
  instances = json::array();
  for (const char* id : {"s1", "s2"}) {
    instances.push_back({{"id", id},
                         {"service", "desk"},
                         {"addr", server.address()},
                         {"zone", "z1"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"}});
  }
  instances.push_back(instances.front());
  instances.back()["id"] = "s3";
  instances.back()["addr"] = other.address();
  instances.back()["zone"] = "z2";
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  wait_until_fleet_is_known();
  for (int round = 0; round < 5; ++round) {
    const http_request request = request_to("/c/1");
    const http_response got = call(callers, request);
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.body == "done " + id_of(request));
    BOOST_TEST(executions[id_of(request)] == 1);
  }
  BOOST_TEST(runs_after_refusal == 5);
}

// As after a restart, while the list still has the engine's former id.
BOOST_FIXTURE_TEST_CASE(
    repeated_421_is_not_believed_by_the_stream_that_goes_to_the_new_id,
    gateway_fixture) {
  max_hold_ms = 0;
  int executions = 0;
  std::string refusal_of_id;
  std::shared_ptr<raw_connection> refused_on;
  raw_server engine(loop, [&](const std::string& request,
                              const std::shared_ptr<raw_connection>& caller) {
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    const std::string headers = "Citronwharf-Request-Id: " + id + "\r\n";
    if (id.empty()) {
      caller->write(raw_reply("", "{}"));
    } else if (refusal_of_id.empty()) {
      refusal_of_id =
          raw_reply(headers + "Citronwharf-Not-Run: 1\r\n", "other", 421);
      refused_on = caller;
      caller->write(refusal_of_id);
    } else {
      ++executions;
      caller->write(
          (caller == refused_on ? refusal_of_id : "") +
          raw_reply(headers + "Citronwharf-Server-Stamp: s\r\n", event(1)));
    }
  });
  instances = json::array();
  add("e1", "models", "decode", decode);
  instances[0]["addr"] = engine.address();
  instances.push_back(instances[0]);
  instances[1]["id"] = "e2";
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  wait_until_fleet_is_known();
  const http_response got = call(callers, prompt_to("/s/1"));
  BOOST_TEST(got.status == 200);
  BOOST_TEST(got.body == event(1));
  BOOST_TEST(executions == 1);
}

// The engine that refuses the prefill changes its stage meanwhile; the other
// engine refuses everything.
BOOST_FIXTURE_TEST_CASE(
    repeated_prefill_refusal_is_not_taken_for_that_of_decode, gateway_fixture) {
  max_hold_ms = 0;
  decode.answers = [](const http_request& request,
                      std::unique_ptr<citronwharf::http_exchange> exchange) {
    exchange->respond(reply(503, "",
                            {{"Citronwharf-Not-Run", "1"},
                             {"Citronwharf-Request-Id", id_of(request)}}));
  };
  int executions = 0;
  std::string earlier_refusal;
  std::function<void()> refuse_prefill;
  raw_server engine(loop, [&](const std::string& request,
                              const std::shared_ptr<raw_connection>& caller) {
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    const std::string headers = "Citronwharf-Request-Id: " + id + "\r\n";
    if (id.empty()) {
      caller->write(raw_reply("", "{}"));
    } else if (!raw_header(request, "Citronwharf-Stage").empty()) {
      earlier_refusal =
          raw_reply(headers + "Citronwharf-Not-Run: 1\r\n", "", 503);
      refuse_prefill = [caller, &earlier_refusal] {
        caller->write(earlier_refusal);
      };
    } else {
      ++executions;
      caller->write(
          earlier_refusal +
          raw_reply(headers + "Citronwharf-Server-Stamp: s\r\n", event(1)));
    }
  });
  instances = json::array();
  add("d1", "models", "decode", decode);
  json entry = instances.front();
  entry["id"] = "p1";
  entry["addr"] = engine.address();
  entry["stage"] = "prefill";
  instances.push_back(entry);
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  wait_until_fleet_is_known();

  const auto run_loop_for = [&](std::chrono::milliseconds span) {
    const auto end = std::chrono::steady_clock::now() + span;
    run_until(loop, [&] { return std::chrono::steady_clock::now() >= end; });
  };
  const auto wait_for_directory_read = [&] {
    const std::size_t reads = directory.seen.size();
    BOOST_REQUIRE(
        run_until(loop, [&] { return directory.seen.size() > reads; }));
  };
  // The list is read every 600 ms, and the prefill times out after 450 ms.
  wait_for_directory_read();
  run_loop_for(std::chrono::milliseconds(350));
  http_response got;
  bool ended = false;
  const auto running = citronwharf::fetch(
      loop, {callers}, prompt_to("/s/1"),
      [&](absl::StatusOr<http_response> response, bool /*sent*/) {
        got = response.ok() ? *std::move(response) : reply(0, "");
        ended = true;
      });
  BOOST_REQUIRE(run_until(loop, [&] { return refuse_prefill != nullptr; }));
  instances[1]["stage"] = "decode";
  wait_for_directory_read();
  run_loop_for(std::chrono::milliseconds(50));
  refuse_prefill();
  BOOST_REQUIRE(run_until(loop, [&] { return ended; }));
  BOOST_TEST(got.status == 503);
  BOOST_TEST(executions == 0);
}

// A list that lags names a server under its earlier id, too. Each request names
// the server that it expects, so that the first one is refused with 421.
BOOST_FIXTURE_TEST_CASE(
    repeated_421_is_not_believed_under_the_new_id_of_a_server,
    gateway_fixture) {
  std::map<std::string, int> executions;
  std::map<std::shared_ptr<raw_connection>, std::string> copies;
  int misdirections = 0;
  int arrivals_after = 0;
  raw_server server(loop, [&](const std::string& request,
                              const std::shared_ptr<raw_connection>& caller) {
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    const std::string headers = "Citronwharf-Request-Id: " + id + "\r\n";
    if (raw_header(request, "Citronwharf-Expect-Instance") != "s2") {
      ++misdirections;
      copies[caller] = raw_reply(headers, "misdirected", 421);
      caller->write(copies[caller]);
      return;
    }
    arrivals_after += misdirections > 0 ? 1 : 0;
    ++executions[id];
    caller->write(copies[caller]);
    copies.erase(caller);
    caller->write(
        raw_reply(headers + "Citronwharf-Server-Stamp: s\r\n", "done " + id));
  });
  raw_server other(loop, [&](const std::string& request,
                             const std::shared_ptr<raw_connection>& caller) {
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    ++executions[id];
    caller->write(raw_reply(
        "Citronwharf-Request-Id: " + id + "\r\nCitronwharf-Server-Stamp: s\r\n",
        "done " + id));
  });
  instances = json::array();
  for (const char* id : {"s1", "s2"}) {
    instances.push_back({{"id", id},
                         {"service", "desk"},
                         {"addr", server.address()},
                         {"zone", "z1"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"}});
  }
  instances.push_back(instances.front());
  instances.back()["id"] = "s3";
  instances.back()["addr"] = other.address();
  instances.back()["zone"] = "z2";
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  wait_until_fleet_is_known();
  for (int round = 0; round < 10; ++round) {
    const http_request request = request_to("/c/1");
    const http_response got = call(callers, request);
    BOOST_TEST(got.status == 200);
    BOOST_TEST(executions[id_of(request)] == 1);
  }
  BOOST_TEST(misdirections > 0);
  BOOST_TEST(arrivals_after > 0);
}

// The copy of a refused hold comes where the answer to the next one is due.
BOOST_FIXTURE_TEST_CASE(
    repeated_hold_refusal_keeps_no_memory_from_later_streams, gateway_fixture) {
  std::map<std::shared_ptr<raw_connection>, std::string> copies;
  int refusals = 0;
  int granted = 0;
  int used = 0;
  raw_server engine(loop, [&](const std::string& request,
                              const std::shared_ptr<raw_connection>& caller) {
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    if (request.find("hold-take") != std::string::npos) {
      if (refusals++ == 0) {
        caller->write(refusal);
        copies[caller] = refusal;
        return;
      }
      const std::string copy = copies[caller];
      copies.erase(caller);
      ++granted;
      caller->write(
          copy + raw_reply("", fmt::format("{{\"hold\":\"m{}\"}}", granted)));
      return;
    }
    if (id.empty()) {
      caller->write(raw_reply("", "{}"));
      return;
    }
    used += raw_header(request, "Citronwharf-Hold").empty() ? 0 : 1;
    caller->write(raw_reply("Citronwharf-Request-Id: " + id +
                                "\r\nCitronwharf-Server-Stamp: s\r\n"
                                "Content-Type: text/event-stream\r\n",
                            event(1)));
  });
  instances = json::array();
  instances.push_back({{"id", "e1"},
                       {"service", "models"},
                       {"addr", engine.address()},
                       {"zone", "z1"},
                       {"version", "v1"},
                       {"slots", 8},
                       {"stage", "decode"},
                       {"state", "ready"}});
  BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
  wait_until_ready();
  wait_until_fleet_is_known();
  int served = 0;
  for (int round = 0; round < 5; ++round) {
    served += call(callers, prompt_to("/s/1")).status == 200 ? 1 : 0;
  }
  BOOST_TEST(refusals > 0);
  BOOST_TEST(served == 5);
  BOOST_TEST(granted == used);
}
