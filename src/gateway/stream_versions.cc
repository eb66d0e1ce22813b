#include "gateway/stream_versions.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/decode.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// A command is synced within some ten milliseconds; a message that is not
// answered by then was lost, or the leader is gone.
constexpr duration resend_interval = milliseconds(150);
constexpr duration busy_interval = milliseconds(50);
constexpr duration idle_interval = milliseconds(500);
// Messages that arrive within this time share a command, which limits the
// syncs of the disk.
constexpr duration command_interval = milliseconds(20);
constexpr std::size_t max_records_per_command = 2000;
// Interval of the commands that let records expire while there are no others.
constexpr duration expiry_interval = seconds(5);
// A gateway that does not hear from the leader stops going by a base version
// long before that can change.
constexpr duration base_lifetime = seconds(300);

}  // namespace

std::map<std::string, std::string> base_version_planner::plan(
    const std::vector<listed_server>& listed,
    const std::function<std::string(const std::string&)>& base_of,
    time_point now) {
  std::map<std::string, std::map<std::string, int>> servers;
  for (const listed_server& each : listed) {
    ++servers[each.service][each.software_version];
  }
  std::map<std::string, std::string> out;
  for (const auto& [service, versions] : servers) {
    const std::string base = base_of(service);
    if (versions.count(base) != 0) {
      absent_since_.erase(service);
      continue;
    }
    const time_point since = absent_since_.emplace(service, now).first->second;
    if (!base.empty() && now - since < max_resumable_time) {
      continue;
    }
    out[service] = std::max_element(versions.begin(), versions.end(),
                                    [](const auto& lhs, const auto& rhs) {
                                      return lhs.second < rhs.second;
                                    })
                       ->first;
  }
  return out;
}

stream_versions::stream_versions(process_context& process,
                                 document_cluster& cluster)
    : process_(process),
      cluster_(cluster),
      timer_(process.loop),
      command_timer_(process.loop) {
  cluster_.add_machine(stream_version_machine::kind, machine_,
                       empty_stream_versions());
}

stream_versions::~stream_versions() {
  *alive_ = false;
}

void stream_versions::start() {
  peer_hub& peers = process_.peers;
  peers.on<stream_version_store>(
      [this, alive = alive_](const peer_id& from,
                             const stream_version_store& in) {
        if (*alive) {
          receive(from, in);
        }
      });
  peers.on<stream_version_find>(
      [this, alive = alive_](const peer_id& from,
                             const stream_version_find& in) {
        if (*alive) {
          receive(from, in);
        }
      });
  peers.on<stream_version_stored>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const stream_version_stored& in) {
        if (*alive) {
          handle_stored(in);
        }
      });
  peers.on<stream_version_found>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const stream_version_found& in) {
        if (*alive) {
          handle_found(in);
        }
      });
  tick();
}

void stream_versions::set_servers(const std::vector<listed_server>& listed) {
  listed_ = listed;
}

bool stream_versions::is_base(const stream_version& record,
                              time_point now) const {
  const auto known = bases_.find(record.service);
  return record.number == 1 && known != bases_.end() &&
         now < known->second.until && known->second.version == record.version;
}

std::uint64_t stream_versions::store(stream_version record,
                                     std::function<void()> done) {
  const std::uint64_t id = ++last_id_;
  const bool needed = !is_base(record, runtime_clock::now());
  pending_store& added = stores_[id];
  added.message = {id, std::move(record)};
  added.done = std::move(done);
  if (needed) {
    send(added);
    return id;
  }
  added.resend_at = time_point::max();
  boost::asio::post(process_.loop, [this, alive = alive_, id] {
    if (*alive) {
      handle_stored({id, true, ""});
    }
  });
  return id;
}

std::uint64_t stream_versions::find(resumed_stream wanted, found_handler done) {
  const std::uint64_t id = ++last_id_;
  pending_find& added = finds_[id];
  added.message = {id, std::move(wanted)};
  added.done = std::move(done);
  send(added);
  return id;
}

