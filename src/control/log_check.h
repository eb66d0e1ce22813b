/// Validates messages from other replicas before the log handles them.
#ifndef CITRONWHARF_CONTROL_LOG_CHECK_H_
#define CITRONWHARF_CONTROL_LOG_CHECK_H_

#include "wire/log_messages.h"

namespace citronwharf {

/// Returns whether the bytes of every entry can be decoded as its kind requires
/// and the indexes are contiguous. Thread-safe.
bool well_formed(const append_request& in);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOG_CHECK_H_
