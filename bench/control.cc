// Distribution of the configuration: the size of a snapshot, and the bytes and
// processor time that a change and an idle second cost each daemon, over
// connected light stand-in daemons in one process.
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "base/configuration_json.h"
#include "control/configuration_machine.h"
#include "control/configuration_source.h"
#include "wire/control_messages.h"
#include "wire/frame.h"

DEFINE_int32(organisations, 14'000, "organisations, one key each");
DEFINE_int32(seconds, 5, "seconds of each measurement");

namespace {

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

// A replica that applies at once: the log's own cost is bench_log's.
class instant_replica final : public replica {
 public:
  explicit instant_replica(configuration_machine& machine)
      : machine_(machine) {}
  absl::Status open() override { return absl::OkStatus(); }
  absl::Status make_group() override { return absl::OkStatus(); }
  void propose(json command, proposal_done done) override {
    json result = machine_.apply(++index_, command);
    done(proposal_result{index_, std::move(result)});
  }
  void add_member(const std::string& /*process*/,
                  const std::string& /*address*/,
                  std::function<void(absl::Status)> done) override {
    done(absl::OkStatus());
  }
  void identify(const std::string&, identity_handler) override {}
  absl::Status add_learner(const replica_member&) override {
    return absl::OkStatus();
  }
  std::set<std::string> silent_members() const override { return {}; }
  void remove_member(const std::string& /*id*/,
                     std::function<void(absl::Status)> done) override {
    done(absl::OkStatus());
  }
  absl::Status take_snapshot() override { return absl::OkStatus(); }
  replica_status status() const override {
    replica_status out;
    out.id = "r1";
    out.role = "leader";
    out.last_index = index_;
    out.applied_index = index_;
    out.members = {{"r1", "control", address, true}};
    return out;
  }
  void subscribe(std::function<void()> /*on_change*/) override {}

  std::string address;

 private:
  configuration_machine& machine_;
  std::uint64_t index_ = 0;
};

// The shared parts of the control process.
class control_parts {
 public:
  explicit control_parts(boost::asio::io_context& loop)
      : traces_(loop, tracer_options{}) {
    options_.process = "control";
    peers_ = std::make_unique<peer_hub>(loop, hub_options("control", 1));
    port_ = peers_->listen().value();
    context_ = std::make_unique<process_context>(
        process_context{loop, options_, 1, *peers_, view_, metrics_, traces_});
  }
  static peer_hub_options hub_options(const std::string& name,
                                      std::uint64_t incarnation) {
    peer_hub_options hub;
    hub.self = {name, incarnation};
    hub.deployment = "bench";
    hub.secret = std::string(32, 's');
    return hub;
  }
  process_context& context() { return *context_; }
  std::string address() const { return fmt::format("127.0.0.1:{}", port_); }

 private:
  settings options_;
  configuration_view view_;
  metric_registry metrics_;
  tracer traces_;
  std::unique_ptr<peer_hub> peers_;
  std::uint16_t port_ = 0;
  std::unique_ptr<process_context> context_;
};

// Polls and fetches like a daemon's follower, but keeps only the version: the
// work on the documents is measured apart, once.
class light_daemon {
 public:
  light_daemon(boost::asio::io_context& loop, std::uint64_t number,
               const std::string& control)
      : peers_(loop, control_parts::hub_options(
                         fmt::format("daemon-{}", number), number + 2)),
        timer_(loop) {
    peers_.on<control_hello>(
        [this](const peer_id&, const control_hello&) { poll(); });
    peers_.on<config_poll_reply>(
        [this](const peer_id&, const config_poll_reply& reply) {
          if (reply.applied_version > version_ && !fetching_) {
            fetching_ = true;
            peers_.send("control", make_frame(config_fetch{version_}))
                .IgnoreError();
          }
        });
    peers_.on<config_changes>(
        [this](const peer_id&, const config_changes& changes) {
          fetching_ = false;
          if (changes.base == version_) {
            version_ += changes.changes.size();
          }
        });
    peers_.on<config_snapshot_part>(
        [this](const peer_id&, const config_snapshot_part& part) {
          if (part.part + 1 == part.parts) {
            fetching_ = false;
            version_ = part.version;
          }
        });
    peers_.connect("control", control);
  }
  std::uint64_t version() const { return version_; }

 private:
  void poll() {
    peers_.send("control", make_frame(config_poll{++polls_, version_}))
        .IgnoreError();
    timer_.expires_after(std::chrono::seconds(1));
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        poll();
      }
    });
  }

  peer_hub peers_;
  runtime_timer timer_;
  std::uint64_t version_ = 0;
  std::uint64_t polls_ = 0;
  bool fetching_ = false;
};

json large_document() {
  json organisations = json::array();
  json keys = json::array();
  for (int n = 0; n < FLAGS_organisations; ++n) {
    const std::string name = fmt::format("organisation-{:05}", n);
    organisations.push_back(
        {{"name", name},
         {"limit", {{"tokens_per_second", 100}, {"burst_tokens", 1000}}}});
    keys.push_back({{"id", fmt::format("key-{:05}", n)},
                    {"organisation", name},
                    {"digest", fmt::format("{:064x}", n)}});
  }
  return {{"organisations", organisations}, {"keys", keys}};
}

