/// The entry role: accepts callers' requests and runs each to its outcome.
#ifndef CITRONWHARF_ENTRY_ENTRY_ROLE_H_
#define CITRONWHARF_ENTRY_ENTRY_ROLE_H_

#include <memory>

#include "base/process_context.h"

namespace citronwharf {

/// Makes the entry role. Precondition: `process` outlives it.
std::unique_ptr<process_role> make_entry_role(process_context& process);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ENTRY_ROLE_H_
