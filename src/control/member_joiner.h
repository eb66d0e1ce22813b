/// Adds a member: asks the process for its replica's identity, adds it as a
/// learner and waits until it is a voter.
#ifndef CITRONWHARF_CONTROL_MEMBER_JOINER_H_
#define CITRONWHARF_CONTROL_MEMBER_JOINER_H_

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>

#include "control/replicated_log.h"
#include "net/peer_hub.h"

namespace citronwharf {

/// One addition at a time. Loop's thread only. Preconditions: `peers` and
/// `log` outlive it.
class member_joiner {
 public:
  /// `on_change` is called when the log was given an event.
  member_joiner(peer_hub& peers, replicated_log& log, std::string id,
                std::function<void()> on_change);
  ~member_joiner();
  member_joiner(const member_joiner&) = delete;
  member_joiner& operator=(const member_joiner&) = delete;

  /// See replica::add_member.
  void add(const std::string& process, const std::string& address,
           std::function<void(absl::Status)> done);
  /// Takes the next step, if one is due.
  void advance();
  time_point next_deadline() const;

 private:
  void on_identity(const std::string& process, const member_identity& in);
  void probe(time_point now);
  void end(const absl::Status& outcome);

  peer_hub& peers_;
  replicated_log& log_;
  std::string id_;
  std::function<void()> on_change_;
  replica_member joining_;  // id "" while it is not known
  std::function<void(absl::Status)> done_;
  time_point next_probe_;
  time_point deadline_;  // for the identity, then for catching up
  // Shared with handlers that may come after the joiner is gone.
  std::shared_ptr<bool> alive_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_MEMBER_JOINER_H_
