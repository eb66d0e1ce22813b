// Tests of gateway processes in front of engines of two software versions,
// whose events must not be joined in one stream, neither within an answer nor
// when the caller resumes the stream, at any process and after restarts.
#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "raw_client.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using namespace citronwharf;        // NOLINT(google-build-using-namespace)

namespace {

constexpr int events_of_stream = 3;

// An engine of one software version. Its events name the version.
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
  int begun = 0;
  int resumed = 0;
  std::list<std::unique_ptr<http_exchange>> open_streams;

 private:
  // The gateway has time to read the first event.
  void break_off_soon(
      std::list<std::unique_ptr<http_exchange>>::iterator which) {
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_);
    timer->expires_after(std::chrono::milliseconds(40));
    timer->async_wait([this, timer, which](boost::system::error_code error) {
      if (!error) {
        open_streams.erase(which);
      }
    });
  }

  boost::asio::io_context& loop_;
};

// The versions that the events of a stream name, and the last event.
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

struct version_fixture : gateway_fixture {
  version_fixture() { instances = json::array(); }

  versioned_engine& add_engine(const std::string& version) {
    engines.emplace_back(loop, fmt::format("e{}", engines.size()), version);
    instances.push_back(engines.back().entry());
    return engines.back();
  }

  // Two engines of each of two versions, which fall silent after the first
  // event of a stream.
  void add_silent_engines() {
    for (const char* version : {"v1", "v2", "v1", "v2"}) {
      versioned_engine& engine = add_engine(version);
      engine.first_events = 1;
      engine.stays_silent = true;
    }
  }

  void remove(const versioned_engine& engine) {
    json left = json::array();
    for (const json& entry : instances) {
      if (entry.at("id") != engine.id) {
        left.push_back(entry);
      }
    }
    instances = left;
  }

  void prepare() {
    BOOST_REQUIRE(run_until(loop, [&] { return publish(7).status == 200; }));
    wait_until_ready();
    wait_until_fleet_is_known();
  }

  std::string stream_request(const std::string& fields = "") {
    return fmt::format(
        "POST /r/1 HTTP/1.1\r\nHost: a.example\r\n"
        "Authorization: Token k1\r\nCitronwharf-Request-Id: q{}\r\n"
        "Citronwharf-Deadline-Ms: 10000\r\n"
        "Citronwharf-Token-Count: 1000,80\r\nConnection: close\r\n{}"
        "Content-Length: 4\r\n\r\nbody",
        ++last_id, fields);
  }

  std::string resume_fields(int first_attempt, const received_stream& of) {
    return fmt::format("Resumes: q{}\r\nLast-Event-Id: {}\r\n", first_attempt,
                       of.last_event);
  }

  // Sends a stream and waits for its end.
  received_stream get(const std::string& request) {
    raw_client client(loop, callers, request);
    BOOST_REQUIRE(run_until(loop, [&] { return client.ended(); }));
    received_stream out;
    out.add(client.response().body);
    return out;
  }

  struct begun_stream {
    int attempt = 0;  // number in the id of the request
    received_stream received;
  };

  // Begins streams at engines that fall silent after the first event, then
  // leaves all of them.
  std::vector<begun_stream> begin_streams(int count) {
    std::list<raw_client> clients;
    std::vector<begun_stream> out;
    for (int number = 0; number < count; ++number) {
      raw_client& client =
          clients.emplace_back(loop, callers, stream_request());
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

  // Resumes the streams. Returns how many went on to their end.
  int resume(const std::vector<begun_stream>& begun) {
    int went_on = 0;
    for (const begun_stream& each : begun) {
      received_stream all = each.received;
      const received_stream rest =
          get(stream_request(resume_fields(each.attempt, all)));
      for (const std::string& version : rest.versions) {
        BOOST_TEST(version == each.received.versions.front());
      }
      went_on += each.received.last_event + rest.last_event == events_of_stream;
    }
    return went_on;
  }

  void restart_after_kill() {
    gateway->kill();
    start();
    wait_until_ready();
  }

  std::list<versioned_engine> engines;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(broken_stream_goes_on_at_the_version_that_began_it,
                        version_fixture) {
  for (const char* version : {"v1", "v1", "v2", "v2", "v3", "v3"}) {
    add_engine(version).first_events = 1;
  }
  prepare();
  int whole = 0;
  constexpr int streams = 24;
  for (int number = 0; number < streams; ++number) {
    const received_stream got = get(stream_request());
    BOOST_TEST(got.versions.size() == 1U);
    whole += got.whole() ? 1 : 0;
  }
  BOOST_TEST(whole >= streams / 2);
}

BOOST_FIXTURE_TEST_CASE(silent_engine_is_replaced_by_one_of_its_version,
                        version_fixture) {
  add_silent_engines();
  prepare();
  for (int number = 0; number < 6; ++number) {
    const received_stream got = get(stream_request());
    BOOST_TEST(got.versions.size() == 1U);
    BOOST_TEST(got.whole());
  }
}

BOOST_FIXTURE_TEST_CASE(
    broken_stream_ends_at_once_if_no_engine_of_its_version_is_left,
    version_fixture) {
  versioned_engine& first = add_engine("v1");
  first.first_events = 1;
  prepare();
  versioned_engine& second = add_engine("v2");
  BOOST_REQUIRE(run_until(loop, [&] {
    return folder.read("g1.log").find(R"("servers":2)") != std::string::npos;
  }));
  // New streams may begin at the other version.
  for (int number = 0; number < 8; ++number) {
    const auto sent_at = std::chrono::steady_clock::now();
    const received_stream got = get(stream_request());
    BOOST_TEST(got.versions.size() == 1U);
    BOOST_TEST((std::chrono::steady_clock::now() - sent_at <
                std::chrono::milliseconds(1000)));
  }
  BOOST_TEST(first.begun > 0);
  BOOST_TEST(second.resumed == 0);
}

BOOST_FIXTURE_TEST_CASE(resumed_stream_goes_on_at_the_version_that_began_it,
                        version_fixture) {
  add_silent_engines();
  prepare();
  const auto begun = begin_streams(24);
  BOOST_TEST(resume(begun) >= 12);
}

BOOST_FIXTURE_TEST_CASE(
    stream_resumed_after_a_kill_goes_on_at_the_version_that_began_it,
    version_fixture) {
  add_silent_engines();
  prepare();
  const auto begun = begin_streams(24);
  restart_after_kill();
  BOOST_TEST(resume(begun) >= 12);
}

BOOST_FIXTURE_TEST_CASE(
    stream_resumed_after_a_kill_is_refused_if_its_version_has_left,
    version_fixture) {
  versioned_engine& old = add_engine("v1");
  old.first_events = 1;
  old.stays_silent = true;
  prepare();
  const auto begun = begin_streams(4);
  versioned_engine& replacement = add_engine("v2");
  remove(old);
  restart_after_kill();
  const auto resumed_at = std::chrono::steady_clock::now();
  BOOST_TEST(resume(begun) == 0);
  BOOST_TEST(replacement.resumed == 0);
  BOOST_TEST((std::chrono::steady_clock::now() - resumed_at <
              std::chrono::milliseconds(4000)));
  BOOST_TEST(get(stream_request()).whole());
}
