// Replicas with real sessions, timers and disks in one process.
#include "control/replica.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "run-until.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using citronwharf::test::run_until;

namespace {

// State machine that stores the numbers it receives.
class list_machine final : public state_machine {
 public:
  nlohmann::json apply(std::uint64_t /*index*/,
                       const nlohmann::json& command) override {
    numbers.push_back(command.at("number"));
    return numbers.size();
  }
  nlohmann::json snapshot() const override { return numbers; }
  void restore(const nlohmann::json& state) override {
    numbers = state.get<std::vector<int>>();
  }
  std::vector<int> numbers;
};

class control_vm {
 public:
  control_vm(boost::asio::io_context& loop, const std::string& folder,
             const std::string& name)
      : loop_(loop) {
    options_.process = name;
    options_.deployment = "d";
    options_.data_folder = folder + "/" + name;
    options_.control.snapshot_entries = 1000000;
    start();
  }

  void start() {
    peer_hub_options peers;
    peers.self = {options_.process, ++incarnation_};
    peers.deployment = options_.deployment;
    peers.secret = std::string(32, 's');
    peers.listen = options_.listen.peers;
    hub_ = std::make_unique<peer_hub>(loop_, peers);
    const std::uint16_t port = hub_->listen().value();
    options_.listen.peers = fmt::format("127.0.0.1:{}", port);
    machine.numbers.clear();
    replica_environment environment{loop_, options_, *hub_, real_disk()};
    environment.disk.open = [this](const std::string& path) {
      absl::StatusOr<disk_file> file = real_disk().open(path);
      if (file.ok()) {
        file->sync = [this, sync = file->sync] {
          return disk_fails ? absl::ResourceExhaustedError("disk full")
                            : sync();
        };
      }
      return file;
    };
    log = make_replica(environment, {{"list", &machine}});
    const absl::Status opened = log->open();
    BOOST_REQUIRE_MESSAGE(opened.ok(), opened.ToString());
  }

  void stop() {
    log.reset();
    hub_.reset();
  }

  void lose_disk() {
    stop();
    std::filesystem::remove_all(options_.data_folder);
  }

  // Sends a reply of no known term to itself, which changes nothing.
  void receive_stale_message() {
    hub_->send(options_.process, make_frame(vote_reply{})).IgnoreError();
  }

  bool leads() const { return log && log->status().role == "leader"; }
  const std::string& name() const { return options_.process; }
  const std::string& address() const { return options_.listen.peers; }

  list_machine machine;
  std::unique_ptr<replica> log;
  std::atomic<bool> disk_fails{false};

