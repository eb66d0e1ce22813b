#include "control/document_cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "control/control_members.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// Delay between attempts to open a replica whose disk failed.
constexpr duration reopen_interval = seconds(1);
constexpr duration group_manager_interval = milliseconds(200);
// Processes that have not polled for this long are no longer counted.
constexpr duration poller_expiry = seconds(3);
// Processes that start at the same time as this one have connected and polled
// by then: they connect within tenths of a second and poll every 0.4 s.
constexpr duration discovery_period = seconds(1);
// Below the 1 s after which operators try another process.
constexpr duration publish_timeout = milliseconds(900);

group_manager_options make_group_manager_options(const settings& options) {
  group_manager_options out;
  out.process = options.process;
  out.address = options.listen.peers;
  out.seeds = seed_peer_addresses(options.gateway.seeds, options.listen.peers);
  out.first_start = options.gateway.first_start;
  out.tolerated_losses =
      static_cast<std::size_t>(options.gateway.tolerated_losses);
  out.repair_time = from_seconds(options.gateway.repair_time_s);
  return out;
}

}  // namespace

std::vector<std::string> seed_peer_addresses(
    const std::vector<std::string>& seeds,
    const std::string& own_peer_address) {
  const std::string port = own_peer_address.substr(own_peer_address.rfind(':'));
  std::vector<std::string> out;
  out.reserve(seeds.size());
  for (const std::string& seed : seeds) {
    out.push_back(seed.substr(0, seed.rfind(':')) + port);
  }
  return out;
}

document_cluster::document_cluster(
    process_context& process, document_follower::document_handler on_document,
    disk_operations disk)
    : process_(process),
      disk_(std::move(disk)),
      timer_(process.loop),
      group_manager_(make_group_manager_options(process.options)) {
  document_follower_options options;
  options.process = process.options.process;
  follower_ = std::make_unique<document_follower>(process.loop, process.peers,
                                                  options, process.incarnation,
                                                  std::move(on_document));
  add_machine(evacuation_machine::kind, evacuations_, evacuation_set{});
}

document_cluster::~document_cluster() {
  *alive_ = false;
}

// The replica is opened last because it delivers the document stored on its
// disk while it opens.
void document_cluster::start() {
  started_at_ = runtime_clock::now();
  set_handlers();
  set_seeds(process_.options.gateway.seeds);
  follower_->start();
  if (!process_.options.data_folder.empty()) {
    const absl::Status opened = open_replica();
    if (!opened.ok()) {
      // The fault may be temporary, such as a full disk.
      log_event(events::replica_failed, opened.ToString());
      reopen_at_ = runtime_clock::now() + reopen_interval;
    }
  }
  tick();
}

absl::Status document_cluster::open_replica() {
  replica_.reset();
  machine_.restore(published_document{});
  replica::machines machines{{document_machine::kind, &machine_}};
  for (const auto& [kind, added] : added_machines_) {
    added.machine->restore(added.empty);
    machines[kind] = added.machine;
  }
  auto new_replica =
      make_replica(replica_environment{process_.loop, process_.options,
                                       process_.peers, disk_},
                   std::move(machines));
  absl::Status opened = new_replica->open();
  if (!opened.ok()) {
    return opened;
  }
  replica_ = std::move(new_replica);
  replica_->subscribe([this, alive = alive_] {
    if (*alive) {
      push_changes();
    }
  });
  push_changes();
  return absl::OkStatus();
}

// A disk that was full or failing may work again; its log is intact up to the
// last successful sync.
void document_cluster::reopen_failed_replica(time_point now) {
  if (replica_ && !replica_->status().fault.empty() &&
      reopen_at_ == time_point::max()) {
    reopen_at_ = now + reopen_interval;
  }
  if (now < reopen_at_) {
    return;
  }
  const absl::Status opened = open_replica();
  reopen_at_ = opened.ok() ? time_point::max() : now + reopen_interval;
  if (!opened.ok()) {
    log_event(events::replica_failed, opened.ToString());
  }
}

