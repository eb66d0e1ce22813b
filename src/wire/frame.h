/// Frames between the system's processes: a typed message in CBOR.
#ifndef CITRONWHARF_WIRE_FRAME_H_
#define CITRONWHARF_WIRE_FRAME_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/decode.h"

namespace citronwharf {

/// Version of the messages; both ends of a session must speak the same one.
constexpr int protocol_version = 1;

/// One message as it travels. `type` is the message's type_name.
struct frame {
  std::string type;
  nlohmann::json body;
};

/// Wraps a message; Message has a static `type_name` and a JSON conversion.
/// Example: hub.send("decode-1", make_frame(cancel{key}));
template <typename Message>
frame make_frame(const Message& message) {
  return frame{Message::type_name, nlohmann::json(message)};
}

/// Returns the frame's bytes. Thread-safe.
std::string encode_frame(const frame& in);

/// Reads bytes from a peer; InvalidArgument for anything malformed.
/// Thread-safe.
absl::StatusOr<frame> decode_frame(const std::string& bytes);

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_FRAME_H_
