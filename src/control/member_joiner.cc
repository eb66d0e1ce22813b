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
      id_(std::move(id)),
      on_change_(std::move(on_change)),
      alive_(std::make_shared<bool>(true)) {
  peers_.on<member_probe>(
      [this, alive = alive_](const peer_id& from, const member_probe&) {
        if (*alive) {
          const member_identity out{id_, log_.state().group};
          peers_.send(from.name, make_frame(out)).IgnoreError();
        }
      });
  peers_.on<member_identity>(
      [this, alive = alive_](const peer_id& from, const member_identity& in) {
        if (*alive) {
          on_identity(from.name, in);
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
  if (done_ && process != joining_.process) {
    done(absl::FailedPreconditionError(
        "another change of members is under way"));
    return;
  }
  if (done_) {
    end(absl::AbortedError("asked for again"));
  }
  joining_ = replica_member{"", process, address, false};
  done_ = std::move(done);
  next_probe_ = runtime_clock::now();
  deadline_ = next_probe_ + identity_timeout;
  peers_.connect(process, address);
}

void member_joiner::on_identity(const std::string& process,
                                const member_identity& in) {
  if (!done_ || !joining_.id.empty() || process != joining_.process) {
    return;
  }
  if (!in.group.empty() && in.group != log_.state().group) {
    end(absl::FailedPreconditionError(
        fmt::format("{} belongs to group {}", process, in.group)));
    return;
  }
  joining_.id = in.id;
  deadline_ = runtime_clock::now() + catch_up_timeout;
  const absl::Status added = log_.add_learner(runtime_clock::now(), joining_);
  // Who asks again for a member waits for it like the first one.
  if (added.ok() || absl::IsAlreadyExists(added)) {
    on_change_();
  } else {
    end(added);
  }
}

void member_joiner::advance() {
  if (!done_) {
    return;
  }
  if (log_.role() != log_role::leader) {
    end(absl::AbortedError("leader changed; outcome unknown"));
    return;
  }
  const time_point now = runtime_clock::now();
  const bool known = !joining_.id.empty();
  if (known && log_.settled(joining_.id)) {
    end(absl::OkStatus());
  } else if (known && !is_member(log_, joining_.id)) {
    end(absl::AbortedError("the member was removed"));
  } else if (now >= deadline_) {
    end(absl::DeadlineExceededError(fmt::format(
        known ? "{} has not caught up; it goes on" : "{} did not answer",
        joining_.process)));
  } else if (!known) {
    probe(now);
  }
}

void member_joiner::probe(time_point now) {
  if (now >= next_probe_) {
    next_probe_ = now + probe_interval;
    const member_probe out{log_.state().group};
    peers_.send(joining_.process, make_frame(out)).IgnoreError();
  }
}

time_point member_joiner::next_deadline() const {
  if (!done_) {
    return time_point::max();
  }
  return joining_.id.empty() ? next_probe_ : deadline_;
}

void member_joiner::end(const absl::Status& outcome) {
  std::exchange(done_, nullptr)(outcome);
}

}  // namespace citronwharf