 private:
  boost::asio::io_context& loop_;
  settings options_;
  std::unique_ptr<peer_hub> hub_;
  std::uint64_t incarnation_ = 0;
};

struct control_group {
  control_group() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "cw-XXXXXX").string();
    folder = mkdtemp(pattern.data());
    for (const char* name : {"vm-0", "vm-1", "vm-2"}) {
      vms.push_back(std::make_unique<control_vm>(loop, folder, name));
    }
    BOOST_REQUIRE(vms[0]->log->make_group().ok());
    BOOST_REQUIRE(run_until(loop, [&] { return vms[0]->leads(); }));
    BOOST_TEST(add(1).ok());
    BOOST_TEST(add(2).ok());
  }
  ~control_group() {
    vms.clear();
    std::filesystem::remove_all(folder);
  }
  control_group(const control_group&) = delete;
  control_group& operator=(const control_group&) = delete;

  control_vm* leader() {
    control_vm* found = nullptr;
    BOOST_REQUIRE(run_until(loop, [&] {
      for (auto& vm : vms) {
        found = vm->leads() ? vm.get() : found;
      }
      return found != nullptr;
    }));
    return found;
  }

  absl::Status add(std::size_t i) {
    std::optional<absl::Status> outcome;
    leader()->log->add_member(
        vms[i]->name(), vms[i]->address(),
        [&](const absl::Status& status) { outcome = status; });
    BOOST_REQUIRE(run_until(loop, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  // Proposes at the current leader until the command succeeds. The number is
  // then in the log once or, after unknown outcomes, several times.
  void propose(int number) {
    bool done = false;
    bool waiting = false;
    BOOST_REQUIRE(run_until(loop, [&] {
      if (!waiting && !done) {
        waiting = true;
        leader()->log->propose(
            {{"kind", "list"}, {"number", number}},
            [&](const absl::StatusOr<proposal_result>& outcome) {
              waiting = false;
              done = outcome.ok();
            });
      }
      return done;
    }));
  }

  bool all_hold(const std::vector<int>& numbers) {
    return run_until(loop, [&] {
      for (auto& vm : vms) {
        if (vm->log && vm->machine.numbers != numbers) {
          return false;
        }
      }
      return true;
    });
  }

  boost::asio::io_context loop;
  std::string folder;
  std::vector<std::unique_ptr<control_vm>> vms;
};

}  // namespace

BOOST_AUTO_TEST_CASE(three_replicas_go_on_through_restarts_and_lost_disks) {
  control_group of;
  of.propose(1);
  BOOST_TEST(of.all_hold({1}));
  BOOST_TEST(of.leader()->log->take_snapshot().ok());
  of.propose(2);

  // The leader's process stops, the others continue, and it restarts.
  control_vm* old = of.leader();
  old->stop();
  of.propose(3);
  old->start();
  BOOST_TEST(of.all_hold({1, 2, 3}));

  // A VM loses its disk and is replaced; right after that, another one does.
  for (const std::size_t lost : {1, 2}) {
    of.vms[lost]->lose_disk();
    of.propose(static_cast<int>(3 + lost));
    of.vms[lost]->start();
    BOOST_TEST(of.vms[lost]->log->status().role == "outside");
    BOOST_TEST(of.add(lost).ok());
  }
  BOOST_TEST(of.all_hold({1, 2, 3, 4, 5}));
  BOOST_TEST(of.leader()->log->status().members.size() == 3U);
  BOOST_TEST(of.add(1).ok());  // repeated, as after a lost reply

  // All stop and restart: no entry is missing.
  for (auto& vm : of.vms) {
    vm->stop();
  }
  for (auto& vm : of.vms) {
    vm->start();
  }
  of.propose(6);
  BOOST_TEST(of.all_hold({1, 2, 3, 4, 5, 6}));
}

BOOST_AUTO_TEST_CASE(a_full_disk_stops_a_leader_for_good) {
  control_group of;
  control_vm* old = of.leader();
  old->disk_fails = true;
  std::optional<absl::Status> outcome;
  old->log->propose({{"kind", "list"}, {"number", 1}},
                    [&](const absl::StatusOr<proposal_result>& result) {
                      outcome = result.status();
                    });
  BOOST_REQUIRE(run_until(of.loop, [&] { return outcome.has_value(); }));
  BOOST_TEST((outcome->code() == absl::StatusCode::kAborted));
  old->disk_fails = false;
  BOOST_TEST(old->log->status().role == "failed");
  BOOST_TEST(old->log->status().fault.find("disk full") != std::string::npos);
  of.propose(2);
  BOOST_TEST(old->log->status().role == "failed");
}

BOOST_AUTO_TEST_CASE(a_member_is_removed_and_a_stranger_refused) {
  control_group of;
  control_vm stranger(of.loop, of.folder, "vm-3");
  BOOST_TEST(stranger.log->make_group().ok());
  BOOST_TEST((stranger.log->make_group().code() ==
              absl::StatusCode::kFailedPrecondition));
  std::optional<absl::Status> outcome;
  const auto keep = [&](const absl::Status& status) { outcome = status; };
  of.leader()->log->add_member(stranger.name(), stranger.address(), keep);
  BOOST_REQUIRE(run_until(of.loop, [&] { return outcome.has_value(); }));
  BOOST_TEST((outcome->code() == absl::StatusCode::kFailedPrecondition));

  outcome.reset();
  const std::string id = of.vms[2]->log->status().id;
  of.leader()->log->remove_member(id, keep);
  BOOST_REQUIRE(run_until(of.loop, [&] { return outcome.has_value(); }));
  BOOST_TEST(outcome->ok());
  of.propose(1);
  BOOST_TEST(of.leader()->log->status().members.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_follower_flooded_with_messages_elects_a_new_leader) {
  control_group of;
  of.leader()->stop();
  bool flooding = true;
  std::function<void()> flood = [&] {
    for (auto& vm : of.vms) {
      if (flooding && vm->log) {
        vm->receive_stale_message();
      }
    }
    if (flooding) {
      boost::asio::post(of.loop, flood);
    }
  };
  flood();
  const bool elected = run_until(of.loop, [&] {
    return std::any_of(of.vms.begin(), of.vms.end(),
                       [](const auto& vm) { return vm->leads(); });
  });
  flooding = false;
  of.loop.poll();
  BOOST_TEST(elected);
}
