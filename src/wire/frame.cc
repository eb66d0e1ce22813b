#include "wire/frame.h"

#include <utility>

#include "base/cbor.h"

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
  absl::StatusOr<nlohmann::json> decoded = parse_cbor(bytes);
  if (!decoded.ok()) {
    return decoded.status();
  }
  nlohmann::json& in = *decoded;
  try {
    if (in.at("v").get<int>() != protocol_version) {
      return absl::InvalidArgumentError("unsupported protocol version");
    }
    return frame{in.at("type").get<std::string>(), std::move(in.at("body"))};
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace citronwharf