void stream_versions::cancel(std::uint64_t id) {
  stores_.erase(id);
  finds_.erase(id);
}

// A message that is lost is sent again, to the leader of that time.
template <typename Pending>
void stream_versions::send(Pending& pending) {
  pending.resend_at = runtime_clock::now() + resend_interval;
  if (cluster_.leads()) {
    // The answer must not come from within the call that asks.
    boost::asio::post(process_.loop,
                      [this, alive = alive_, message = pending.message] {
                        if (*alive) {
                          receive({process_.options.process, 0}, message);
                        }
                      });
  } else {
    process_.peers
        .send(cluster_.follower().leader(), make_frame(pending.message))
        .IgnoreError();
  }
  if (!timer_.expires_by(runtime_clock::now() + busy_interval)) {
    timer_.expires_after(busy_interval);
    when_expired(timer_, alive_, [this] { tick(); });
  }
}

void stream_versions::handle_stored(const stream_version_stored& in) {
  const auto found = stores_.find(in.id);
  if (found == stores_.end()) {
    return;
  }
  if (!in.base.empty()) {
    bases_[found->second.message.record.service] = {
        in.base, runtime_clock::now() + base_lifetime};
  }
  if (!in.done) {
    return;  // sent again
  }
  const auto done = std::move(found->second.done);
  stores_.erase(found);
  done();
}

void stream_versions::handle_found(const stream_version_found& in) {
  const auto found = finds_.find(in.id);
  if (found == finds_.end() || !in.done) {
    return;
  }
  const auto done = std::move(found->second.done);
  finds_.erase(found);
  done(in.version);
}

template <typename Message>
void stream_versions::reply(const peer_id& to, const Message& out) {
  if (to.name != process_.options.process) {
    process_.peers.reply(to, make_frame(out)).IgnoreError();
  } else if constexpr (std::is_same_v<Message, stream_version_stored>) {
    handle_stored(out);
  } else {
    handle_found(out);
  }
}

void stream_versions::reply_stored(const peer_id& to,
                                   const stream_version_store& in, bool done) {
  reply(to,
        stream_version_stored{
            in.id, done, caught_up_ ? machine_.base(in.record.service) : ""});
}

// The base version that a former leader goes by is still valid: it changes
// long after the former leader has noticed that it no longer leads.
void stream_versions::receive(const peer_id& from,
                              const stream_version_store& in) {
  update_leadership();
  const std::string base = machine_.base(in.record.service);
  if (!leading_) {
    reply(from, stream_version_stored{in.id, false, ""});
  } else if (caught_up_ && in.record.number == 1 && base == in.record.version) {
    reply_stored(from, in, true);
  } else if (waiting_.insert({from.name, from.incarnation, in.id}).second) {
    to_store_.push_back({from, in});
    schedule_command();
  }
}

// Looked up by a command, since a process that no longer leads without knowing
// may lack what has been stored since.
void stream_versions::receive(const peer_id& from,
                              const stream_version_find& in) {
  update_leadership();
  if (!leading_) {
    reply(from, stream_version_found{in.id, false, ""});
    return;
  }
  if (waiting_.insert({from.name, from.incarnation, in.id}).second) {
    to_find_.push_back({from, in});
    schedule_command();
  }
}

void stream_versions::update_leadership() {
  const bool leads = cluster_.leads();
  const std::uint64_t term = cluster_.term();
  if (leads == leading_ && (!leads || term == term_)) {
    return;
  }
  leading_ = leads;
  term_ = term;
  caught_up_ = false;
  planner_.reset();
  // Gateways ask again.
  waiting_.clear();
  to_store_.clear();
  to_find_.clear();
  proposed_at_ = runtime_clock::now();
}

void stream_versions::schedule_command() {
  const time_point due =
      std::max(runtime_clock::now(), proposed_at_ + command_interval);
  if (proposing_ || command_timer_.expires_by(due)) {
    return;
  }
  command_timer_.expires_at(due);
  when_expired(command_timer_, alive_, [this] { propose(); });
}

