// Every process's side of the distribution: polls the control replicas, takes
// deltas and snapshots, and extends the freshness of the process's view.
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
constexpr double poll_jitter = 0.1;  // share of the interval
constexpr std::size_t most_polls_known = 16;

// The parts of a snapshot under way.
class snapshot_parts {
 public:
  // Returns the whole text with the last part, "" before.
  std::string add(const std::string& from, const config_snapshot_part& in) {
    if (in.part == 0) {
      from_ = from;
      version_ = in.version;
      next_ = 0;
      text_.clear();
    }
    if (from != from_ || in.version != version_ || in.part != next_) {
      return "";
    }
    text_ += in.text;
    ++next_;
    return next_ == in.parts ? std::exchange(text_, "") : "";
  }

 private:
  std::string from_;
  std::uint64_t version_ = 0;
  std::uint32_t next_ = 0;
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
      targets_.insert(process.options.process);
    }
    poll();
  }

 private:
  void set_handlers() {
    peer_hub& peers = process_.peers;
    peers.on<control_hello>(
        [this](const peer_id& from, const control_hello& hello) {
          targets_.insert(from.name);
          learn_members(hello.members);
          poll();
        });
    peers.on<config_poll_reply>(
        [this](const peer_id& from, const config_poll_reply& reply) {
          take_reply(from, reply);
        });
    peers.on<config_changes>(
        [this](const peer_id& from, const config_changes& changes) {
          take_changes(from, changes);
        });
    peers.on<config_snapshot_part>(
        [this](const peer_id& from, const config_snapshot_part& part) {
          take_part(from, part);
        });
  }

  void poll() {
    const time_point now = runtime_clock::now();
    const config_poll out{++last_poll_, process_.view.current()->version};
    polls_[out.id] = now;
    if (polls_.size() > most_polls_known) {
      polls_.erase(polls_.begin());
    }
    for (const std::string& target : targets_) {
      // A replica without session is polled again in the next round.
      process_.peers.send(target, make_frame(out)).IgnoreError();
    }
    note_freshness(now);
    schedule_poll(now);
  }

  void schedule_poll(time_point now) {
    const duration base =
        process_.view.fresh(now) ? poll_interval : poll_interval_not_fresh;
    std::uniform_real_distribution<double> spread(1 - poll_jitter,
                                                  1 + poll_jitter);
    timer_.expires_after(std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(
            static_cast<double>(base.count()) * spread(random_))));
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        poll();
      }
    });
  }

  void note_freshness(time_point now) {
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

  void learn_members(const std::vector<control_member>& members) {
    for (const control_member& member : members) {
      const bool known = !targets_.insert(member.process).second;
      std::string& address = addresses_[member.process];
      if (member.process != process_.options.process &&
          (!known || address != member.address)) {
        address = member.address;
        process_.peers.connect(member.process, member.address);
      }
    }
  }

  void take_reply(const peer_id& from, const config_poll_reply& reply) {
    const auto sent = polls_.find(reply.id);
    if (sent == polls_.end()) {
      return;  // too old
    }
    const time_point now = runtime_clock::now();
    learn_members(reply.members);
    freshness_.add_answer(
        {reply.replica, reply.newest_version, voter_ids(reply.members)},
        sent->second, now);
    extend_freshness();
    const bool fetching = now < fetched_at_ + fetch_timeout;
    if (reply.applied_version > process_.view.current()->version && !fetching) {
      fetch_from(from.name, now);
    }
  }

  void extend_freshness() {
    const std::uint64_t version = process_.view.current()->version;
    if (const auto until = freshness_.fresh_until(version)) {
      process_.view.confirm(version, *until);
    }
    note_freshness(runtime_clock::now());
  }

  void fetch_from(const std::string& replica, time_point now) {
    const absl::Status sent = process_.peers.send(
        replica, make_frame(config_fetch{process_.view.current()->version}));
    if (sent.ok()) {
      fetched_at_ = now;
    }
  }

  void take_changes(const peer_id& from, const config_changes& changes) {
    configuration next = *process_.view.current();
    if (changes.base != next.version) {
      return;  // of an earlier fetch
    }
    try {
      // Version by version: who was home of an allowance in between matters.
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
    take(std::move(next));
  }

  void take_part(const peer_id& from, const config_snapshot_part& part) {
    const std::string text = parts_.add(from.name, part);
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
    take(std::move(*next));
  }

  void take(configuration next) {
    fetched_at_ = time_point{} - fetch_timeout;
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
  std::set<std::string> targets_;                 // process names
  std::map<std::string, std::string> addresses_;  // by process name
  std::map<std::uint64_t, time_point> polls_;     // sent, by poll id
  std::uint64_t last_poll_ = 0;
  time_point fetched_at_ = time_point{} - fetch_timeout;
  snapshot_parts parts_;
  bool was_fresh_ = false;
};

}  // namespace

std::unique_ptr<configuration_follower> make_configuration_follower(
    process_context& process) {
  return std::make_unique<follower>(process);
}

}  // namespace citronwharf
