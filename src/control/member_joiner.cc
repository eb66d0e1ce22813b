#include "control/member_joiner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr duration probe_interval = milliseconds(200);
constexpr duration identity_timeout = seconds(10);
constexpr duration catch_up_timeout = seconds(120);

bool is_member(const replicated_log& log, const std::string& id) {
  return std::any_of(
      log.members().begin(), log.members().end(),
      [&](const replica_member& member) { return member.id == id; });
}

}  // namespace

member_joiner::member_joiner(peer_hub& peers, replicated_log& log,
                             std::string id, std::function<void()> on_change)
    : peers_(peers),
      log_(log),
      own_id_(std::move(id)),
      on_change_(std::move(on_change)),
      alive_(std::make_shared<bool>(true)) {
  peers_.on<member_probe>(
      [this, alive = alive_](const peer_id& from, const member_probe&) {
        if (*alive) {
          const member_identity out{own_id_, log_.state().group};
          peers_.send(from.name, make_frame(out)).IgnoreError();
        }
      });
  peers_.on<member_identity>(
      [this, alive = alive_](const peer_id& from, const member_identity& in) {
        if (*alive) {
          handle_identity(from.name, in);
        }
      });
}

member_joiner::~member_joiner() {
  *alive_ = false;
}

void member_joiner::add(const std::string& process, const std::string& address,
                        std::function<void(absl::Status)> done) {
  if (log_.role() != log_role::leader) {
    done(absl::UnavailableError(
        fmt::format("not the leader; leader: {}", log_.leader())));
    return;
  }
  if (done_ && process != new_member_.process) {
    done(absl::FailedPreconditionError(
        "another membership change is in progress"));
    return;
  }
  if (done_) {
    finish(absl::AbortedError(
        "superseded by a repeated request for the same process"));
  }
  new_member_ = replica_member{"", process, address, false};
  done_ = std::move(done);
  next_probe_ = runtime_clock::now();
  deadline_ = next_probe_ + identity_timeout;
  peers_.connect(process, address);
}

void member_joiner::identify(const std::string& process,
                             identity_handler done) {
  identifications_[process] = std::move(done);
  send_probe(process);
}

void member_joiner::handle_identity(const std::string& process,
                                    const member_identity& in) {
  absl::Status allowed = absl::OkStatus();
  if (!in.group.empty() && in.group != log_.state().group) {
    allowed = absl::FailedPreconditionError(
        fmt::format("{} already belongs to group {}", process, in.group));
  }
  if (auto asked = identifications_.extract(process); !asked.empty()) {
    asked.mapped()(allowed.ok() ? absl::StatusOr<std::string>(in.id) : allowed);
  }
  if (!done_ || !new_member_.id.empty() || process != new_member_.process) {
    return;
  }
  if (!allowed.ok()) {
    finish(allowed);
    return;
  }
  new_member_.id = in.id;
  deadline_ = runtime_clock::now() + catch_up_timeout;
  const absl::Status added =
      log_.add_learner(runtime_clock::now(), new_member_);
  // A repeated request for a member already added waits for it as the first
  // request does.
  if (added.ok() || absl::IsAlreadyExists(added)) {
    on_change_();
  } else {
    finish(added);
  }
}

void member_joiner::advance() {
  if (!done_) {
    return;
  }
  if (log_.role() != log_role::leader) {
    finish(absl::AbortedError("leader changed; outcome unknown"));
    return;
  }
  const time_point now = runtime_clock::now();
  const bool identity_known = !new_member_.id.empty();
  if (identity_known && log_.settled(new_member_.id)) {
    finish(absl::OkStatus());
  } else if (identity_known && !is_member(log_, new_member_.id)) {
    finish(
        absl::AbortedError("the member was removed before it became a voter"));
  } else if (now >= deadline_) {
    finish(absl::DeadlineExceededError(fmt::format(
        identity_known ? "{} has not caught up in time; catching up continues"
                       : "{} did not report its replica identity in time",
        new_member_.process)));
  } else if (!identity_known && now >= next_probe_) {
    next_probe_ = now + probe_interval;
    send_probe(new_member_.process);
  }
}

void member_joiner::send_probe(const std::string& process) {
  const member_probe out{log_.state().group};
  // A process without a session is asked again by the caller.
  peers_.send(process, make_frame(out)).IgnoreError();
}

time_point member_joiner::next_deadline() const {
  if (!done_) {
    return time_point::max();
  }
  return new_member_.id.empty() ? next_probe_ : deadline_;
}

void member_joiner::finish(const absl::Status& outcome) {
  std::exchange(done_, nullptr)(outcome);
}

}  // namespace citronwharf
