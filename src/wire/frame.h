/// Frames exchanged by the processes of the system: typed messages in CBOR.
#ifndef CITRONWHARF_WIRE_FRAME_H_
#define CITRONWHARF_WIRE_FRAME_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/decode.h"

namespace citronwharf {

/// Version of the messages. Both ends of a session must use the same version.
constexpr int protocol_version = 1;

/// One message in transit. `type` is the type_name of the message.
struct frame {
  std::string type;
  nlohmann::json body;
};

/// Converts a message to a frame. Message has a static `type_name` and a JSON
/// conversion.
/// Example: hub.send("decode-1", make_frame(cancel_request{key}));
template <typename Message>
frame make_frame(const Message& message) {
  return frame{Message::type_name, nlohmann::json(message)};
}

/// Serialises a frame. Thread-safe.
std::string encode_frame(const frame& in);

/// Parses the bytes of a frame received from a peer. Returns InvalidArgument if
/// they are malformed. Thread-safe.
absl::StatusOr<frame> decode_frame(const std::string& bytes);

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_FRAME_H_
