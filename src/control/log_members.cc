#include "control/log_members.h"

namespace citronwharf {

std::string encode_members(const std::vector<replica_member>& members) {
  std::string bytes;
  nlohmann::json::to_cbor(nlohmann::json(members), bytes);
  return bytes;
}

std::vector<replica_member> decode_members(const std::string& bytes) {
  return nlohmann::json::from_cbor(bytes).get<std::vector<replica_member>>();
}

}  // namespace citronwharf
