#include "control/replica_status.h"

namespace citronwharf {

replica_status describe(const replicated_log& log, const std::string& id) {
  replica_status out;
  out.id = log.state().group.empty() ? "" : id;
  out.role = to_text(log.role());
  // Others ignore reports of a lower term from then on, so a term that may be
  // lost again must not be reported.
  out.term = log.stable_term();
  out.leader = out.term == log.state().term ? log.leader() : "";
  out.first_index = log.first_index();
  out.last_index = log.stable_index();
  out.commit_index = log.commit_index();
  out.applied_index = log.applied_index();
  out.snapshot_index = log.snapshot_index();
  out.members = log.members();
  out.fault = log.fault();
  return out;
}

}  // namespace citronwharf
