/// The gateway role: forwards callers' requests to the servers listed in a
/// directory, according to the published configuration.
#ifndef CITRONWHARF_GATEWAY_GATEWAY_ROLE_H_
#define CITRONWHARF_GATEWAY_GATEWAY_ROLE_H_

#include <memory>

#include "base/process_context.h"
#include "gateway/codec.h"

namespace citronwharf {

/// Creates the role. Preconditions: `process` outlives it; `codec` has all
/// hooks.
std::unique_ptr<process_role> make_gateway_role(process_context& process,
                                                gateway_codec codec);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_GATEWAY_ROLE_H_
