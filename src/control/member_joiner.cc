#include "control/member_joiner.h"

#include <fmt/format.h>

#include <utility>

namespace citronwharf {
namespace {

constexpr duration probe_interval = milliseconds(200);
constexpr duration identity_timeout = seconds(10);

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
  if (done_) {
    done(absl::FailedPreconditionError(
        "another change of members is under way"));
    return;
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
  const absl::Status added = log_.add_learner(runtime_clock::now(), joining_);
  if (!added.ok()) {
    end(added);
    return;
  }
  on_change_();
}

void member_joiner::advance() {
  if (!done_) {
    return;
  }
  if (log_.role() != log_role::leader) {
    end(absl::AbortedError("leader changed; outcome unknown"));
    return;
  }
  if (!joining_.id.empty()) {
    if (log_.settled(joining_.id)) {
      end(absl::OkStatus());
    }
    return;
  }
  const time_point now = runtime_clock::now();
  if (now >= deadline_) {
    end(absl::DeadlineExceededError(
        fmt::format("{} did not answer", joining_.process)));
    return;
  }
  if (now >= next_probe_) {
    next_probe_ = now + probe_interval;
    const member_probe out{log_.state().group};
    peers_.send(joining_.process, make_frame(out)).IgnoreError();
  }
}

time_point member_joiner::next_deadline() const {
  return done_ && joining_.id.empty() ? next_probe_ : time_point::max();
}

void member_joiner::end(const absl::Status& outcome) {
  std::exchange(done_, nullptr)(outcome);
}

}  // namespace citronwharf
