/// Requests the replica identity of processes, and adds a member to the group:
/// requests its identity, adds the replica as a learner and waits until it is a
/// voter.
#ifndef CITRONWHARF_CONTROL_MEMBER_JOINER_H_
#define CITRONWHARF_CONTROL_MEMBER_JOINER_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/replicated_log.h"
#include "net/peer_hub.h"

namespace citronwharf {

/// Handles one addition at a time. Not thread-safe; use from the event loop
/// thread only. Preconditions: `peers` and `log` outlive it.
class member_joiner {
 public:
  using identity_handler =
      std::function<void(const absl::StatusOr<std::string>&)>;

  /// `on_change` is called after an event was passed to the log.
  member_joiner(peer_hub& peers, replicated_log& log, std::string id,
                std::function<void()> on_change);
  ~member_joiner();
  member_joiner(const member_joiner&) = delete;
  member_joiner& operator=(const member_joiner&) = delete;

  /// See replica::add_member.
  void add(const std::string& process, const std::string& address,
           std::function<void(absl::Status)> done);
  /// See replica::identify.
  void identify(const std::string& process, identity_handler done);
  /// Performs the next step, if one is due.
  void advance();
  time_point next_deadline() const;

 private:
  void handle_identity(const std::string& process, const member_identity& in);
  void send_probe(const std::string& process);
  void finish(const absl::Status& outcome);

  peer_hub& peers_;
  replicated_log& log_;
  std::string own_id_;
  std::function<void()> on_change_;
  replica_member new_member_;  // id "" until the identity is known
  std::function<void(absl::Status)> done_;
  std::map<std::string, identity_handler>
      identifications_;  // by process, until it replies
  time_point next_probe_;
  time_point deadline_;  // for the identity, then for the catch-up
  // Shared with handlers that may run after the joiner is destroyed.
  std::shared_ptr<bool> alive_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_MEMBER_JOINER_H_
