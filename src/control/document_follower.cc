#include "control/document_follower.h"

#include <algorithm>
#include <utility>

#include "control/control_members.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// A fetch without an answer is sent again after this.
constexpr duration fetch_timeout = milliseconds(600);
// How long a larger count of processes is remembered.
constexpr duration processes_lifetime = seconds(10);
constexpr double poll_jitter = 0.1;  // share of the interval
// Polls older than this many are not awaited any more.
constexpr std::size_t max_polls_known = 64;

}  // namespace

document_follower::document_follower(boost::asio::io_context& loop,
                                     peer_hub& peers,
                                     document_follower_options options,
                                     std::uint64_t seed,
                                     document_handler on_document)
    : peers_(peers),
      options_(std::move(options)),
      timer_(loop),
      freshness_(options_.lease),
      random_(seed),
      on_document_(std::move(on_document)),
      processes_(unknown_processes, processes_lifetime) {}

document_follower::~document_follower() {
  *alive_ = false;
}

void document_follower::start() {
  peers_.on_session([this, alive = alive_](const peer_id& peer, bool up) {
    if (!*alive) {
      return;
    }
    if (up) {
      sessions_.insert(peer.name);
      poll();
    } else {
      sessions_.erase(peer.name);
    }
  });
  peers_.on<document_poll_reply>(
      [this, alive = alive_](const peer_id& from,
                             const document_poll_reply& in) {
        if (*alive) {
          take_reply(from, in);
        }
      });
  peers_.on<published_document>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const published_document& in) {
        if (*alive) {
          offer(in);
        }
      });
  poll();
}

// Before the members are known, every process with a session is asked.
void document_follower::poll() {
  const time_point now = runtime_clock::now();
  const document_poll out{++last_poll_, current_.revision};
  polls_[out.id] = now;
  if (polls_.size() > max_polls_known) {
    polls_.erase(polls_.begin());
  }
  std::set<std::string> targets;
  for (const control_member& member : members_) {
    targets.insert(member.process);
  }
  if (!fresh(now)) {
    targets.insert(sessions_.begin(), sessions_.end());
    targets.insert(options_.process);
  }
  for (const std::string& target : targets) {
    // A member without a session is polled again in the next round.
    peers_.send(target, make_frame(out)).IgnoreError();
  }
  extend_freshness();
  schedule_poll();
}

void document_follower::schedule_poll() {
  const time_point now = runtime_clock::now();
  const duration base =
      fresh(now) ? options_.poll_interval : options_.poll_interval_not_fresh;
  std::uniform_real_distribution<double> spread(1 - poll_jitter,
                                                1 + poll_jitter);
  timer_.expires_after(std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(
          static_cast<double>(base.count()) * spread(random_))));
  when_expired(timer_, alive_, [this] {
    end_reads();
    poll();
  });
}

void document_follower::learn_members(const document_poll_reply& in) {
  if (in.members.empty() || in.term < term_) {
    return;
  }
  if (in.term > term_ || !in.leader.empty()) {
    leader_ = in.leader;
  }
  term_ = in.term;
  for (const control_member& member : in.members) {
    const bool known = std::any_of(
        members_.begin(), members_.end(), [&](const control_member& old) {
          return old.process == member.process && old.address == member.address;
        });
    if (!known && member.process != options_.process) {
      peers_.connect(member.process, member.address);
    }
  }
  members_ = in.members;
}

void document_follower::take_reply(const peer_id& from,
                                   const document_poll_reply& in) {
  const auto sent = polls_.find(in.id);
  if (sent == polls_.end()) {
    return;  // too old
  }
  const time_point now = runtime_clock::now();
  learn_members(in);
  if (in.processes > 0) {
    processes_.add(in.processes, now);
  }
  if (!in.replica.empty()) {
    freshness_.answered({in.replica, in.newest_revision, voter_ids(in.members)},
                        sent->second, now);
    extend_freshness();
  }
  const bool fetching = now < fetched_at_ + fetch_timeout;
  if (in.applied_revision > current_.revision && !fetching &&
      peers_.send(from.name, make_frame(document_fetch{current_.revision}))
          .ok()) {
    fetched_at_ = now;
  }
}

void document_follower::offer(const published_document& in) {
  if (in.revision <= current_.revision) {
    return;
  }
  const bool newer = in.version > current_.version;
  current_ = in;
  fetched_at_ = time_point{};
  if (newer) {
    log_event(events::document_taken, in.version, in.revision, in.text.size());
    on_document_(current_);
  }
  poll();
}

void document_follower::extend_freshness() {
  if (const auto until = freshness_.fresh_until(current_.revision)) {
    fresh_until_ = std::max(fresh_until_, *until);
  }
  const bool now_fresh = fresh(runtime_clock::now());
  if (now_fresh != was_fresh_) {
    was_fresh_ = now_fresh;
    log_event(now_fresh ? events::document_fresh : events::document_not_fresh,
              current_.version, leader_);
  }
  end_reads();
}

void document_follower::read(read_done done) {
  const time_point now = runtime_clock::now();
  reads_.push_back({now, now + options_.read_timeout, std::move(done)});
  poll();
}

void document_follower::end_reads() {
  if (reads_.empty()) {
    return;
  }
  const time_point now = runtime_clock::now();
  const auto until = freshness_.fresh_until(current_.revision);
  std::vector<waiting_read> ended;
  for (auto each = reads_.begin(); each != reads_.end();) {
    const bool confirmed = until && *until - options_.lease >= each->since;
    if (confirmed || now >= each->deadline) {
      ended.push_back(std::move(*each));
      ended.back().deadline = confirmed ? time_point::max() : time_point{};
      each = reads_.erase(each);
    } else {
      ++each;
    }
  }
  for (const waiting_read& each : ended) {
    each.done(each.deadline == time_point::max());
  }
}

}  // namespace citronwharf
