#include "control/configuration_source.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr std::size_t snapshot_part_bytes = 128U << 10U;
// Between two parts, for what else the loop has to do.
constexpr duration part_pause = milliseconds(1);
// More deltas than this travel as a snapshot.
constexpr std::size_t most_changes_sent = 200;

}  // namespace

configuration_source::configuration_source(process_context& process,
                                           replica& log,
                                           const configuration_machine& machine)
    : process_(process),
      log_(log),
      machine_(machine),
      part_timer_(process.loop) {
  process_.peers.on<config_poll>(
      [this](const peer_id& from, const config_poll& poll) {
        answer_poll(from, poll);
      });
  process_.peers.on<config_fetch>(
      [this](const peer_id& from, const config_fetch& fetch) {
        answer_fetch(from, fetch);
      });
  process_.peers.on_session([this](const peer_id& peer, bool up) {
    if (!up) {
      sessions_.erase(peer.name);
      return;
    }
    sessions_.insert(peer.name);
    // A peer that is gone again learns it on its next session.
    process_.peers.send(peer.name, make_frame(control_hello{members_}))
        .IgnoreError();
  });
  log_.subscribe([this] { greet_all(); });
}

void configuration_source::greet_all() {
  auto members = to_control_members(log_.status().members);
  if (members == members_) {
    return;
  }
  members_ = std::move(members);
  for (const std::string& peer : sessions_) {
    process_.peers.send(peer, make_frame(control_hello{members_}))
        .IgnoreError();
  }
}

void configuration_source::answer_poll(const peer_id& from,
                                       const config_poll& poll) {
  polled_at_[from.name] = runtime_clock::now();
  const replica_status status = log_.status();
  config_poll_reply reply;
  reply.id = poll.id;
  reply.replica = status.id;
  reply.applied_version = machine_.current().version;
  reply.newest_version =
      reply.applied_version + log_.unapplied(configuration_command::kind);
  reply.members = to_control_members(status.members);
  // A lost reply is polled for again.
  process_.peers.send(from.name, make_frame(reply)).IgnoreError();
}

void configuration_source::answer_fetch(const peer_id& from,
                                        const config_fetch& fetch) {
  auto changes = machine_.changes_since(fetch.version);
  if (!changes || changes->size() > most_changes_sent) {
    queue_snapshot(from.name);
    return;
  }
  if (!changes->empty()) {
    process_.peers
        .send(from.name,
              make_frame(config_changes{fetch.version, std::move(*changes)}))
        .IgnoreError();
  }
}

void configuration_source::queue_snapshot(const std::string& to) {
  const auto same = [&](const snapshot_under_way& in) { return in.to == to; };
  if (std::any_of(snapshots_.begin(), snapshots_.end(), same)) {
    return;
  }
  const configuration& current = machine_.current();
  if (!text_ || text_->version != current.version) {
    text_ = std::make_shared<const snapshot_text>(
        snapshot_text{current.version, nlohmann::json(current).dump()});
  }
  snapshots_.push_back({to, text_, 0});
  if (snapshots_.size() == 1) {
    send_next_part();
  }
}

// Sends a part a turn of the loop, one snapshot after the other, so that
// sessions are not silent for long while many processes need one.
void configuration_source::send_next_part() {
  snapshot_under_way& first = snapshots_.front();
  const std::string& text = first.text->json;
  const auto parts = static_cast<std::uint32_t>(
      (text.size() + snapshot_part_bytes - 1) / snapshot_part_bytes);
  const absl::Status sent = process_.peers.send(
      first.to,
      make_frame(config_snapshot_part{
          first.text->version, first.next, parts,
          text.substr(first.next * snapshot_part_bytes, snapshot_part_bytes)}));
  ++first.next;
  // A process that is gone fetches again.
  if (!sent.ok() || first.next == parts) {
    snapshots_.pop_front();
  }
  if (snapshots_.empty()) {
    return;
  }
  part_timer_.expires_after(part_pause);
  part_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      send_next_part();
    }
  });
}

std::set<std::string> configuration_source::polled_within(
    duration span, time_point now) const {
  std::set<std::string> names;
  for (const auto& [name, at] : polled_at_) {
    if (at + span > now) {
      names.insert(name);
    }
  }
  return names;
}

}  // namespace citronwharf
