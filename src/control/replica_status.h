/// Builds the status of a replica from its log.
#ifndef CITRONWHARF_CONTROL_REPLICA_STATUS_H_
#define CITRONWHARF_CONTROL_REPLICA_STATUS_H_

#include <string>

#include "control/replica.h"
#include "control/replicated_log.h"

namespace citronwharf {

/// Returns the status of the replica `id`. Not thread-safe.
replica_status describe(const replicated_log& log, const std::string& id);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_REPLICA_STATUS_H_
