/// Conversions of the control group's members for messages to other processes.
#ifndef CITRONWHARF_CONTROL_CONTROL_MEMBERS_H_
#define CITRONWHARF_CONTROL_CONTROL_MEMBERS_H_

#include <set>
#include <string>
#include <vector>

#include "wire/control_messages.h"
#include "wire/log_messages.h"

namespace citronwharf {

/// Converts the group's members to their message form. Thread-safe.
std::vector<control_member> to_control_members(
    const std::vector<replica_member>& members);

/// Returns the replica ids of the voters. Thread-safe.
std::set<std::string> voter_ids(const std::vector<control_member>& members);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_CONTROL_MEMBERS_H_
