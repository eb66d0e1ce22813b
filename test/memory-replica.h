/// A replica without disk or sessions that applies commands only on request,
/// for tests and benchmarks of components that use the log.
#ifndef CITRONWHARF_TEST_MEMORY_REPLICA_H_
#define CITRONWHARF_TEST_MEMORY_REPLICA_H_

#include <deque>
#include <utility>
#include <vector>

#include "control/replica.h"

namespace citronwharf::test {

/// Not thread-safe; use from the event loop thread only.
class memory_replica final : public replica {
 public:
  explicit memory_replica(machines machines) : machines_(std::move(machines)) {
    status_.role = "leader";
    status_.id = "r1";
  }

  /// Appends a command to the synced log without applying it.
  void sync(nlohmann::json command);
  /// Applies the next synced command; returns its result.
  nlohmann::json apply_next();
  /// Sets the reported status, except for the indexes, which it maintains.
  void set_status(const std::string& id, const std::string& role,
                  const std::string& leader,
                  std::vector<replica_member> members);
  /// Makes each proposal fail with this status; an ok status ends that.
  void fail_proposals(absl::Status with) { failure_ = std::move(with); }
  std::size_t unapplied_commands() const { return waiting_.size(); }

  absl::Status open() override { return absl::OkStatus(); }
  absl::Status make_group() override;
  void propose(nlohmann::json command, proposal_done done) override;
  void add_member(const std::string& process, const std::string& address,
                  std::function<void(absl::Status)> done) override;
  void identify(const std::string&, identity_handler) override {}
  absl::Status add_learner(const replica_member&) override {
    return absl::OkStatus();
  }
  std::set<std::string> silent_members() const override { return {}; }
  void remove_member(const std::string& id,
                     std::function<void(absl::Status)> done) override;
  absl::Status take_snapshot() override { return absl::OkStatus(); }
  replica_status status() const override { return status_; }
  std::uint64_t unapplied(const std::string& kind) const override;
  void subscribe(std::function<void()> on_change) override {
    subscribers_.push_back(std::move(on_change));
  }

 private:
  void notify();

  machines machines_;
  replica_status status_;
  absl::Status failure_;
  std::deque<nlohmann::json> waiting_;
  std::vector<std::function<void()>> subscribers_;
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_MEMORY_REPLICA_H_
