#include "control/log_members.h"

#include <algorithm>

namespace citronwharf {
namespace {

bool takes_seat(const replica_member& member) {
  return member.voter && !member.replaces.empty();
}

}  // namespace

std::vector<voter_set> voter_sets(const std::vector<replica_member>& members) {
  voter_set before;
  voter_set after;
  for (const replica_member& member : members) {
    if (!member.voter) {
      continue;
    }
    const bool replaced = std::any_of(
        members.begin(), members.end(), [&](const replica_member& other) {
          return takes_seat(other) && other.replaces == member.id;
        });
    if (!takes_seat(member)) {
      before.push_back(&member);
    }
    if (!replaced) {
      after.push_back(&member);
    }
  }
  return before == after ? std::vector<voter_set>{before}
                         : std::vector<voter_set>{before, after};
}

bool seat_changes_hands(const std::vector<replica_member>& members) {
  return std::any_of(members.begin(), members.end(), takes_seat);
}

bool is_majority(const std::vector<replica_member>& members,
                 const std::set<std::string>& ids) {
  const auto sets = voter_sets(members);
  return std::all_of(sets.begin(), sets.end(), [&](const voter_set& set) {
    const auto present = std::count_if(set.begin(), set.end(),
                                       [&](const replica_member* member) {
                                         return ids.count(member->id) != 0;
                                       });
    return static_cast<std::size_t>(present) * 2 > set.size();
  });
}

std::string encode_members(const std::vector<replica_member>& members) {
  std::string bytes;
  nlohmann::json::to_cbor(nlohmann::json(members), bytes);
  return bytes;
}

std::vector<replica_member> decode_members(const std::string& bytes) {
  return nlohmann::json::from_cbor(bytes).get<std::vector<replica_member>>();
}

}  // namespace citronwharf
