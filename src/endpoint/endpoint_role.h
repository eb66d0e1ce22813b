/// The endpoint role: every request to the back end that runs beside this
/// process passes through it.
#ifndef CITRONWHARF_ENDPOINT_ENDPOINT_ROLE_H_
#define CITRONWHARF_ENDPOINT_ENDPOINT_ROLE_H_

#include <memory>

#include "base/process_context.h"

namespace citronwharf {

/// Creates the endpoint role. Precondition: `process` outlives it.
std::unique_ptr<process_role> make_endpoint_role(process_context& process);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ENDPOINT_ROLE_H_
