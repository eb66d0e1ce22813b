/// Sessions between the system's processes: websocketpp carrying CBOR frames,
/// one multiplexed session a pair, both ends authenticated.
#ifndef CITRONWHARF_NET_PEER_HUB_H_
#define CITRONWHARF_NET_PEER_HUB_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "base/clock.h"
#include "wire/frame.h"

namespace citronwharf {

/// Who is at the other end of a session.
struct peer_id {
  std::string name;               ///< process name from its settings
  std::uint64_t incarnation = 0;  ///< differs after each restart
};
bool operator==(const peer_id& lhs, const peer_id& rhs);
bool operator!=(const peer_id& lhs, const peer_id& rhs);

/// What the hub needs to know.
struct peer_hub_options {
  peer_id self;
  std::string deployment;  ///< sessions across deployments are refused
  std::string secret;      ///< the deployment's, for HMAC-SHA256
  std::string listen = "127.0.0.1:0";
  duration heartbeat = milliseconds(500);
  duration silence_limit = milliseconds(2000);  ///< then the session is lost
  std::size_t max_queued_bytes = 8U << 20U;     ///< to one peer
  std::size_t max_frame_bytes = 4U << 20U;
};

/// All sessions of one process. Used on the runtime's thread only; handlers
/// are called on it too, and may call the hub.
///
/// A session carries frames in order or is lost; what was queued on a lost
/// session is dropped, and the sender learns it by on_session(up = false).
/// Frames to the own name are delivered too, from the loop's next turn.
class peer_hub {
 public:
  using frame_handler = std::function<void(const peer_id&, const frame&)>;
  using session_handler = std::function<void(const peer_id&, bool up)>;

  peer_hub(boost::asio::io_context& loop, peer_hub_options options);
  ~peer_hub();
  peer_hub(const peer_hub&) = delete;
  peer_hub& operator=(const peer_hub&) = delete;

  /// Binds and accepts sessions. Returns the bound port.
  absl::StatusOr<std::uint16_t> listen();

  /// Keeps a session to the process `name` at `address` ("ip:port"), dialling
  /// again with growing waits (50 ms to 2 s) until forget() or a new address.
  /// Both ends may dial; either end's session serves both ways.
  void connect(const std::string& name, const std::string& address);
  /// Stops dialling `name` and closes the session to it.
  void forget(const std::string& name);

  /// Dials `address` without knowing the name, as for the first contact with
  /// the control replicas; the name is learned from the session.
  void connect_address(const std::string& address);

  /// Queues a frame. Unavailable without a session; ResourceExhausted when
  /// the peer's queue is full. Ok says nothing of delivery.
  absl::Status send(const std::string& name, const frame& out);

  /// Returns whether a session to `name` is up, and with which incarnation
  /// (0 when down).
  std::uint64_t session_incarnation(const std::string& name) const;

  /// Sets the handler of a frame type; one handler a type. Frames of a type
  /// without handler are dropped with an event.
  void on_frame(const std::string& type, frame_handler handler);
  /// Adds a handler that learns when sessions come up and get lost.
  void on_session(session_handler handler);

  /// Sets a typed handler; a body that does not decode ends the session.
  /// Example: hub.on<cancel_request>([](const peer_id&, const auto& m) {});
  template <typename Message, typename Handler>
  void on(Handler handler) {
    on_frame(Message::type_name, [this, handler = std::move(handler)](
                                     const peer_id& from, const frame& in) {
      auto message = decode_value<Message>(in.body);
      if (!message.ok()) {
        end_session(from.name, message.status());
        return;
      }
      handler(from, *message);
    });
  }

  /// Ends the session to `name`; `why` goes to the log.
  void end_session(const std::string& name, const absl::Status& why);

  /// Closes all sessions and the listener.
  void close();

 private:
  class impl;
  std::shared_ptr<impl> impl_;  // its handlers outlive the hub for a moment
};

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_PEER_HUB_H_
