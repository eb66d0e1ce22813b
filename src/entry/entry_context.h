/// What the requests of one entry share.
#ifndef CITRONWHARF_ENTRY_ENTRY_CONTEXT_H_
#define CITRONWHARF_ENTRY_ENTRY_CONTEXT_H_

#include <cstdint>
#include <functional>

#include "base/process_context.h"
#include "entry/allowance_service.h"
#include "entry/claim.h"
#include "entry/place.h"
#include "entry/retry_budget.h"
#include "entry/waiting_limiter.h"
#include "policy/placement.h"

namespace citronwharf {

class active_request;

/// Outlives the requests. Loop's thread only.
struct entry_context {
  process_context& process;
  placement& places;
  allowance_service& allowances;
  retry_budget& retries;
  waiting_limiter& waiting;
  endpoint_memory& memory;
  claim_client& claims;
  /// Finds a request that is still active by its number, or returns nullptr.
  /// Timers and answers come back through it, so that none can reach a request
  /// that is gone.
  std::function<active_request*(std::uint64_t)> find;
  /// Removes a request that has ended, from the loop's next turn.
  std::function<void(std::uint64_t)> remove;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ENTRY_CONTEXT_H_
