#include "control/document_follower.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "control/control_members.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// A fetch without a reply may be sent again after this time.
constexpr duration fetch_timeout = milliseconds(600);
// How long the highest reported process count stays in effect.
constexpr duration process_count_retention = seconds(10);
constexpr double poll_jitter = 0.1;  // fraction of the interval
// Only replies to this many of the latest polls are accepted.
constexpr std::size_t max_tracked_polls = 64;

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
      evacuations_freshness_(options_.lease),
      random_(seed),
      on_document_(std::move(on_document)),
      process_count_(default_process_count, process_count_retention) {}

document_follower::~document_follower() {
  *alive_ = false;
}

void document_follower::start() {
  peers_.on_session([this, alive = alive_](const peer_id& peer, bool up) {
    if (!*alive) {
      return;
    }
    if (up) {
      connected_processes_.insert(peer.name);
      poll();
    } else {
      connected_processes_.erase(peer.name);
    }
  });
  peers_.on<document_poll_reply>(
      [this, alive = alive_](const peer_id& from,
                             const document_poll_reply& in) {
        if (*alive) {
          handle_poll_reply(from, in);
        }
      });
  peers_.on<published_document>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const published_document& in) {
        if (*alive) {
          accept_if_newer(in);
        }
      });
  peers_.on<evacuation_set>([this, alive = alive_](const peer_id& /*from*/,
                                                   const evacuation_set& in) {
    if (*alive) {
      accept_if_newer(in);
    }
  });
  poll();
}

// While the copy is not fresh, as before the members are known, polls every
// connected process as well.
void document_follower::poll() {
  const time_point now = runtime_clock::now();
  const document_poll out{++last_poll_id_, current_.revision,
                          evacuations_.revision};
  sent_polls_[out.id] = now;
  if (sent_polls_.size() > max_tracked_polls) {
    sent_polls_.erase(sent_polls_.begin());
  }
  std::set<std::string> targets;
  for (const control_member& member : members_) {
    targets.insert(member.process);
  }
  if (!fresh(now)) {
    targets.insert(connected_processes_.begin(), connected_processes_.end());
    targets.insert(options_.process);
  }
  for (const std::string& target : targets) {
    // A member without a session is polled again at the next interval.
    peers_.send(target, make_frame(out)).IgnoreError();
  }
  extend_freshness();
  schedule_poll();
}

void document_follower::schedule_poll() {
  const time_point now = runtime_clock::now();
  const duration base_interval =
      fresh(now) ? options_.poll_interval : options_.poll_interval_not_fresh;
  std::uniform_real_distribution<double> jitter(1 - poll_jitter,
                                                1 + poll_jitter);
  timer_.expires_after(std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(
          static_cast<double>(base_interval.count()) * jitter(random_))));
  when_expired(timer_, alive_, [this] {
    complete_reads();
    poll();
  });
}

void document_follower::update_members(const document_poll_reply& in) {
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

void document_follower::handle_poll_reply(const peer_id& from,
                                          const document_poll_reply& in) {
  const auto sent = sent_polls_.find(in.id);
  if (sent == sent_polls_.end()) {
    return;  // the poll is no longer tracked
  }
  const time_point now = runtime_clock::now();
  update_members(in);
  if (in.processes > 0) {
    process_count_.add(in.processes, now);
  }
  if (!in.replica.empty()) {
    const auto voters = voter_ids(in.members);
    freshness_.add_answer({in.replica, in.newest_revision, voters},
                          sent->second, now);
    evacuations_freshness_.add_answer(
        {in.replica, in.newest_evacuations, voters}, sent->second, now);
    if (in.evacuations && in.evacuations->revision > evacuations_.revision) {
      // Extends the freshness, too.
      accept_if_newer(*in.evacuations);
    } else {
      extend_freshness();
    }
  }
  const bool fetch_pending = now < fetch_sent_at_ + fetch_timeout;
  if (in.applied_revision > current_.revision && !fetch_pending &&
      peers_.send(from.name, make_frame(document_fetch{current_.revision}))
          .ok()) {
    fetch_sent_at_ = now;
  }
}

void document_follower::accept_if_newer(const published_document& in) {
  if (in.revision <= current_.revision) {
    return;
  }
  const bool newer = in.version > current_.version;
  current_ = in;
  fetch_sent_at_ = time_point{};
  if (newer) {
    log_event(events::document_taken, in.version, in.revision, in.text.size());
    on_document_(current_);
  }
  poll();
}

// A set is in force at the process before it makes the copy fresh.
void document_follower::accept_if_newer(const evacuation_set& in) {
  if (in.revision <= evacuations_.revision) {
    return;
  }
  const bool changed = in.domains != evacuations_.domains;
  evacuations_ = in;
  if (changed) {
    log_event(events::evacuations_taken, in.revision, in.orders,
              fmt::format("{}", fmt::join(in.domains, ",")));
  }
  if (on_evacuations_) {
    on_evacuations_(evacuations_);
  }
  extend_freshness();
}

void document_follower::extend_freshness() {
  const auto document = freshness_.fresh_until(current_.revision);
  const auto evacuations =
      evacuations_freshness_.fresh_until(evacuations_.revision);
  if (document && evacuations) {
    fresh_until_ = std::max(fresh_until_, std::min(*document, *evacuations));
  }
  const bool now_fresh = fresh(runtime_clock::now());
  if (now_fresh != was_fresh_) {
    was_fresh_ = now_fresh;
    log_event(now_fresh ? events::document_fresh : events::document_not_fresh,
              current_.version, leader_);
  }
  complete_reads();
}

void document_follower::read(read_callback done) {
  const time_point now = runtime_clock::now();
  reads_.push_back({now, now + options_.read_timeout, std::move(done)});
  poll();
}

void document_follower::complete_reads() {
  if (reads_.empty()) {
    return;
  }
  const time_point now = runtime_clock::now();
  const auto until = freshness_.fresh_until(current_.revision);
  std::vector<pending_read> completed;
  for (auto each = reads_.begin(); each != reads_.end();) {
    const bool confirmed = until && *until - options_.lease >= each->since;
    if (confirmed || now >= each->deadline) {
      completed.push_back(std::move(*each));
      completed.back().deadline = confirmed ? time_point::max() : time_point{};
      each = reads_.erase(each);
    } else {
      ++each;
    }
  }
  for (const pending_read& each : completed) {
    each.done(each.deadline == time_point::max());
  }
}

}  // namespace citronwharf
