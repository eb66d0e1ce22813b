#include "wire/frame.h"

#include <utility>

namespace citronwharf {

std::string encode_frame(const frame& in) {
  std::string bytes;
  nlohmann::json::to_cbor(
      nlohmann::json{
          {"v", protocol_version}, {"type", in.type}, {"body", in.body}},
      bytes);
  return bytes;
}

absl::StatusOr<frame> decode_frame(const std::string& bytes) {
  try {
    nlohmann::json in = nlohmann::json::from_cbor(bytes);
    if (in.at("v").get<int>() != protocol_version) {
      return absl::InvalidArgumentError("unsupported protocol version");
    }
    return frame{in.at("type").get<std::string>(), std::move(in.at("body"))};
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace citronwharf
