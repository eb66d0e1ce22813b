/// Answers endpoints that ask for a turn to load, at the leader.
#ifndef CITRONWHARF_CONTROL_LOAD_TURN_SERVICE_H_
#define CITRONWHARF_CONTROL_LOAD_TURN_SERVICE_H_

#include <map>
#include <string>

#include "base/process_context.h"
#include "control/configuration_source.h"
#include "control/load_turns.h"
#include "control/replica.h"

namespace citronwharf {

/// Endpoints ask every control replica; only the leader answers. Loop's thread
/// only. Preconditions: all that it is given outlives it.
class load_turn_service {
 public:
  load_turn_service(process_context& process, replica& log,
                    const load_turns& turns,
                    const configuration_source& source);

 private:
  // The end of a turn that is not in the log yet.
  struct told_end {
    load_turn_done done;
    bool proposed = false;
  };

  void asked(const peer_id& from, const load_turn_request& request);
  void ended(const load_turn_done& done);
  void tell_log();
  void propose_end(const load_turn_done& done);
  void reply(const std::string& to, std::uint64_t id, load_turn_reply with);
  bool leads() const;

  process_context& process_;
  replica& log_;
  const load_turns& turns_;
  const configuration_source& source_;
  std::map<std::string, told_end> told_;  // by endpoint
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOAD_TURN_SERVICE_H_
