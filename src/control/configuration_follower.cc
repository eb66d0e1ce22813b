// Client side of configuration distribution, run by every process: polls the
// control replicas, applies deltas and snapshots, and extends the time until
// which the process's configuration counts as fresh.
#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/configuration_json.h"
#include "control/configuration_document.h"
#include "control/control_members.h"
#include "control/control_role.h"
#include "control/freshness.h"
#include "observe/event.h"
#include "wire/control_messages.h"

namespace citronwharf {
namespace {

constexpr duration poll_interval = seconds(1);
constexpr duration poll_interval_not_fresh = milliseconds(250);
constexpr duration fetch_timeout = seconds(2);
constexpr double poll_jitter = 0.1;  // fraction of the interval
constexpr std::size_t max_pending_polls = 16;

// Concatenates the parts of a snapshot. Part 0 starts a new snapshot; parts out
// of order, of another version or from another replica are ignored.
class snapshot_assembler {
 public:
  // Returns the complete text after the last part, else "".
  std::string add(const std::string& from,
                  const config_snapshot_part& received) {
    if (received.part == 0) {
      from_ = from;
      version_ = received.version;
      next_part_ = 0;
      text_.clear();
    }
    if (from != from_ || received.version != version_ ||
        received.part != next_part_) {
      return "";
    }
    text_ += received.text;
    ++next_part_;
    return next_part_ == received.parts ? std::exchange(text_, "") : "";
  }

 private:
  std::string from_;
  std::uint64_t version_ = 0;
  std::uint32_t next_part_ = 0;
  std::string text_;
};

class follower final : public configuration_follower {
 public:
  explicit follower(process_context& process)
      : process_(process),
        timer_(process.loop),
        freshness_(max_freshness_lease),
        random_(process.incarnation) {
    set_handlers();
    for (const std::string& seed : process.options.control.seeds) {
      process_.peers.connect_address(seed);
    }
    if (has_role(process.options, "control")) {
      control_processes_.insert(process.options.process);
    }
    poll();
  }

 private:
  void set_handlers() {
    peer_hub& peers = process_.peers;
    peers.on<control_hello>(
        [this](const peer_id& from, const control_hello& hello) {
          control_processes_.insert(from.name);
          update_members(hello.members);
          poll();
        });
    peers.on<config_poll_reply>(
        [this](const peer_id& from, const config_poll_reply& reply) {
          handle_poll_reply(from, reply);
        });
    peers.on<config_changes>(
        [this](const peer_id& from, const config_changes& changes) {
          handle_changes(from, changes);
        });
    peers.on<config_snapshot_part>(
        [this](const peer_id& from, const config_snapshot_part& part) {
          handle_snapshot_part(from, part);
        });
  }

  void poll() {
    const time_point now = runtime_clock::now();
    const config_poll request{++last_poll_, process_.view.current()->version};
    pending_polls_[request.id] = now;
    if (pending_polls_.size() > max_pending_polls) {
      pending_polls_.erase(pending_polls_.begin());
    }
    for (const std::string& target : control_processes_) {
      // Ignores send errors: the next poll retries replicas without a session.
      process_.peers.send(target, make_frame(request)).IgnoreError();
    }
    report_freshness(now);
    schedule_poll(now);
  }