json change(std::uint64_t base) {
  configuration_command command;
  command.operation = fmt::format("change-{}", base);
  command.base = base;
  command.partial = true;
  command.document = {{"organisations",
                       {{{"name", "organisation-00000"},
                         {"weight", static_cast<double>(base) + 1}}}}};
  return command;
}

double processor_seconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

std::size_t bytes_of(const frame& in) {
  return encode_frame(in).size();
}

void run_for(boost::asio::io_context& loop, std::chrono::milliseconds span) {
  const auto end = std::chrono::steady_clock::now() + span;
  while (std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(5));
  }
}

void measure_sizes(const configuration_machine& machine,
                   const instant_replica& log) {
  const configuration& all = machine.current();
  config_poll_reply reply;
  reply.replica = "0123456789abcdef0123456789abcdef";
  reply.members = to_control_members(log.status().members);
  reply.members.resize(3, reply.members.front());
  fmt::print("organisations and keys      {}\n", FLAGS_organisations);
  fmt::print("snapshot as JSON            {} bytes\n", json(all).dump().size());
  fmt::print("log snapshot of the machine {} bytes CBOR\n",
             json::to_cbor(machine.snapshot()).size());
  fmt::print("one change                  {} bytes\n",
             bytes_of(make_frame(
                 config_changes{1, machine.changes_since(all.version - 1)
                                       .value_or(std::vector<json>{})})));
  fmt::print("poll and reply, 3 members   {} + {} bytes\n",
             bytes_of(make_frame(config_poll{1, 1})),
             bytes_of(make_frame(reply)));
}

// One control process and `count` light daemons in this process: the time of
// both ends of the sessions.
void measure_daemons(std::size_t count) {
  boost::asio::io_context loop;
  control_parts control(loop);
  configuration_machine machine;
  instant_replica log(machine);
  log.address = control.address();
  configuration_source source(control.context(), log, machine);
  configuration_command first;
  first.operation = "first";
  first.base = 0;
  first.document = large_document();
  machine.apply(1, first);

  std::vector<std::unique_ptr<light_daemon>> daemons;
  for (std::size_t n = 0; n < count; ++n) {
    daemons.push_back(
        std::make_unique<light_daemon>(loop, n, control.address()));
  }
  const auto all_at = [&](std::uint64_t version) {
    for (const auto& each : daemons) {
      if (each->version() != version) {
        return false;
      }
    }
    return true;
  };
  const auto begin = std::chrono::steady_clock::now();
  while (!all_at(1)) {
    run_for(loop, std::chrono::milliseconds(5));
  }
  const std::chrono::duration<double> joined =
      std::chrono::steady_clock::now() - begin;

  const double idle_begin = processor_seconds();
  run_for(loop, std::chrono::seconds(FLAGS_seconds));
  const double idle = (processor_seconds() - idle_begin) / FLAGS_seconds;

  const double change_begin = processor_seconds();
  const auto change_started = std::chrono::steady_clock::now();
  for (std::uint64_t version = 1; version <= 3; ++version) {
    machine.apply(version + 1, change(version));
    while (!all_at(version + 1)) {
      run_for(loop, std::chrono::milliseconds(5));
    }
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - change_started;
  const double busy = processor_seconds() - change_begin;
  const double one_change = std::max(0.0, (busy - idle * took.count()) / 3);
  fmt::print("{:>7}  {:>9.2f}  {:>14.3f}  {:>16.3f}  {:>12.2f}\n", count,
             joined.count(), idle * 1e3 / static_cast<double>(count),
             one_change * 1e3 / static_cast<double>(count), took.count() / 3);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_minloglevel = google::GLOG_ERROR;
  google::InitGoogleLogging(argv[0]);
  configuration_machine machine;
  instant_replica log(machine);
  configuration_command first;
  first.operation = "first";
  first.base = 0;
  first.document = large_document();
  const double begin = processor_seconds();
  machine.apply(1, first);
  const double whole = processor_seconds() - begin;
  machine.apply(2, change(1));
  const double partial = processor_seconds() - begin - whole;
  const std::string text = json(machine.current()).dump();
  const double read_begin = processor_seconds();
  const auto read = json::parse(text).get<configuration>();
  const double read_took = processor_seconds() - read_begin;
  const auto merged =
      merge_document(read, change(2).at("document"), document_mode::partial);
  const double merge_took = processor_seconds() - read_begin - read_took;
  CHECK(merged != read);
  measure_sizes(machine, log);
  fmt::print("apply the whole document    {:.1f} ms processor time\n",
             whole * 1e3);
  fmt::print("apply one change            {:.1f} ms processor time\n",
             partial * 1e3);
  fmt::print("a daemon reads a snapshot   {:.1f} ms processor time\n",
             read_took * 1e3);
  fmt::print("a daemon merges one change  {:.1f} ms processor time\n\n",
             merge_took * 1e3);
  fmt::print(
      "daemons  joined, s  idle, ms/s each  a change, ms each  reached, s\n");
  for (const std::size_t count : {1U, 10U, 50U, 200U}) {
    measure_daemons(count);
  }
  return 0;
}
