// Runs many requests through a gateway process at once. Each has a route, a
// service and two servers of its own, so that no case affects another one.
#ifndef CITRONWHARF_TEST_SCRIPTED_SERVERS_H_
#define CITRONWHARF_TEST_SCRIPTED_SERVERS_H_

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "raw_client.h"
#include "raw_server.h"

namespace citronwharf::test {

/// A request that a server of its case received.
struct scripted_request {
  std::string bytes;
  std::shared_ptr<raw_connection> from;
  int number = 1;  ///< among the requests of the case
  /// Head fields of a response to it, each line with its CRLF.
  std::string response_fields() const {
    return fmt::format(
        "Citronwharf-Server-Stamp: s\r\nCitronwharf-Request-Id: {}\r\n",
        raw_header(bytes, "Citronwharf-Request-Id"));
  }
};

enum class route_kind { unsafe, safe, stream, resumable };

struct scripted_case {
  std::string name;
  route_kind kind = route_kind::unsafe;
  /// Answers a request. Not called for requests about memory.
  std::function<void(const scripted_request&)> answer;
  /// Answers a prompt; the service has a prefill engine if it is set.
  std::function<void(const scripted_request&)> answer_prefill = {};
  std::string http_version = "1.1";  ///< of the caller

  int requests = 0;  ///< received by the servers, without prompts
  raw_response got{};
  std::string log_line{};  ///< of the gateway, about the request
};

struct scripted_servers : gateway_fixture {
  explicit scripted_servers(int drain_timeout_ms = 60000)
      : gateway_fixture(drain_timeout_ms) {
    wait_until_fleet_is_known();
    for (const route_kind kind : {route_kind::unsafe, route_kind::stream}) {
      add_case({"warm-up", kind, [](const scripted_request& request) {
                  request.from->write(
                      raw_reply(request.response_fields(), event(1)));
                }});
    }
  }