  void schedule_poll(time_point now) {
    const duration base =
        process_.view.fresh(now) ? poll_interval : poll_interval_not_fresh;
    std::uniform_real_distribution<double> jitter_factor(1 - poll_jitter,
                                                         1 + poll_jitter);
    timer_.expires_after(std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(
            static_cast<double>(base.count()) * jitter_factor(random_))));
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        poll();
      }
    });
  }

  void report_freshness(time_point now) {
    const bool fresh = process_.view.fresh(now);
    process_.metrics.set("citronwharf_configuration_fresh", {}, fresh ? 1 : 0);
    if (fresh == was_fresh_) {
      return;
    }
    was_fresh_ = fresh;
    log_event(
        fresh ? events::configuration_fresh : events::configuration_not_fresh,
        process_.view.current()->version);
  }

  void update_members(const std::vector<control_member>& members) {
    for (const control_member& member : members) {
      const bool known = !control_processes_.insert(member.process).second;
      std::string& address = addresses_[member.process];
      if (member.process != process_.options.process &&
          (!known || address != member.address)) {
        address = member.address;
        process_.peers.connect(member.process, member.address);
      }
    }
  }

  void handle_poll_reply(const peer_id& from, const config_poll_reply& reply) {
    const auto sent = pending_polls_.find(reply.id);
    if (sent == pending_polls_.end()) {
      return;  // reply to a poll that is no longer pending
    }
    const time_point now = runtime_clock::now();
    update_members(reply.members);
    freshness_.add_answer(
        {reply.replica, reply.newest_version, voter_ids(reply.members)},
        sent->second, now);
    extend_freshness();
    const bool fetching = now < fetch_started_at_ + fetch_timeout;
    if (reply.applied_version > process_.view.current()->version && !fetching) {
      fetch_from(from.name, now);
    }
  }

  void extend_freshness() {
    const std::uint64_t version = process_.view.current()->version;
    if (const auto until = freshness_.fresh_until(version)) {
      process_.view.confirm(version, *until);
    }
    report_freshness(runtime_clock::now());
  }

  void fetch_from(const std::string& replica, time_point now) {
    const absl::Status sent = process_.peers.send(
        replica, make_frame(config_fetch{process_.view.current()->version}));
    if (sent.ok()) {
      fetch_started_at_ = now;
    }
  }

  void handle_changes(const peer_id& from, const config_changes& changes) {
    configuration next = *process_.view.current();
    if (changes.base != next.version) {
      return;  // stale reply: the deltas apply to another version
    }
    try {
      // Installs each intermediate version: subscribers must also see which
      // process was the home of an allowance in these versions.
      for (const nlohmann::json& change : changes.changes) {
        process_.view.replace(next);
        next = merge_document(next, change, document_mode::partial);
        ++next.version;
      }
    } catch (const nlohmann::json::exception& error) {
      process_.peers.end_session(from.name,
                                 absl::InvalidArgumentError(error.what()));
      return;
    }
    install(std::move(next));
  }

  void handle_snapshot_part(const peer_id& from,
                            const config_snapshot_part& part) {
    const std::string text = snapshot_assembler_.add(from.name, part);
    if (text.empty()) {
      return;
    }
    const auto document = parse_json(text);
    auto next = document.ok() ? decode_value<configuration>(*document)
                              : document.status();
    if (!next.ok()) {
      process_.peers.end_session(from.name, next.status());
      return;
    }
    install(std::move(*next));
  }

  void install(configuration next) {
    fetch_started_at_ = time_point{} - fetch_timeout;
    const std::uint64_t version = next.version;
    if (!process_.view.replace(std::move(next))) {
      return;
    }
    process_.metrics.set("citronwharf_configuration_version", {},
                         static_cast<double>(version));
    log_event(events::configuration_taken, version);
    extend_freshness();
  }

  process_context& process_;
  runtime_timer timer_;
  freshness freshness_;
  std::mt19937_64 random_;
  std::set<std::string> control_processes_;            // process names
  std::map<std::string, std::string> addresses_;       // by process name
  std::map<std::uint64_t, time_point> pending_polls_;  // send times by poll id
  std::uint64_t last_poll_ = 0;
  time_point fetch_started_at_ = time_point{} - fetch_timeout;
  snapshot_assembler snapshot_assembler_;
  bool was_fresh_ = false;
};

}  // namespace

std::unique_ptr<configuration_follower> make_configuration_follower(
    process_context& process) {
  return std::make_unique<follower>(process);
}

}  // namespace citronwharf
