/// Answers the load-turn requests of endpoints at the leader.
#ifndef CITRONWHARF_CONTROL_LOAD_TURN_SERVICE_H_
#define CITRONWHARF_CONTROL_LOAD_TURN_SERVICE_H_

#include <map>
#include <string>

#include "base/process_context.h"
#include "control/configuration_source.h"
#include "control/load_turns.h"
#include "control/replica.h"

namespace citronwharf {

/// Endpoints send requests to all control replicas; only the leader replies.
/// Not thread-safe; use from the event loop thread only. Preconditions: all
/// constructor arguments outlive it.
class load_turn_service {
 public:
  load_turn_service(process_context& process, replica& log,
                    const load_turns& turns,
                    const configuration_source& source);

 private:
  // A reported end of a turn that is not in the log yet.
  struct pending_end {
    load_turn_done done;
    bool proposed = false;
  };

  void handle_request(const peer_id& from, const load_turn_request& request);
  void handle_done(const load_turn_done& done);
  void propose_pending_ends();
  void propose_end(const load_turn_done& done);
  void send_reply(const peer_id& to, std::uint64_t id, load_turn_reply message);
  bool leads() const;

  process_context& process_;
  replica& log_;
  const load_turns& turns_;
  const configuration_source& source_;
  std::map<std::string, pending_end> pending_ends_;  // by endpoint
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOAD_TURN_SERVICE_H_
