/// Encoding of the control log's group members as the data of a log entry.
#ifndef CITRONWHARF_CONTROL_LOG_MEMBERS_H_
#define CITRONWHARF_CONTROL_LOG_MEMBERS_H_

#include <string>
#include <vector>

#include "wire/log_messages.h"

namespace citronwharf {

/// Returns CBOR. Thread-safe.
std::string encode_members(const std::vector<replica_member>& members);
/// Decodes CBOR. Precondition: made by encode_members(). Thread-safe.
std::vector<replica_member> decode_members(const std::string& bytes);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOG_MEMBERS_H_
