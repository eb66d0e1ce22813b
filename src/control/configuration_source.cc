#include "control/configuration_source.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr std::size_t snapshot_part_bytes = 128U << 10U;
// Pause between two parts, so that the event loop can run other handlers.
constexpr duration part_interval = milliseconds(1);
// A snapshot is sent instead of more deltas than this.
constexpr std::size_t max_deltas_sent = 200;

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
    // If this send fails, the peer gets the members on its next session.
    process_.peers.send(peer.name, make_frame(control_hello{members_}))
        .IgnoreError();
  });
  log_.subscribe([this] { send_members_to_all(); });
}

void configuration_source::send_members_to_all() {
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
  // If the reply is lost, the process polls again.
  process_.peers.send(from.name, make_frame(reply)).IgnoreError();
}

void configuration_source::answer_fetch(const peer_id& from,
                                        const config_fetch& fetch) {
  auto changes = machine_.changes_since(fetch.version);
  if (!changes || changes->size() > max_deltas_sent) {
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
  const auto same = [&](const outgoing_snapshot& in) { return in.to == to; };
  if (std::any_of(outgoing_snapshots_.begin(), outgoing_snapshots_.end(),
                  same)) {
    return;
  }
  const configuration& current = machine_.current();
  if (!latest_text_ || latest_text_->version != current.version) {
    latest_text_ = std::make_shared<const snapshot_text>(
        snapshot_text{current.version, nlohmann::json(current).dump()});
  }
  outgoing_snapshots_.push_back({to, latest_text_, 0});
  if (outgoing_snapshots_.size() == 1) {
    send_next_part();
  }
}

// Sends one part per timer event, and one snapshot after the other, so that
// other sessions are still served while many processes need a snapshot.
void configuration_source::send_next_part() {
  outgoing_snapshot& first = outgoing_snapshots_.front();
  const std::string& text = first.text->json;
  const auto parts = static_cast<std::uint32_t>(
      (text.size() + snapshot_part_bytes - 1) / snapshot_part_bytes);
  const absl::Status sent = process_.peers.send(
      first.to,
      make_frame(config_snapshot_part{
          first.text->version, first.next, parts,
          text.substr(first.next * snapshot_part_bytes, snapshot_part_bytes)}));
  ++first.next;
  // A process that lost its session fetches again.
  if (!sent.ok() || first.next == parts) {
    outgoing_snapshots_.pop_front();
  }
  if (outgoing_snapshots_.empty()) {
    return;
  }
  part_timer_.expires_after(part_interval);
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
