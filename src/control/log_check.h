/// Checks what another replica sent before the log takes it.
#ifndef CITRONWHARF_CONTROL_LOG_CHECK_H_
#define CITRONWHARF_CONTROL_LOG_CHECK_H_

#include "wire/log_messages.h"

namespace citronwharf {

/// Returns whether every entry's bytes can be read as its kind says, and the
/// indexes follow each other. Thread-safe.
bool well_formed(const append_request& in);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOG_CHECK_H_