void document_cluster::set_handlers() {
  peer_hub& peers = process_.peers;
  peers.on<document_poll>(
      [this, alive = alive_](const peer_id& from, const document_poll& in) {
        if (*alive) {
          handle_poll(from, in);
        }
      });
  peers.on<document_fetch>(
      [this, alive = alive_](const peer_id& from, const document_fetch& in) {
        if (*alive && machine_.current().revision > in.revision) {
          process_.peers.send(from.name, make_frame(machine_.current()))
              .IgnoreError();
        }
      });
  peers.on<publish_request>([this, alive = alive_](const peer_id& from,
                                                   const publish_request& in) {
    if (!*alive) {
      return;
    }
    propose_document(
        in.version, in.text,
        [this, to = from, id = in.id](const absl::Status& done) {
          const publish_reply out{id, done.ok(), std::string(done.message())};
          process_.peers.reply(to, make_frame(out)).IgnoreError();
        });
  });
  peers.on<publish_reply>(
      [this, alive = alive_](const peer_id& from, const publish_reply& in) {
        const auto found =
            *alive ? pending_publishes_.find(in.id) : pending_publishes_.end();
        if (!*alive || found == pending_publishes_.end()) {
          return;
        }
        const auto done = std::move(found->second.done);
        pending_publishes_.erase(found);
        done(in.accepted ? absl::OkStatus()
                         : absl::UnavailableError(
                               fmt::format("{}: {}", from.name, in.reason)));
      });
  peers.on<group_join>(
      [this, alive = alive_](const peer_id& from, const group_join& in) {
        if (*alive && leads()) {
          identify_candidate(from.name, in.address);
        }
      });
  peers.on<group_leave>(
      [this, alive = alive_](const peer_id&, const group_leave& in) {
        if (*alive) {
          group_manager_.add_leaving(in.replica, runtime_clock::now());
        }
      });
  peers.on_session([this, alive = alive_](const peer_id& peer, bool up) {
    if (!*alive) {
      return;
    }
    if (up) {
      group_manager_.session_up(peer.name);
      return;
    }
    const time_point now = runtime_clock::now();
    group_manager_.session_lost(
        peer.name,
        process_.peers.last_heard_before_loss(peer.name).value_or(now), now);
  });
}

void document_cluster::set_seeds(const std::vector<std::string>& seeds) {
  const auto addresses =
      seed_peer_addresses(seeds, process_.options.listen.peers);
  for (const std::string& address : addresses) {
    if (address != process_.options.listen.peers) {
      process_.peers.connect_address(address);
    }
  }
  group_manager_.set_seeds(addresses);
}

void document_cluster::leave() {
  group_manager_.leave();
}

bool document_cluster::leads() const {
  return replica_ && replica_->status().role == "leader";
}

std::uint64_t document_cluster::term() const {
  return replica_ ? replica_->status().term : 0;
}

std::uint64_t document_cluster::count_processes(time_point now) {
  for (auto each = last_polls_.begin(); each != last_polls_.end();) {
    const bool expired = now - each->second > poller_expiry;
    each = expired ? last_polls_.erase(each) : std::next(each);
  }
  const bool discovery_done = now - started_at_ > discovery_period;
  return discovery_done ? last_polls_.size() : 0;
}

void document_cluster::handle_poll(const peer_id& from,
                                   const document_poll& in) {
  const time_point now = runtime_clock::now();
  last_polls_[from.name] = now;
  document_poll_reply out;
  out.id = in.id;
  const replica_status status =
      replica_ ? replica_->status() : replica_status{};
  if (!status.members.empty()) {
    out.replica = status.id;
    out.processes = count_processes(now);
    out.applied_revision = machine_.current().revision;
    out.newest_revision =
        out.applied_revision + replica_->unapplied(document_machine::kind);
    const evacuation_set& evacuations = evacuations_.current();
    out.newest_evacuations =
        evacuations.revision + replica_->unapplied(evacuation_machine::kind);
    if (evacuations.revision > in.evacuations_revision) {
      out.evacuations = evacuations;
    }
    out.term = status.term;
    out.leader = status.leader;
    out.members = to_control_members(status.members);
  } else {
    out.members = follower_->members();
    out.leader = follower_->leader();
    out.replica.clear();
  }
  process_.peers.send(from.name, make_frame(out)).IgnoreError();
}

// The leader sends changes at once to all processes that poll it. If the
// message is lost, their next poll brings the change.
void document_cluster::push_changes() {
  push_document();
  push_evacuations();
}

template <typename Message>
void document_cluster::push_to_others(const Message& message) {
  const frame out = make_frame(message);
  for (const auto& [process, at] : last_polls_) {
    if (process != process_.options.process) {
      process_.peers.send(process, out).IgnoreError();
    }
  }
}

void document_cluster::push_document() {
  const published_document& current = machine_.current();
  if (current.revision == pushed_revision_) {
    return;
  }
  pushed_revision_ = current.revision;
  follower_->accept_if_newer(current);
  if (leads()) {
    push_to_others(current);
  }
}

void document_cluster::push_evacuations() {
  const evacuation_set& current = evacuations_.current();
  if (current.revision == pushed_evacuations_) {
    return;
  }
  pushed_evacuations_ = current.revision;
  follower_->accept_if_newer(current);
  if (leads()) {
    push_to_others(current);
  }
}

void document_cluster::add_machine(const std::string& kind,
                                   state_machine& machine,
                                   nlohmann::json empty) {
  added_machines_[kind] = {&machine, std::move(empty)};
}

