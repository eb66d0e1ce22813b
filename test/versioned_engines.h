// Engines of several software versions, whose events name the version, and a
// caller that resumes streams.
#ifndef CITRONWHARF_TEST_VERSIONED_ENGINES_H_
#define CITRONWHARF_TEST_VERSIONED_ENGINES_H_

#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "raw_client.h"
#include "run-until.h"

namespace citronwharf::test {

constexpr int events_of_stream = 3;

/// An engine of one software version. Its events name the version.
struct versioned_engine {
  versioned_engine(boost::asio::io_context& loop, std::string name,
                   std::string software)
      : id(std::move(name)),
        version(std::move(software)),
        server(loop),
        loop_(loop) {
    server.answers = [this](const http_request& request,
                            std::unique_ptr<http_exchange> exchange) {
      answer(request, std::move(exchange));
    };
  }

  json entry() const {
    json out = listed(id, "models", server);
    out["stage"] = "decode";
    out["version"] = version;
    return out;
  }

  std::string events(int first, int last) const {
    std::string out;
    for (int number = first; number <= last; ++number) {
      out += fmt::format("id: {}\ndata: {}\n\n", number, version);
    }
    return out;
  }

  void answer(const http_request& request,
              std::unique_ptr<http_exchange> exchange) {
    if (refuses_holds && request.target == "/-/hold-take") {
      exchange->respond(reply(503, "{}", {{"Citronwharf-Not-Run", "1"}}));
      return;
    }
    if (gateway_fixture::answer_auxiliary_request(request, *exchange)) {
      return;
    }
    const std::string last = find_header(request.headers, "Last-Event-Id");
    const int next = last.empty() ? 1 : std::stoi(last) + 1;
    ++(last.empty() ? begun : resumed);
    exchange->start_stream(
        reply(200, "",
              {{"Citronwharf-Server-Stamp", "s"},
               {"Citronwharf-Request-Id",
                find_header(request.headers, "Citronwharf-Request-Id")},
               {"Content-Type", "text/event-stream"}}));
    if (last.empty() && first_events < events_of_stream) {
      exchange->write(events(1, first_events));
      open_streams.push_back(std::move(exchange));
      if (!stays_silent) {
        break_off_soon(std::prev(open_streams.end()));
      }
      return;
    }
    exchange->write(events(next, events_of_stream));
    exchange->finish();
  }

  std::string id;
  std::string version;
  fake_server server;
  int first_events = events_of_stream;  // that a stream begins with
  bool stays_silent = false;            // after them
  bool refuses_holds = false;
  // The gateway has time to read the first event.
  std::chrono::milliseconds break_off_after{40};
  int begun = 0;
  int resumed = 0;
  std::list<std::unique_ptr<http_exchange>> open_streams;

 private:
  void break_off_soon(
      std::list<std::unique_ptr<http_exchange>>::iterator which) {
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_);
    timer->expires_after(break_off_after);
    timer->async_wait([this, timer, which](boost::system::error_code error) {
      if (!error) {
        open_streams.erase(which);
      }
    });
  }

  boost::asio::io_context& loop_;
};

/// The versions that the events of a stream name, and the last event.
struct received_stream {
  std::vector<std::string> versions;
  int last_event = 0;

  void add(const std::string& bytes) {
    for (auto at = bytes.find("data: "); at != std::string::npos;
         at = bytes.find("data: ", at + 1)) {
      const std::string name = "data: ";
      const auto from = at + name.size();
      const std::string version =
          bytes.substr(from, bytes.find('\n', from) - from);
      ++last_event;
      if (versions.empty() || versions.back() != version) {
        versions.push_back(version);
      }
    }
  }
  bool whole() const { return last_event == events_of_stream; }
};

/// A stream of which a caller has the beginning.
struct begun_stream {
  int attempt = 0;  ///< number in the id of the request that began it
  received_stream received;
};

/// Sends streams to gateways. The objects referred to must outlive it.
struct stream_caller {
  boost::asio::io_context& loop;
  int& last_id;      ///< number in the id of the last request
  std::string path;  ///< of a route that may be resumed

  std::string request(const std::string& fields = "") {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: a.example\r\n"
        "Authorization: Token k1\r\nCitronwharf-Request-Id: q{}\r\n"
        "Citronwharf-Deadline-Ms: 10000\r\n"
        "Citronwharf-Token-Count: 1000,80\r\nConnection: close\r\n{}"
        "Content-Length: 4\r\n\r\nbody",
        path, ++last_id, fields);
  }

  /// Sends a request and waits for its end.
  received_stream get(const std::string& address, const std::string& bytes) {
    raw_client client(loop, address, bytes);
    BOOST_REQUIRE(run_until(loop, [&] { return client.ended(); }));
    received_stream out;
    out.add(client.response().body);
    return out;
  }

  /// Begins streams at engines that fall silent after the first event, then
  /// leaves all of them.
  std::vector<begun_stream> begin(const std::string& address, int count) {
    std::list<raw_client> clients;
    std::vector<begun_stream> out;
    for (int number = 0; number < count; ++number) {
      raw_client& client = clients.emplace_back(loop, address, request());
      BOOST_REQUIRE(run_until(loop, [&] {
        return client.ended() ||
               client.bytes().find("data: ") != std::string::npos;
      }));
      out.push_back({last_id, {}});
    }
    auto next = out.begin();
    for (raw_client& client : clients) {
      client.close();
      BOOST_REQUIRE(run_until(loop, [&] { return client.ended(); }));
      next->received.add(client.bytes());
      BOOST_REQUIRE(next->received.last_event > 0);
      ++next;
    }
    return out;
  }

  /// Resumes the streams, which must not go on at another version. Returns how
  /// many went on to their end.
  int resume(const std::string& address,
             const std::vector<begun_stream>& begun) {
    int went_on = 0;
    for (const begun_stream& each : begun) {
      const received_stream rest =
          get(address,
              request(fmt::format("Resumes: q{}\r\nLast-Event-Id: {}\r\n",
                                  each.attempt, each.received.last_event)));
      for (const std::string& version : rest.versions) {
        BOOST_TEST(version == each.received.versions.front());
      }
      const int events = each.received.last_event + rest.last_event;
      went_on += events == events_of_stream ? 1 : 0;
    }
    return went_on;
  }
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_VERSIONED_ENGINES_H_
