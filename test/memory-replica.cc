#include "memory-replica.h"

#include <algorithm>

namespace citronwharf::test {

void memory_replica::sync(nlohmann::json command) {
  waiting_.push_back(std::move(command));
  ++status_.last_index;
  notify();
}

nlohmann::json memory_replica::apply_next() {
  const nlohmann::json command = std::move(waiting_.front());
  waiting_.pop_front();
  status_.commit_index = ++status_.applied_index;
  const auto machine = machines_.find(command.value("kind", ""));
  nlohmann::json result =
      machine == machines_.end()
          ? nlohmann::json::object()
          : machine->second->apply(status_.applied_index, command);
  notify();
  return result;
}

void memory_replica::set_status(const std::string& id, const std::string& role,
                                const std::string& leader,
                                std::vector<replica_member> members) {
  status_.id = id;
  status_.role = role;
  status_.leader = leader;
  status_.members = std::move(members);
  notify();
}

absl::Status memory_replica::make_group() {
  if (!status_.members.empty()) {
    return absl::FailedPreconditionError("belongs to a group");
  }
  status_.members = {{status_.id, "c1", "127.0.0.1:1", true}};
  notify();
  return absl::OkStatus();
}

void memory_replica::propose(nlohmann::json command, proposal_done done) {
  if (!failure_.ok()) {
    done(failure_);
    return;
  }
  sync(std::move(command));
  nlohmann::json result = apply_next();
  done(proposal_result{status_.applied_index, std::move(result)});
}

void memory_replica::add_member(const std::string& process,
                                const std::string& address,
                                std::function<void(absl::Status)> done) {
  status_.members.push_back({"r-" + process, process, address, true});
  notify();
  done(absl::OkStatus());
}

void memory_replica::remove_member(const std::string& id,
                                   std::function<void(absl::Status)> done) {
  auto& members = status_.members;
  members.erase(
      std::remove_if(members.begin(), members.end(),
                     [&](const replica_member& in) { return in.id == id; }),
      members.end());
  notify();
  done(absl::OkStatus());
}

std::uint64_t memory_replica::unapplied(const std::string& kind) const {
  return static_cast<std::uint64_t>(std::count_if(
      waiting_.begin(), waiting_.end(), [&](const nlohmann::json& command) {
        return command.value("kind", "") == kind;
      }));
}

void memory_replica::notify() {
  for (const auto& subscriber : subscribers_) {
    subscriber();
  }
}

}  // namespace citronwharf::test
