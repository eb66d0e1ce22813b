/// The admin listener of every process: health, metrics, and what the roles
/// administer.
#ifndef CITRONWHARF_DAEMON_HEALTH_H_
#define CITRONWHARF_DAEMON_HEALTH_H_

#include <vector>

#include "base/process_context.h"

namespace citronwharf {

/// Makes the handler of the admin listener:
/// GET /healthz   200 while the process runs
/// GET /readyz    200 while every role takes new work, else 503
/// GET /metrics   Prometheus text
/// /admin/...     the first role that knows the path
/// Preconditions: the arguments outlive the handler.
http_server::handler make_health_handler(process_context& process,
                                         std::vector<process_role*> roles,
                                         const bool& draining);

}  // namespace citronwharf

#endif  // CITRONWHARF_DAEMON_HEALTH_H_
