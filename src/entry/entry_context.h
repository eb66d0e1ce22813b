/// State shared by the requests of one entry.
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

/// Must outlive the requests. Not thread-safe; use from the event loop thread
/// only.
struct entry_context {
  process_context& process;
  placement& places;
  allowance_service& allowances;
  retry_budget& retries;
  waiting_limiter& waiting;
  endpoint_memory& memory;
  claim_client& claims;
  /// Returns the active request with this number, or nullptr. Timer and reply
  /// handlers look their request up here, so they cannot reach a request that
  /// has been destroyed.
  std::function<active_request*(std::uint64_t)> find;
  /// Removes a request that has ended. Deferred to the next iteration of the
  /// event loop.
  std::function<void(std::uint64_t)> remove;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ENTRY_CONTEXT_H_
