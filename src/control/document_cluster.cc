#include "control/document_cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "control/control_members.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// Between attempts to open a replica whose disk failed.
constexpr duration reopen_interval = seconds(1);
constexpr duration group_manager_interval = milliseconds(200);
// A process that has not polled for this long is no longer counted.
constexpr duration poller_lifetime = seconds(3);
// Processes that start with this one have a session and have polled by then:
// they dial within tenths of a second and poll every 0.4 s.
constexpr duration meeting_time = seconds(1);
// Operators turn to another process after a second without a response.
constexpr duration publish_timeout = milliseconds(900);

group_manager_options make_group_manager_options(const settings& options) {
  group_manager_options out;
  out.process = options.process;
  out.address = options.listen.peers;
  out.seeds = seed_peers(options.gateway.seeds, options.listen.peers);
  out.first_start = options.gateway.first_start;
  out.tolerated_losses =
      static_cast<std::size_t>(options.gateway.tolerated_losses);
  return out;
}

}  // namespace

std::vector<std::string> seed_peers(const std::vector<std::string>& seeds,
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
    process_context& process, document_follower::document_handler on_document)
    : process_(process),
      timer_(process.loop),
      group_manager_(make_group_manager_options(process.options)) {
  document_follower_options options;
  options.process = process.options.process;
  follower_ = std::make_unique<document_follower>(process.loop, process.peers,
                                                  options, process.incarnation,
                                                  std::move(on_document));
}

document_cluster::~document_cluster() {
  *alive_ = false;
}

// The replica hands over what its disk holds while it opens, so it is opened
// last.
void document_cluster::start() {
  started_ = runtime_clock::now();
  set_handlers();
  set_seeds(process_.options.gateway.seeds);
  follower_->start();
  if (!process_.options.data_folder.empty()) {
    const absl::Status opened = open_replica();
    if (!opened.ok()) {
      // The disk may be full or failing for a while.
      log_event(events::replica_failed, opened.ToString());
      reopen_at_ = runtime_clock::now() + reopen_interval;
    }
  }
  tick();
}

absl::Status document_cluster::open_replica() {
  replica_.reset();
  changing_members_ = false;
  machine_.restore(published_document{});
  auto opening = make_replica(process_, {{document_machine::kind, &machine_}});
  absl::Status opened = opening->open();
  if (!opened.ok()) {
    return opened;
  }
  replica_ = std::move(opening);
  replica_->subscribe([this, alive = alive_] {
    if (*alive) {
      push_document();
    }
  });
  push_document();
  return absl::OkStatus();
}

// A disk that was full or failing may work again, and the log on it is whole
// up to the last sync that succeeded.
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
          answer_poll(from, in);
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
    propose(
        in.version, in.text,
        [this, to = from.name, id = in.id](const absl::Status& done) {
          const publish_reply out{id, done.ok(), std::string(done.message())};
          process_.peers.send(to, make_frame(out)).IgnoreError();
        });
  });
  peers.on<publish_reply>(
      [this, alive = alive_](const peer_id& from, const publish_reply& in) {
        const auto found = *alive ? publishing_.find(in.id) : publishing_.end();
        if (!*alive || found == publishing_.end()) {
          return;
        }
        const auto done = std::move(found->second.done);
        publishing_.erase(found);
        done(in.accepted ? absl::OkStatus()
                         : absl::UnavailableError(
                               fmt::format("{}: {}", from.name, in.reason)));
      });
  peers.on<group_join>(
      [this, alive = alive_](const peer_id& from, const group_join& in) {
        if (*alive) {
          group_manager_.wants_to_join(from.name, in.address, in.replica,
                                       runtime_clock::now());
        }
      });
  peers.on_session([this, alive = alive_](const peer_id& peer, bool up) {
    if (*alive) {
      group_manager_.session(peer.name, up, runtime_clock::now());
    }
  });
}

void document_cluster::set_seeds(const std::vector<std::string>& seeds) {
  const auto addresses = seed_peers(seeds, process_.options.listen.peers);
  for (const std::string& address : addresses) {
    if (address != process_.options.listen.peers) {
      process_.peers.connect_address(address);
    }
  }
  group_manager_.set_seeds(addresses);
}

bool document_cluster::leads() const {
  return replica_ && replica_->status().role == "leader";
}