void stream_versions::propose() {
  update_leadership();
  if (!leading_ || proposing_) {
    return;
  }
  const time_point now = runtime_clock::now();
  stream_version_command command;
  if (caught_up_) {
    const auto base_of = [this](const std::string& service) {
      return machine_.base(service);
    };
    for (const auto& [service, version] :
         planner_.plan(listed_, base_of, now)) {
      command.bases[service] = {machine_.base(service), version};
    }
  }
  const bool expires =
      machine_.size() != 0 && now - proposed_at_ >= expiry_interval;
  if (caught_up_ && to_store_.empty() && to_find_.empty() &&
      command.bases.empty() && !expires) {
    return;
  }
  command.elapsed_ms =
      std::chrono::duration_cast<milliseconds>(now - proposed_at_).count();
  proposed_at_ = now;
  std::vector<waiting<stream_version_store>> stored;
  const std::size_t count = std::min(max_records_per_command, to_store_.size());
  stored.assign(std::make_move_iterator(to_store_.begin()),
                std::make_move_iterator(to_store_.begin() +
                                        static_cast<std::ptrdiff_t>(count)));
  to_store_.erase(to_store_.begin(),
                  to_store_.begin() + static_cast<std::ptrdiff_t>(count));
  for (const auto& each : stored) {
    waiting_.erase({each.from.name, each.from.incarnation, each.message.id});
    command.stored.push_back(each.message.record);
  }
  std::vector<waiting<stream_version_find>> wanted = std::move(to_find_);
  to_find_.clear();
  for (const auto& each : wanted) {
    waiting_.erase({each.from.name, each.from.incarnation, each.message.id});
    command.wanted.push_back(each.message.wanted);
  }
  for (const auto& [service, change] : command.bases) {
    log_event(events::base_version_set, service, change.to);
  }
  proposing_ = true;
  cluster_.propose(
      stream_version_machine::make_command(command),
      [this, alive = alive_, stored = std::move(stored),
       wanted = std::move(wanted),
       proposed_in = term_](const absl::StatusOr<proposal_result>& outcome) {
        if (!*alive) {
          return;
        }
        proposing_ = false;
        update_leadership();
        caught_up_ =
            caught_up_ || (outcome.ok() && leading_ && term_ == proposed_in);
        const auto result =
            outcome.ok()
                ? decode_value<stream_version_result>(outcome->result)
                : absl::StatusOr<stream_version_result>(outcome.status());
        if (!result.ok() && !(stored.empty() && wanted.empty())) {
          log_event(events::stream_versions_not_stored, stored.size(),
                    wanted.size(), result.status().ToString());
        }
        for (std::size_t at = 0; at < stored.size(); ++at) {
          const bool done = result.ok() && result->stored.at(at);
          reply_stored(stored[at].from, stored[at].message, done);
        }
        for (std::size_t at = 0; at < wanted.size(); ++at) {
          reply(
              wanted[at].from,
              stream_version_found{wanted[at].message.id, result.ok(),
                                   result.ok() ? result->versions.at(at) : ""});
        }
        if (!to_store_.empty() || !to_find_.empty()) {
          schedule_command();
        }
      });
}

void stream_versions::tick() {
  const time_point now = runtime_clock::now();
  propose();
  for (auto& [id, each] : stores_) {
    if (now >= each.resend_at) {
      send(each);
    }
  }
  for (auto& [id, each] : finds_) {
    if (now >= each.resend_at) {
      send(each);
    }
  }
  process_.metrics.set("citronwharf_gateway_stored_stream_versions", {},
                       static_cast<double>(machine_.size()));
  const bool busy = !stores_.empty() || !finds_.empty();
  const time_point due = now + (busy ? busy_interval : idle_interval);
  if (timer_.expires_by(due)) {
    return;
  }
  timer_.expires_at(due);
  when_expired(timer_, alive_, [this] { tick(); });
}

}  // namespace citronwharf
