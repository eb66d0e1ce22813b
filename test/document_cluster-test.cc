// The published document over real data folders: a process starts again from
// whatever its disk holds.
#include "control/document_cluster.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>

#include "processes.h"
#include "run-until.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t snapshot_entries = 8;

// One process that publishes and follows, in the test's loop.
class node {
 public:
  node(boost::asio::io_context& loop, const std::string& name,
       const std::string& folder, std::uint64_t incarnation)
      : traces_(loop, tracer_options{}) {
    options_.process = name;
    options_.deployment = "test";
    options_.data_folder = folder;
    options_.control.snapshot_entries = snapshot_entries;
    options_.control.keep_entries = 2;
    options_.gateway.seeds = {"127.0.0.1:1"};
    options_.gateway.first_start = true;
    options_.gateway.tolerated_losses = 0;
    peer_hub_options hub;
    hub.self = {name, incarnation};
    hub.deployment = options_.deployment;
    hub.secret = std::string(32, 's');
    peers_ = std::make_unique<peer_hub>(loop, hub);
    options_.listen.peers =
        fmt::format("127.0.0.1:{}", peers_->listen().value());
    context_.emplace(process_context{loop, options_, incarnation, *peers_,
                                     view_, metrics_, traces_});
    cluster_.emplace(*context_, [this](const published_document& in) {
      taken.push_back(in.version);
    });
    cluster_->start();
  }

  document_cluster& cluster() { return *cluster_; }

  std::vector<std::uint64_t> taken;  // versions, in order

 private:
  settings options_;
  configuration_view view_;
  metric_registry metrics_;
  tracer traces_;
  std::unique_ptr<peer_hub> peers_;
  std::optional<process_context> context_;
  std::optional<document_cluster> cluster_;
};

struct cluster_fixture {
  void start() {
    running.reset();
    running = std::make_unique<node>(loop, "p1", data, ++incarnation);
  }

  // Publishes versions up to `last` and waits for the last of them.
  void publish(std::uint64_t last) {
    BOOST_REQUIRE(run_until(loop, [&] { return running->cluster().leads(); }));
    while (published < last) {
      bool done = false;
      running->cluster().publish(published + 1,
                                 fmt::format("text {}", published + 1),
                                 [&](const absl::Status& status) {
                                   published += status.ok() ? 1 : 0;
                                   done = true;
                                 });
      BOOST_REQUIRE(run_until(loop, [&] { return done; }));
    }
  }

  void require_version(std::uint64_t version) {
    BOOST_REQUIRE(run_until(loop, [&] {
      return running->cluster().follower().current().version == version;
    }));
    BOOST_TEST(running->taken.back() == version);
    BOOST_TEST(running->cluster().follower().current().text ==
               fmt::format("text {}", version));
  }

  test_folder folder;
  std::string data = folder.path() + "/data";
  boost::asio::io_context loop;
  std::uint64_t incarnation = 0;
  std::uint64_t published = 0;
  std::unique_ptr<node> running;
};

}  // namespace

// Load: hundreds of changes in the life of a log, so that a snapshot holds the
// document when the process starts again.
BOOST_FIXTURE_TEST_CASE(a_process_starts_from_a_snapshot, cluster_fixture) {
  start();
  constexpr std::uint64_t changes = 300;
  publish(changes);
  start();
  require_version(changes);
  // It goes on from there, and again.
  publish(changes + 3 * snapshot_entries);
  start();
  require_version(changes + 3 * snapshot_entries);
}

BOOST_FIXTURE_TEST_CASE(a_member_that_just_started_counts_no_fleet,
                        cluster_fixture) {
  start();
  publish(1);
  require_version(1);
  BOOST_TEST(running->cluster().follower().processes() == unknown_processes);
}

BOOST_FIXTURE_TEST_CASE(a_process_starts_from_entries_alone, cluster_fixture) {
  start();
  publish(snapshot_entries / 2);
  start();
  require_version(snapshot_entries / 2);
}

BOOST_FIXTURE_TEST_CASE(a_process_starts_from_a_snapshot_and_a_torn_tail,
                        cluster_fixture) {
  start();
  publish(3 * snapshot_entries);
  running.reset();
  for (const auto& entry : std::filesystem::directory_iterator(data)) {
    if (entry.path().filename().string().find("log") != std::string::npos) {
      std::ofstream(entry.path(), std::ios::app | std::ios::binary)
          << std::string("\x40\x00\x00", 3);
    }
  }
  start();
  require_version(3 * snapshot_entries);
}

BOOST_FIXTURE_TEST_CASE(a_process_starts_from_an_empty_disk, cluster_fixture) {
  start();
  publish(snapshot_entries * 2);
  running.reset();
  std::filesystem::remove_all(data);
  published = 0;
  start();
  publish(1);
  require_version(1);
}

// The data folder can't be made while a file stands in its place.
BOOST_FIXTURE_TEST_CASE(a_process_waits_for_a_disk_that_fails,
                        cluster_fixture) {
  std::ofstream(data) << "in the way";
  start();
  BOOST_TEST(!run_until(
      loop, [&] { return running->cluster().leads(); },
      std::chrono::seconds(1)));
  std::filesystem::remove(data);
  publish(1);
  require_version(1);
}
