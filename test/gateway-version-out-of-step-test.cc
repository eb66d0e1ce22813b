// A gateway stands still or is cut off while engines of a new software version
// join, and then callers resume streams at it that began at these engines
// through other gateways. Guards against a gateway that goes by its own, older
// view and lets such a stream go on at another version.
#include <fmt/format.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fleet.h"
#include "versioned_engines.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t gateways = 3;
constexpr std::size_t streams = 8;

// The first gateway leads at first.
enum class out_of_step { leader, follower };

std::ostream& operator<<(std::ostream& out, out_of_step which) {
  return out << (which == out_of_step::leader ? "leader" : "follower");
}

const out_of_step each_of_them[] = {out_of_step::leader, out_of_step::follower};

// Gateways that all have a disk, and engines of version v1.
struct release_fleet : gateway_fleet {
  release_fleet() {
    for (std::size_t i = 0; i < gateways; ++i) {
      fake_server& reads_from = directories.emplace_back(loop);
      reads_from.answers = [this, i](const http_request&,
                                     std::unique_ptr<http_exchange> exchange) {
        exchange->respond(
            directory_response(lagging == i ? old_instances : instances));
      };
      const std::string name = fmt::format("g{}", i + 1);
      processes.push_back(start(
          name, host(i),
          {{"data_folder", fmt::format("{}/{}", folder.path(), name)},
           {"gateway",
            {{"tolerated_losses", 1}, {"directory", reads_from.address()}}}}));
    }
    add_engines("v1");
    publish_all(true);
    wait_until_ready(host(2));
    // A process that does not know the size of its fleet assumes that many
    // others share the retry budget.
    repeat(std::chrono::milliseconds(500), std::chrono::milliseconds(2000),
           [] {});
  }

  static std::string host(std::size_t gateway) {
    return fmt::format("127.0.0.{}", gateway + 1);
  }
  std::string address_of(std::size_t gateway) const {
    return fmt::format("{}:{}", host(gateway), callers);
  }

  // Engines that fall silent after the first event of a stream.
  void add_engines(const char* version) {
    for (int n = 0; n < 2; ++n) {
      versioned_engine& engine = engines_of_versions.emplace_back(
          loop, fmt::format("e{}", engines_of_versions.size()), version);
      engine.first_events = 1;
      engine.stays_silent = true;
      instances.push_back(engine.entry());
    }
  }

  // Engines of a new version join while the gateway stands still. Where it
  // reads the list, they are missing for longer.
  std::vector<begun_stream> begin_streams_beside(std::size_t gateway) {
    stop(gateway);
    old_instances = instances;
    lagging = gateway;
    add_engines("v2");
    return begin_at("v2", 2, streams);
  }

  void stop(std::size_t gateway) { processes[gateway]->send_signal(SIGSTOP); }
  void let_go_on(std::size_t gateway) {
    processes[gateway]->send_signal(SIGCONT);
  }

  // Begins streams until this many of them began at the version.
  std::vector<begun_stream> begin_at(const char* version, std::size_t gateway,
                                     std::size_t count) {
    std::vector<begun_stream> out;
    constexpr int at_once = 8;
    // Without a leader, the gateways learn of new engines after some seconds.
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (out.size() < count && std::chrono::steady_clock::now() < limit) {
      for (const auto& each : caller.begin(address_of(gateway), at_once)) {
        if (each.received.versions.front() == version) {
          out.push_back(each);
        }
      }
    }
    BOOST_REQUIRE(out.size() >= count);
    return out;
  }

  // Sends requests that resume the streams, all at once.
  void resume_all(std::size_t gateway,
                  const std::vector<begun_stream>& streams) {
    for (const begun_stream& each : streams) {
      resumed.push_back(
          {each, std::make_unique<raw_client>(
                     loop, address_of(gateway),
                     caller.request(fmt::format(
                         "Resumes: q{}\r\nLast-Event-Id: {}\r\n", each.attempt,
                         each.received.last_event)))});
    }
  }

  // Waits for what resume_all() has sent. Returns how many streams went on to
  // their end; none may go on at another version.
  std::size_t wait_for_resumed() {
    std::size_t whole = 0;
    for (const resumed_stream& each : resumed) {
      BOOST_REQUIRE(run_until(loop, [&] { return each.client->ended(); }));
      received_stream all = each.begun.received;
      all.add(each.client->response().body);
      BOOST_TEST(all.versions.size() == 1U);
      whole += all.whole() ? 1 : 0;
    }
    resumed.clear();
    return whole;
  }

  struct resumed_stream {
    begun_stream begun;
    std::unique_ptr<raw_client> client;
  };

  std::list<fake_server> directories;
  json old_instances;
  std::size_t lagging = gateways;  // index of a gateway, or none
  std::vector<std::unique_ptr<child_process>> processes;
  std::list<versioned_engine> engines_of_versions;
  std::list<resumed_stream> resumed;
  stream_caller caller{loop, last_id, "/s/1"};
};

}  // namespace

BOOST_DATA_TEST_CASE_F(release_fleet,
                       stream_resumed_at_a_gateway_that_stood_still,
                       boost::unit_test::data::make(each_of_them), which) {
  const std::size_t still = which == out_of_step::leader ? 0 : 1;
  const auto begun = begin_streams_beside(still);
  // They wait at its socket.
  resume_all(still, begun);
  repeat(std::chrono::milliseconds(50), std::chrono::milliseconds(100), [] {});
  let_go_on(still);
  resume_all(still, begun);
  BOOST_TEST(wait_for_resumed() >= streams / 2);
  lagging = gateways;
  resume_all(still, begun);
  BOOST_TEST(wait_for_resumed() >= streams / 2);
}

BOOST_DATA_TEST_CASE_F(release_fleet,
                       stream_resumed_at_a_gateway_that_reaches_no_other_one,
                       boost::unit_test::data::make(each_of_them), which) {
  const std::size_t alone = which == out_of_step::leader ? 0 : 1;
  const auto begun = begin_streams_beside(alone);
  for (std::size_t other = 0; other < gateways; ++other) {
    if (other != alone) {
      stop(other);
    }
  }
  let_go_on(alone);
  resume_all(alone, begun);
  wait_for_resumed();
  resume_all(alone, begun);
  lagging = gateways;
  for (std::size_t other = 0; other < gateways; ++other) {
    let_go_on(other);
  }
  wait_for_resumed();
  repeat(std::chrono::milliseconds(500), std::chrono::milliseconds(4000),
         [] {});
  resume_all(alone, begun);
  BOOST_TEST(wait_for_resumed() >= streams / 2);
}
