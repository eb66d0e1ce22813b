/// The control log's group members: their encoding as the data of a log entry,
/// and the sets of voters that decide.
#ifndef CITRONWHARF_CONTROL_LOG_MEMBERS_H_
#define CITRONWHARF_CONTROL_LOG_MEMBERS_H_

#include <set>
#include <string>
#include <vector>

#include "wire/log_messages.h"

namespace citronwharf {

/// Members of a list that vote. The pointers are valid as long as the list.
using voter_set = std::vector<const replica_member*>;

/// Returns the sets of voters of which each must provide a majority: one, or
/// while a voter takes over a seat the set without it and the set without the
/// member it replaces. Thread-safe.
std::vector<voter_set> voter_sets(const std::vector<replica_member>& members);
/// Returns whether a voter takes over the seat of another one. Thread-safe.
bool seat_changes_hands(const std::vector<replica_member>& members);

/// Returns whether `ids` hold a majority of each set of voters. Thread-safe.
bool is_majority(const std::vector<replica_member>& members,
                 const std::set<std::string>& ids);

/// Returns CBOR. Thread-safe.
std::string encode_members(const std::vector<replica_member>& members);
/// Decodes CBOR. Precondition: made by encode_members(). Thread-safe.
std::vector<replica_member> decode_members(const std::string& bytes);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOG_MEMBERS_H_