void document_cluster::propose(nlohmann::json command,
                               replica::proposal_done done) {
  if (leads()) {
    replica_->propose(std::move(command), std::move(done));
  } else {
    done(absl::UnavailableError("not the leader"));
  }
}

void document_cluster::propose_document(std::uint64_t version, std::string text,
                                        publish_callback done) {
  if (!leads()) {
    done(absl::UnavailableError("not the leader"));
    return;
  }
  if (!group_manager_.has_enough_voters(current_group_state())) {
    done(absl::UnavailableError(
        "the group does not have enough voting members yet"));
    return;
  }
  replica_->propose(
      document_machine::make_command(version, std::move(text)),
      [done = std::move(done)](const absl::StatusOr<proposal_result>& result) {
        done(result.status());
      });
}

void document_cluster::publish(std::uint64_t version, std::string text,
                               publish_callback done) {
  if (leads()) {
    propose_document(version, std::move(text), std::move(done));
    return;
  }
  const std::string leader = follower_->leader();
  publish_request out{++last_publish_id_, version, std::move(text)};
  const absl::Status sent = leader.empty()
                                ? absl::UnavailableError("no leader is known")
                                : process_.peers.send(leader, make_frame(out));
  if (!sent.ok()) {
    done(sent);
    return;
  }
  pending_publishes_[out.id] = {runtime_clock::now() + publish_timeout,
                                std::move(done)};
}

group_state document_cluster::current_group_state() const {
  group_state out;
  out.leader = follower_->leader();
  if (!replica_) {
    return out;
  }
  const replica_status status = replica_->status();
  out.has_disk = true;
  out.replica = status.id;
  out.in_group = !status.members.empty();
  out.leads = status.role == "leader";
  out.members = status.members;
  if (out.leads) {
    out.silent = replica_->silent_members();
  } else {
    // The list of a replica that was offline may be outdated, so the list from
    // poll replies takes precedence.
    const auto& reported_members = follower_->members();
    if (!reported_members.empty()) {
      out.members.clear();
      for (const control_member& member : reported_members) {
        out.members.push_back(
            {member.id, member.process, member.address, member.voter});
      }
    }
  }
  return out;
}

void document_cluster::tick() {
  const time_point now = runtime_clock::now();
  for (auto each = pending_publishes_.begin();
       each != pending_publishes_.end();) {
    if (now < each->second.deadline) {
      ++each;
      continue;
    }
    const auto done = std::move(each->second.done);
    each = pending_publishes_.erase(each);
    done(absl::UnavailableError("the leader did not reply in time"));
  }
  reopen_failed_replica(now);
  if (const auto step = group_manager_.next_step(current_group_state(), now)) {
    execute_step(*step);
  }
  timer_.expires_after(group_manager_interval);
  when_expired(timer_, alive_, [this] { tick(); });
}

void document_cluster::identify_candidate(const std::string& process,
                                          const std::string& address) {
  if (group_manager_.renew_candidate(process, runtime_clock::now())) {
    return;
  }
  replica_->identify(process, [this, alive = alive_, process,
                               address](const absl::StatusOr<std::string>& id) {
    if (!*alive) {
      return;
    }
    if (id.ok()) {
      group_manager_.add_candidate(process, address, *id, runtime_clock::now());
    } else {
      log_event(events::group_change_ended, id.status().ToString());
    }
  });
}

// The log completes the change. If it refuses or loses it, the next step
// follows from the members that are left.
void document_cluster::add_member(const add_member_step& step) {
  const absl::Status added = replica_->add_learner(step.member);
  if (added.ok()) {
    log_event(events::member_admitted, step.member.process, step.member.address,
              step.reason);
  } else {
    log_event(events::group_change_ended, added.ToString());
  }
}

void document_cluster::execute_step(const group_step& step) {
  if (std::holds_alternative<create_group_step>(step)) {
    const absl::Status made = replica_->make_group();
    log_event(events::group_founded, replica_->status().id, made.ToString());
  } else if (const auto* join = std::get_if<request_join_step>(&step)) {
    const group_join out{replica_->status().id, process_.options.listen.peers};
    process_.peers.send(join->leader, make_frame(out)).IgnoreError();
  } else if (const auto* leave = std::get_if<announce_leave_step>(&step)) {
    const group_leave out{replica_->status().id};
    process_.peers.send(leave->leader, make_frame(out)).IgnoreError();
  } else if (const auto* add = std::get_if<add_member_step>(&step)) {
    add_member(*add);
  } else if (const auto* remove = std::get_if<remove_member_step>(&step)) {
    log_event(events::member_dismissed, remove->replica, remove->reason);
    replica_->remove_member(remove->replica, [](const absl::Status& outcome) {
      log_event(events::group_change_ended, outcome.ToString());
    });
  }
}

}  // namespace citronwharf
