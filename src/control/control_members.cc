#include "control/control_members.h"

namespace citronwharf {

std::vector<control_member> to_control_members(
    const std::vector<replica_member>& members) {
  std::vector<control_member> out;
  out.reserve(members.size());
  for (const replica_member& in : members) {
    out.push_back({in.id, in.process, in.address, in.voter});
  }
  return out;
}

std::set<std::string> voter_ids(const std::vector<control_member>& members) {
  std::set<std::string> ids;
  for (const control_member& member : members) {
    if (member.voter) {
      ids.insert(member.id);
    }
  }
  return ids;
}

}  // namespace citronwharf
