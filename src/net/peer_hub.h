/// Authenticated sessions between the processes of a deployment: CBOR frames
/// over WebSocket (websocketpp), one multiplexed session per pair of processes.
#ifndef CITRONWHARF_NET_PEER_HUB_H_
#define CITRONWHARF_NET_PEER_HUB_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "wire/frame.h"

namespace citronwharf {

/// Identifies the process at the other end of a session.
struct peer_id {
  std::string name;               ///< process name from its settings
  std::uint64_t incarnation = 0;  ///< differs after each restart
};
bool operator==(const peer_id& lhs, const peer_id& rhs);
bool operator!=(const peer_id& lhs, const peer_id& rhs);

struct peer_hub_options {
  peer_id self;
  std::string deployment;  ///< peers of other deployments are refused
  std::string secret;      ///< shared in the deployment; HMAC key
  std::string listen = "127.0.0.1:0";
  duration heartbeat = milliseconds(500);
  duration silence_limit = milliseconds(2000);  ///< then it is closed
  std::size_t max_queued_bytes = 8U << 20U;     ///< per peer
  std::size_t max_frame_bytes = 4U << 20U;
};

/// All sessions of one process.
/// Not thread-safe; use from the event loop thread only. Handlers are called on
/// that thread and may call the hub.
///
/// A session delivers frames in order until it is lost. Frames still queued on
/// a lost session are dropped, which the sender is notified of by on_session(up
/// = false). Frames sent to the process's own name are delivered in the next
/// event loop iteration.
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

  /// Maintains a session to the process `name` at `address` ("ip:port"),
  /// redialling with exponential backoff (50 ms to 2 s) until forget() or a
  /// call with another address. Both ends may dial; a session dialled by either
  /// end is used in both directions.
  void connect(const std::string& name, const std::string& address);
  /// Stops dialling `name` and closes the session to it.
  void forget(const std::string& name);

  /// Dials `address` without knowing the peer's name, as for the first contact
  /// with the control replicas. The name is taken from the peer's hello.
  void connect_address(const std::string& address);

  /// Queues a frame. Returns Unavailable without a session and
  /// ResourceExhausted when the peer's queue is full. Ok does not guarantee
  /// delivery.
  absl::Status send(const std::string& name, const frame& out);
  /// Queues a frame for one incarnation of a process. Returns Unavailable also
  /// if another incarnation has the session. Replies that are not sent at once
  /// need this: a restarted process counts its messages from the start, so the
  /// reply could have the id of another message.
  absl::Status reply(const peer_id& to, const frame& out);

  /// Returns the HMAC of a text with the deployment's secret, in hex: the same
  /// in all processes of the deployment.
  std::string make_mac(const std::string& text) const;

  /// Returns the incarnation of the peer `name`, or 0 if no session to it is
  /// up.
  std::uint64_t session_incarnation(const std::string& name) const;

  /// Returns when the last frame of the peer `name` arrived on its last session
  /// that was lost, or nothing if none was lost since a session came up.
  std::optional<time_point> last_heard_before_loss(
      const std::string& name) const;

  /// Sets the handler of a frame type; each type has one handler. Frames of a
  /// type without a handler are dropped and logged.
  void on_frame(const std::string& type, frame_handler handler);
  /// Adds a handler that is called when a session comes up or is lost.
  void on_session(session_handler handler);

  /// Sets a typed handler. A body that cannot be decoded ends the session.
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

  /// Closes the session to `name`; `why` is logged.
  void end_session(const std::string& name, const absl::Status& why);

  /// Closes all sessions and the listener.
  void close();

 private:
  class impl;
  std::shared_ptr<impl> impl_;  // pending handlers may outlive the hub
};

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_PEER_HUB_H_