  scripted_case& add_case(scripted_case added) {
    const std::size_t number = cases.size();
    cases.push_back(std::move(added));
    const bool generates = is_stream(cases.back());
    const std::string service = fmt::format("v{}", number);
    const auto list = [&](const std::string& name, const std::string& stage,
                          const raw_server& server) {
      json entry{{"id", fmt::format("{}-{}", service, name)},
                 {"service", service},
                 {"addr", server.address()},
                 {"zone", "z1"},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"}};
      if (!stage.empty()) {
        entry["stage"] = stage;
      }
      instances.push_back(std::move(entry));
    };
    list("a", generates ? "decode" : "", first_server_);
    list("b", generates ? "decode" : "", second_server_);
    if (cases.back().answer_prefill) {
      list("p", "prefill", prefill_server_);
    }
    return cases.back();
  }

  // Waits until the gateway can serve the cases.
  void prepare() {
    BOOST_REQUIRE(
        run_until(loop, [&] { return publish_cases().status == 200; }));
    wait_until_ready();
    for (std::size_t number = 0; number < warm_ups; ++number) {
      BOOST_REQUIRE(
          run_until(loop, [&] { return run_case(number).status == 200; }));
    }
    warmed_up_ = true;
  }

  // Sends the request of each case once its servers are known, and waits until
  // all have ended.
  void run() {
    prepare();
    const int first_id = last_id + 1;
    std::deque<raw_client> clients;
    for (std::size_t number = warm_ups; number < cases.size(); ++number) {
      clients.emplace_back(loop, callers, request_of(number));
    }
    for (std::size_t number = warm_ups; number < cases.size(); ++number) {
      const raw_client& client = clients[number - warm_ups];
      BOOST_TEST_CONTEXT(cases[number].name) {
        BOOST_REQUIRE(run_until(loop, [&] { return client.ended(); }));
        cases[number].got = client.response();
      }
    }
    const std::string log = folder.read("g1.log");
    for (std::size_t number = warm_ups; number < cases.size(); ++number) {
      const auto at = log.find(
          fmt::format(R"("request":"q{}")", first_id + number - warm_ups));
      cases[number].log_line =
          log.substr(std::min(at, log.size()), log.find('\n', at) - at);
    }
  }

  std::string request_of(std::size_t number,
                         const std::string& tokens = "1000,80") {
    return fmt::format(
        "POST /{}/1 HTTP/{}\r\nHost: a.example\r\n"
        "Authorization: Token k1\r\nCitronwharf-Request-Id: q{}\r\n"
        "Citronwharf-Deadline-Ms: 4000\r\n"
        "Citronwharf-Token-Count: {}\r\nConnection: close\r\n"
        "Content-Length: 4\r\n\r\nbody",
        number, cases[number].http_version, ++last_id, tokens);
  }

  // Runs `action` after the gateway had time to handle what was sent.
  void soon(std::function<void()> action) {
    after(std::chrono::milliseconds(60), std::move(action));
  }

  void after(std::chrono::milliseconds span, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(loop);
    timer->expires_after(span);
    timer->async_wait(
        [timer, action = std::move(action)](boost::system::error_code error) {
          if (!error) {
            action();
          }
        });
  }

  void close_soon(const std::shared_ptr<raw_connection>& connection,
                  bool with_reset) {
    soon([connection, with_reset] {
      if (with_reset) {
        connection->reset();
      } else {
        connection->close();
      }
    });
  }

  static constexpr std::size_t warm_ups = 2;
  std::deque<scripted_case> cases;
  std::vector<std::shared_ptr<raw_connection>> kept_open;
  /// Answers the requests for memory of the cases, if set.
  std::function<void(const scripted_request&)> answer_any_hold;

 private:
  static bool is_stream(const scripted_case& of) {
    return of.kind == route_kind::stream || of.kind == route_kind::resumable;
  }

  http_response publish_cases() {
    json state{{"version", 7},
               {"routes", json::array()},
               {"services", json::array()},
               {"tenants",
                {{{"name", "t1"},
                  {"apiKeys", {"k1"}},
                  {"unit", "tokens"},
                  {"plainTokens", 200},
                  {"ratePerS", 1000000},
                  {"burst", 1000000}}}}};
    for (std::size_t number = 0; number < cases.size(); ++number) {
      const scripted_case& each = cases[number];
      const std::string service = fmt::format("v{}", number);
      json entry{{"name", service}};
      if (is_stream(each)) {
        entry["engine"] = {{"slots", 8},
                           {"kvTokens", 50000},
                           {"handleS", 0.5},
                           {"holdMs", 2000}};
      }
      state["services"].push_back(std::move(entry));
      state["routes"].push_back(
          {{"name", service},
           {"host", "a.example"},
           {"pathPrefix", fmt::format("/{}/", number)},
           {"kind", each.kind == route_kind::unsafe ? "unsafe"
                    : each.kind == route_kind::safe ? "safe"
                                                    : "stream"},
           {"timeoutMs", 4000},
           {"goalMs", 1000},
           {"service", service},
           {"attempts", 2},
           {"resumable", each.kind == route_kind::resumable},
           {"gapTargetMs", 300}});
    }
    return call(operators, {"POST", "/-/Config.Put", {}, state.dump(), ""});
  }

  raw_response run_case(std::size_t number) {
    raw_client client(loop, callers, request_of(number));
    BOOST_REQUIRE(run_until(loop, [&] { return client.ended(); }));
    return client.response();
  }

  void handle(const std::string& bytes,
              const std::shared_ptr<raw_connection>& from) {
    scripted_request request{bytes, from};
    const std::string target = bytes.substr(bytes.find(' ') + 1);
    if (target.rfind("/-/", 0) == 0) {
      answer_auxiliary(request);
      return;
    }
    std::size_t number = 0;
    if (!absl::SimpleAtoi(target.substr(1, target.find('/', 1) - 1), &number) ||
        number >= cases.size()) {
      // A process of another test that knew the owner of this port before.
      from->close();
      return;
    }
    scripted_case& of = cases[number];
    if (!raw_header(bytes, "Citronwharf-Stage").empty()) {
      of.answer_prefill(request);
      return;
    }
    request.number = ++of.requests;
    of.answer(request);
  }

  // Requests for memory name no case.
  void answer_auxiliary(const scripted_request& request) {
    if (request.bytes.find("hold-take") == std::string::npos) {
      request.from->write(raw_reply("", "{}"));
    } else if (answer_any_hold && warmed_up_) {
      answer_any_hold(request);
    } else {
      request.from->write(raw_reply("", R"({"hold":"m1"})"));
    }
  }

  raw_server::handler handler() {
    return [this](const std::string& request,
                  const std::shared_ptr<raw_connection>& from) {
      handle(request, from);
    };
  }

  bool warmed_up_ = false;
  raw_server first_server_{loop, handler()};
  raw_server second_server_{loop, handler()};
  raw_server prefill_server_{loop, handler()};
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_SCRIPTED_SERVERS_H_
