// Measures the control log with real disks and sessions in one process:
// proposals per second and their latency, bytes on disk, restart time.
// Example: bench_log --folder=/var/tmp --seconds=3
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/replica.h"

DEFINE_string(folder, "/var/tmp", "where the data folders are made");
DEFINE_double(seconds, 3, "length of one measurement");
DEFINE_int32(command_bytes, 200, "size of a command's payload");
DEFINE_int32(restart_entries, 10000, "entries before the restart");

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

using steady = std::chrono::steady_clock;
constexpr double milliseconds_per_second = 1000;

double seconds_since(steady::time_point start) {
  return std::chrono::duration<double>(steady::now() - start).count();
}

// Keeps the latest value of each of many keys.
class table_machine final : public state_machine {
 public:
  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override {
    rows_[command.at("key")] = command.at("value");
    return index;
  }
  nlohmann::json snapshot() const override { return rows_; }
  void restore(const nlohmann::json& state) override {
    rows_ = state.get<std::map<std::string, std::string>>();
  }
  std::size_t size() const { return rows_.size(); }

 private:
  std::map<std::string, std::string> rows_;
};

class bench_replica {
 public:
  bench_replica(boost::asio::io_context& loop, const std::string& folder,
                int number)
      : loop_(loop) {
    options_.process = fmt::format("vm-{}", number);
    options_.deployment = "bench";
    options_.data_folder = folder + "/" + options_.process;
    options_.control.snapshot_entries = std::int64_t{1} << 40;
    peer_hub_options peers;
    peers.self = {options_.process, 1};
    peers.deployment = options_.deployment;
    peers.secret = std::string(32, 's');
    hub_ = std::make_unique<peer_hub>(loop_, peers);
    options_.listen.peers = fmt::format("127.0.0.1:{}", hub_->listen().value());
  }

  void open() {
    machine = std::make_unique<table_machine>();
    log = make_replica({loop_, options_, *hub_, real_disk()},
                       {{"table", machine.get()}});
    const absl::Status opened = log->open();
    CHECK(opened.ok()) << opened;
  }
  const std::string& process() const { return options_.process; }
  const std::string& address() const { return options_.listen.peers; }
  std::uint64_t bytes(const std::string& prefix) const {
    std::uint64_t sum = 0;
    for (const auto& file :
         std::filesystem::directory_iterator(options_.data_folder)) {
      if (file.path().filename().string().rfind(prefix, 0) == 0) {
        sum += file.file_size();
      }
    }
    return sum;
  }

  std::unique_ptr<table_machine> machine;
  std::unique_ptr<replica> log;

 private:
  boost::asio::io_context& loop_;
  settings options_;
  std::unique_ptr<peer_hub> hub_;
};

class bench_group {
 public:
  explicit bench_group(int replicas) {
    std::string pattern = FLAGS_folder + "/bench-log-XXXXXX";
    PCHECK(mkdtemp(pattern.data()) != nullptr) << FLAGS_folder;
    folder_ = pattern;
    for (int i = 0; i < replicas; ++i) {
      replicas_.push_back(std::make_unique<bench_replica>(loop_, folder_, i));
      replicas_.back()->open();
    }
    CHECK(leader().log->make_group().ok());
    run_until([&] { return leader().log->status().role == "leader"; });
    for (int i = 1; i < replicas; ++i) {
      bool added = false;
      leader().log->add_member(replicas_[i]->process(), replicas_[i]->address(),
                               [&](const absl::Status& outcome) {
                                 CHECK(outcome.ok()) << outcome;
                                 added = true;
                               });
      run_until([&] { return added; });
    }
  }
  ~bench_group() {
    replicas_.clear();
    std::filesystem::remove_all(folder_);
  }
  bench_group(const bench_group&) = delete;
  bench_group& operator=(const bench_group&) = delete;

  bench_replica& leader() { return *replicas_.front(); }

  void run_until(const std::function<bool()>& holds) {
    while (!holds()) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(10));
    }
  }

  // Keeps `clients` proposals under way until `enough` says stop; returns
  // their latencies in seconds.
  std::vector<double> propose(int clients,
                              const std::function<bool()>& enough) {
    std::vector<double> latencies;
    int under_way = 0;
    const std::string value(static_cast<std::size_t>(FLAGS_command_bytes), 'x');
    std::function<void()> next = [&] {
      if (enough()) {
        return;
      }
      ++under_way;
      const auto start = steady::now();
      const std::string key = fmt::format("key-{}", sent_++);
      leader().log->propose(
          {{"kind", "table"}, {"key", key}, {"value", value}},
          [&, start](const absl::StatusOr<proposal_result>& outcome) {
            CHECK(outcome.ok()) << outcome.status();
            latencies.push_back(seconds_since(start));
            --under_way;
            next();
          });
    };
    for (int i = 0; i < clients; ++i) {
      next();
    }
    run_until([&] { return under_way == 0; });
    return latencies;
  }

  std::uint64_t sent() const { return sent_; }

 private:
  std::string folder_;
  boost::asio::io_context loop_;
  std::vector<std::unique_ptr<bench_replica>> replicas_;
  std::uint64_t sent_ = 0;
};

double percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[at] * milliseconds_per_second;
}

nlohmann::json measure_proposals(int replicas, int clients) {
  bench_group group(replicas);
  const auto start = steady::now();
  const auto latencies = group.propose(
      clients, [&] { return seconds_since(start) > FLAGS_seconds; });
  const double elapsed = seconds_since(start);
  return {
      {"replicas", replicas},
      {"clients", clients},
      {"per_second", static_cast<double>(latencies.size()) / elapsed},
      {"p50_ms", percentile(latencies, 0.5)},
      {"p99_ms", percentile(latencies, 0.99)},
      {"journal_bytes_per_command",
       group.leader().bytes("journal-") /
           std::max<std::uint64_t>(group.sent(), 1)},
  };
}

double restart_ms(bench_group& group) {
  bench_replica& of = group.leader();
  const std::size_t rows = of.machine->size();
  of.log.reset();
  const auto start = steady::now();
  of.open();
  // A lone voter leads after its election timeout, then applies its log.
  group.run_until([&] { return of.machine->size() == rows; });
  return seconds_since(start) * milliseconds_per_second;
}

double open_ms(bench_group& group) {
  group.leader().log.reset();
  const auto start = steady::now();
  group.leader().open();
  return seconds_since(start) * milliseconds_per_second;
}

nlohmann::json measure_restart() {
  constexpr int clients = 256;
  bench_group group(1);
  const auto entries = static_cast<std::uint64_t>(FLAGS_restart_entries);
  group.propose(clients, [&] { return group.sent() >= entries; });
  nlohmann::json out{{"entries", entries},
                     {"journal_bytes", group.leader().bytes("journal-")}};
  out["open_ms"] = open_ms(group);
  group.run_until([&] { return group.leader().machine->size() == entries; });
  out["restart_ms"] = restart_ms(group);
  CHECK(group.leader().log->take_snapshot().ok());
  group.run_until([&] { return group.leader().bytes("snapshot-") != 0; });
  out["snapshot_bytes"] = group.leader().bytes("snapshot-");
  out["open_from_snapshot_ms"] = open_ms(group);
  out["journal_bytes_after_snapshot"] = group.leader().bytes("journal-");
  return out;
}

// The disk alone: a small write and its sync.
nlohmann::json measure_disk() {
  constexpr int syncs = 500;
  const std::string path =
      fmt::format("{}/bench-log-sync-{}", FLAGS_folder, getpid());
  const disk_operations disk = real_disk();
  const disk_file file = disk.open(path).value();
  const std::string bytes(static_cast<std::size_t>(FLAGS_command_bytes), 'x');
  std::vector<double> latencies;
  for (int i = 0; i < syncs; ++i) {
    const auto start = steady::now();
    CHECK(file.write(bytes).ok() && file.sync().ok());
    latencies.push_back(seconds_since(start));
  }
  CHECK(disk.remove(path).ok());
  return {{"sync_p50_ms", percentile(latencies, 0.5)},
          {"sync_p99_ms", percentile(latencies, 0.99)}};
}

void print_table(const nlohmann::json& runs, const nlohmann::json& disk,
                 const nlohmann::json& restart) {
  fmt::print("{:>8} {:>8} {:>12} {:>9} {:>9} {:>14}\n", "replicas", "clients",
             "per second", "p50 ms", "p99 ms", "bytes/command");
  for (const auto& run : runs) {
    fmt::print("{:>8} {:>8} {:>12.0f} {:>9.2f} {:>9.2f} {:>14}\n",
               run["replicas"].get<int>(), run["clients"].get<int>(),
               run["per_second"].get<double>(), run["p50_ms"].get<double>(),
               run["p99_ms"].get<double>(),
               run["journal_bytes_per_command"].get<std::uint64_t>());
  }
  for (const nlohmann::json& part : {disk, restart}) {
    for (const auto& [name, value] : part.items()) {
      fmt::print("{:>28} {:.2f}\n", name, value.get<double>());
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = google::GLOG_ERROR;
  const nlohmann::json disk = measure_disk();
  nlohmann::json runs = nlohmann::json::array();
  for (const int replicas : {1, 3}) {
    for (const int clients : {1, 16, 128}) {
      runs.push_back(measure_proposals(replicas, clients));
    }
  }
  const nlohmann::json restart = measure_restart();
  print_table(runs, disk, restart);
  std::cout << nlohmann::json{{"disk", disk},
                              {"proposals", runs},
                              {"restart", restart}}
                   .dump()
            << "\n";
}