std::uint64_t document_cluster::term() const {
  return replica_ ? replica_->status().term : 0;
}

std::uint64_t document_cluster::count_processes(time_point now) {
  for (auto each = polled_.begin(); each != polled_.end();) {
    const bool silent = now - each->second > poller_lifetime;
    each = silent ? polled_.erase(each) : std::next(each);
  }
  const bool met_all = now - started_ > meeting_time;
  return met_all ? polled_.size() : 0;
}

void document_cluster::answer_poll(const peer_id& from,
                                   const document_poll& in) {
  const time_point now = runtime_clock::now();
  polled_[from.name] = now;
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

// Whoever polls the leader gets a new document at once; polls repair a lost
// message.
void document_cluster::push_document() {
  const published_document& current = machine_.current();
  if (current.revision == pushed_revision_) {
    return;
  }
  pushed_revision_ = current.revision;
  follower_->offer(current);
  if (!leads()) {
    return;
  }
  const frame out = make_frame(current);
  for (const auto& [process, at] : polled_) {
    if (process != process_.options.process) {
      process_.peers.send(process, out).IgnoreError();
    }
  }
}

void document_cluster::propose(std::uint64_t version, std::string text,
                               publish_done done) {
  if (!leads()) {
    done(absl::UnavailableError("not the leader"));
    return;
  }
  if (!group_manager_.complete(look())) {
    done(absl::UnavailableError("the group has too few members yet"));
    return;
  }
  replica_->propose(
      document_machine::make_command(version, std::move(text)),
      [done = std::move(done)](const absl::StatusOr<proposal_result>& result) {
        done(result.status());
      });
}

void document_cluster::publish(std::uint64_t version, std::string text,
                               publish_done done) {
  if (leads()) {
    propose(version, std::move(text), std::move(done));
    return;
  }
  const std::string leader = follower_->leader();
  publish_request out{++last_publish_, version, std::move(text)};
  const absl::Status sent = leader.empty()
                                ? absl::UnavailableError("no leader is known")
                                : process_.peers.send(leader, make_frame(out));
  if (!sent.ok()) {
    done(sent);
    return;
  }
  publishing_[out.id] = {runtime_clock::now() + publish_timeout,
                         std::move(done)};
}

group_state document_cluster::look() const {
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
  out.changing = changing_members_;
  out.members = status.members;
  if (!out.leads) {
    // A replica that was away may hold an old list: the group's word counts.
    const auto& known = follower_->members();
    if (!known.empty()) {
      out.members.clear();
      for (const control_member& member : known) {
        out.members.push_back(
            {member.id, member.process, member.address, member.voter});
      }
    }
  }
  return out;
}

void document_cluster::tick() {
  const time_point now = runtime_clock::now();
  for (auto each = publishing_.begin(); each != publishing_.end();) {
    if (now < each->second.deadline) {
      ++each;
      continue;
    }
    const auto done = std::move(each->second.done);
    each = publishing_.erase(each);
    done(absl::UnavailableError("the leader did not answer in time"));
  }
  reopen_failed_replica(now);
  if (const auto step = group_manager_.next(look(), now)) {
    take_step(*step);
  }
  timer_.expires_after(group_manager_interval);
  when_expired(timer_, alive_, [this] { tick(); });
}

void document_cluster::take_step(const group_step& step) {
  const auto changed = [this, alive = alive_](const absl::Status& outcome) {
    if (*alive) {
      changing_members_ = false;
      log_event(events::group_change_ended, outcome.ToString());
    }
  };
  if (std::holds_alternative<make_group_step>(step)) {
    const absl::Status made = replica_->make_group();
    log_event(events::group_founded, replica_->status().id, made.ToString());
  } else if (const auto* join = std::get_if<ask_to_join_step>(&step)) {
    const group_join out{replica_->status().id, process_.options.listen.peers};
    process_.peers.send(join->leader, make_frame(out)).IgnoreError();
  } else if (const auto* add = std::get_if<add_member_step>(&step)) {
    changing_members_ = true;
    log_event(events::member_admitted, add->process, add->address);
    replica_->add_member(add->process, add->address, changed);
  } else if (const auto* remove = std::get_if<remove_member_step>(&step)) {
    changing_members_ = true;
    log_event(events::member_dismissed, remove->replica);
    replica_->remove_member(remove->replica, changed);
  }
}

}  // namespace citronwharf
