#include "net/peer_hub.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "net/address.h"
#include "net/handshake.h"
#include "observe/event.h"

namespace citronwharf {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

using ws_server = websocketpp::server<websocketpp::config::asio>;
using ws_client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr duration min_redial_wait = milliseconds(50);
constexpr duration max_redial_wait = seconds(2);
// Initial connect timeout. A lost SYN is retransmitted only after 1 s, so
// redialling is faster. The timeout grows with the redial wait, for slower
// links. Once TCP is connected, silence_limit applies instead, since the peer
// may be busy with hundreds of sessions.
constexpr duration first_connect_timeout = milliseconds(150);
// How long the endpoints are kept after close(): pending websocketpp handlers
// refer to them.
constexpr auto close_grace_period = std::chrono::milliseconds(200);

// One WebSocket connection, dialled or accepted, authenticated or not yet.
struct session {
  std::uint64_t id = 0;
  bool dialled = false;
  std::string dial_target;  ///< address dialled, "" when accepted
  connection_hdl handle;
  session_hello own;
  session_hello peer;
  bool hello_received = false;
  bool authenticated = false;
  time_point last_heard{};
  time_point last_sent{};
  duration max_silence{};
};

// An address that is redialled until forget() is called.
struct dial_target {
  std::string name;  ///< expected peer, "" if unknown
  duration wait = min_redial_wait;
  time_point next{};
  std::uint64_t session = 0;  ///< connecting or up; 0 if none
};

}  // namespace

bool operator==(const peer_id& lhs, const peer_id& rhs) {
  return lhs.name == rhs.name && lhs.incarnation == rhs.incarnation;
}
bool operator!=(const peer_id& lhs, const peer_id& rhs) {
  return !(lhs == rhs);
}

// Outlives the hub by close_grace_period, for pending websocketpp handlers.
class peer_hub::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& loop, peer_hub_options options)
      : loop_(loop), options_(std::move(options)), timer_(loop) {
    init_endpoint(server_);
    init_endpoint(client_);
    server_.set_reuse_addr(true);
  }

  void start() { tick(); }
  absl::StatusOr<std::uint16_t> listen();
  void connect(const std::string& name, const std::string& address);
  void forget(const std::string& name);
  void connect_address(const std::string& address);
  absl::Status send(const std::string& name, const frame& out);
  std::string make_mac(const std::string& text) const {
    return citronwharf::make_mac(options_.secret, text);
  }
  std::uint64_t session_incarnation(const std::string& name) const;
  std::optional<time_point> last_heard_before_loss(
      const std::string& name) const;
  void end_session(const std::string& name, const absl::Status& why);
  void close();

  void set_frame_handler(const std::string& type, frame_handler handler) {
    frame_handlers_[type] = std::move(handler);
  }
  void add_session_handler(session_handler handler) {
    session_handlers_.push_back(std::move(handler));
  }

 private:
  template <typename Endpoint>
  void init_endpoint(Endpoint& endpoint);
  template <typename Endpoint>
  static void set_no_delay(typename Endpoint::connection_type& connection);
  template <typename Endpoint>
  void add_session(session opened,
                   const typename Endpoint::connection_ptr& connection);

  void on_tcp_connected(std::uint64_t id);
  void opened(std::uint64_t id, const connection_hdl& handle, bool dialled);
  void on_message(std::uint64_t id, const std::string& bytes);
  void received_hello(session& from, const frame& in);
  void received_proof(session& from, const frame& in);
  void authenticated(session& from);
  void deliver(const peer_id& from, const frame& in);
  void remove_session(std::uint64_t id, const std::string& why);
  void close_session(std::uint64_t id, const std::string& why);
  void close_socket(const connection_hdl& handle, bool dialled);
  void refuse(session& from, const std::string& why);
  absl::Status write(session& to, const frame& out);
  void dial(const std::string& address, dial_target& target);
  void tick();
  void notify_session_handlers(const peer_id& peer, bool up);
  session* find(std::uint64_t id);
  const session* find_authenticated(const std::string& name) const;

  asio::io_context& loop_;
  peer_hub_options options_;
  ws_server server_;
  ws_client client_;
  runtime_timer timer_;
  bool closed_ = false;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, session> sessions_;
  std::map<std::string, std::uint64_t>
      authenticated_sessions_;  ///< by process name
  /// Time of the last frame on a session that was lost, by process name.
  std::map<std::string, time_point> lost_sessions_;
  std::map<std::string, dial_target> targets_;  ///< by address
  std::map<std::string, frame_handler> frame_handlers_;
  std::set<std::pair<std::string, std::string>>
      logged_unhandled_;  ///< peer, type
  std::vector<session_handler> session_handlers_;
};

template <typename Endpoint>
void peer_hub::impl::set_no_delay(
    typename Endpoint::connection_type& connection) {
  error_code ignored;
  connection.get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                         ignored);
}

template <typename Endpoint>
void peer_hub::impl::init_endpoint(Endpoint& endpoint) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&loop_);
  endpoint.set_max_message_size(options_.max_frame_bytes);
  // Frames are small and latency-sensitive, so Nagle's algorithm is disabled.
  endpoint.set_tcp_post_init_handler([&endpoint](const connection_hdl& handle) {
    websocketpp::lib::error_code error;
    const auto connection = endpoint.get_con_from_hdl(handle, error);
    if (!error) {
      set_no_delay<Endpoint>(*connection);
    }
  });
  endpoint.set_open_handshake_timeout(
      std::chrono::duration_cast<milliseconds>(options_.silence_limit).count());
}

template <typename Endpoint>
void peer_hub::impl::add_session(
    session opened_session,
    const typename Endpoint::connection_ptr& connection) {
  const std::uint64_t id = opened_session.id;
  opened_session.handle = connection->get_handle();
  opened_session.last_heard = runtime_clock::now();
  const bool dialled = opened_session.dialled;
  sessions_[id] = std::move(opened_session);
  const std::weak_ptr<impl> weak = weak_from_this();
  connection->set_open_handler(
      [weak, id, dialled](const connection_hdl& handle) {
        if (const auto self = weak.lock()) {
          self->opened(id, handle, dialled);
        }
      });
  connection->set_message_handler(
      [weak, id](const connection_hdl& /*handle*/,
                 const typename Endpoint::message_ptr& message) {
        if (const auto self = weak.lock()) {
          self->on_message(id, message->get_payload());
        }
      });
  connection->set_close_handler([weak, id](const connection_hdl& /*handle*/) {
    if (const auto self = weak.lock()) {
      self->remove_session(id, "closed");
    }
  });
  connection->set_fail_handler([weak, id](const connection_hdl& /*handle*/) {
    if (const auto self = weak.lock()) {
      self->remove_session(id, "connection failed");
    }
  });
}

absl::StatusOr<std::uint16_t> peer_hub::impl::listen() {
  const auto address = parse_address(options_.listen);
  if (!address.ok()) {
    return address.status();
  }
  server_.set_validate_handler([this](const connection_hdl& handle) {
    // No new sessions after close().
    if (closed_) {
      return false;
    }
    session accepted;
    accepted.id = next_id_++;
    accepted.max_silence = options_.silence_limit;
    add_session<ws_server>(std::move(accepted),
                           server_.get_con_from_hdl(handle));
    return true;
  });
  websocketpp::lib::error_code error;
  server_.listen(*address, error);
  if (!error) {
    server_.start_accept(error);
  }
  if (error) {
    return absl::UnavailableError(
        fmt::format("{}: {}", options_.listen, error.message()));
  }
  error_code unbound;
  return server_.get_local_endpoint(unbound).port();
}

void peer_hub::impl::connect(const std::string& name,
                             const std::string& address) {
  if (name == options_.self.name || closed_) {
    return;
  }
  for (auto each = targets_.begin(); each != targets_.end();) {
    const bool moved = each->second.name == name && each->first != address;
    each = moved ? targets_.erase(each) : std::next(each);
  }
  targets_[address].name = name;
}

void peer_hub::impl::connect_address(const std::string& address) {
  if (!closed_) {
    targets_[address];
  }
}

void peer_hub::impl::forget(const std::string& name) {
  for (auto each = targets_.begin(); each != targets_.end();) {
    each = each->second.name == name ? targets_.erase(each) : std::next(each);
  }
  end_session(name, absl::CancelledError("no longer wanted"));
}

void peer_hub::impl::dial(const std::string& address, dial_target& target) {
  target.next = runtime_clock::now() + target.wait;
  target.wait = std::min(target.wait * 2, max_redial_wait);
  websocketpp::lib::error_code error;
  const auto connection =
      client_.get_connection(fmt::format("ws://{}/", address), error);
  if (error) {
    return;
  }
  session dialled;
  dialled.id = next_id_++;
  dialled.dialled = true;
  dialled.dial_target = address;
  dialled.max_silence = std::max(first_connect_timeout, target.wait);
  target.session = dialled.id;
  connection->set_tcp_post_init_handler(
      [weak = weak_from_this(), id = dialled.id,
       &socket = *connection](const connection_hdl& /*handle*/) {
        if (const auto self = weak.lock()) {
          set_no_delay<ws_client>(socket);
          self->on_tcp_connected(id);
        }
      });
  add_session<ws_client>(std::move(dialled), connection);
  client_.connect(connection);
}

void peer_hub::impl::on_tcp_connected(std::uint64_t id) {
  session* found = find(id);
  if (found != nullptr) {
    found->max_silence = options_.silence_limit;
  }
}

void peer_hub::impl::opened(std::uint64_t id, const connection_hdl& handle,
                            bool dialled) {
  session* found = find(id);
  if (found == nullptr) {
    // The session was closed while it was being dialled.
    close_socket(handle, dialled);
    return;
  }
  found->own = session_hello{options_.self.name, options_.self.incarnation,
                             options_.deployment, make_nonce()};
  write(*found, make_frame(found->own)).IgnoreError();
}

void peer_hub::impl::on_message(std::uint64_t id, const std::string& bytes) {
  session* found = find(id);
  if (found == nullptr) {
    return;
  }
  found->last_heard = runtime_clock::now();
  const auto in = decode_frame(bytes);
  if (!in.ok()) {
    close_session(id, "malformed frame: " + std::string(in.status().message()));
    return;
  }
  if (found->authenticated) {
    if (in->type != session_heartbeat::type_name) {
      deliver(peer_id{found->peer.name, found->peer.incarnation}, *in);
    }
  } else if (!found->hello_received) {
    received_hello(*found, *in);
  } else {
    received_proof(*found, *in);
  }
}

void peer_hub::impl::received_hello(session& from, const frame& in) {
  auto hello = decode_value<session_hello>(in.body);
  if (in.type != session_hello::type_name || !hello.ok()) {
    refuse(from, "no hello");
    return;
  }
  if (hello->deployment != options_.deployment) {
    refuse(from, "deployment " + hello->deployment);
    return;
  }
  from.peer = *std::move(hello);
  from.hello_received = true;
  const auto target = targets_.find(from.dial_target);
  if (from.peer.name == options_.self.name) {
    // The seed addresses include this process, or another process has the same
    // name.
    if (target != targets_.end() && target->second.name.empty()) {
      targets_.erase(target);
    }
    close_session(from.id, "own name");
    return;
  }
  if (target != targets_.end() && !target->second.name.empty() &&
      target->second.name != from.peer.name) {
    refuse(from, "another process answers: " + from.peer.name);
    return;
  }
  const auto proof =
      make_proof(options_.secret, from.dialled, from.own, from.peer);
  if (!proof.ok()) {
    refuse(from, std::string(proof.status().message()));
    return;
  }
  write(from, make_frame(*proof)).IgnoreError();
}

void peer_hub::impl::received_proof(session& from, const frame& in) {
  const auto proof = decode_value<session_proof>(in.body);
  const auto expected =
      make_proof(options_.secret, !from.dialled, from.peer, from.own);
  if (in.type != session_proof::type_name || !proof.ok() || !expected.ok() ||
      !same_proof(*proof, *expected)) {
    refuse(from, "wrong proof");
    return;
  }
  authenticated(from);
}

// Keeps one session per pair of processes. If both ends dialled at once, both
// keep the session that was dialled by the process with the smaller name. Any
// other second session replaces the first, which the peer has given up.
void peer_hub::impl::authenticated(session& from) {
  const std::string name = from.peer.name;
  const std::uint64_t id = from.id;
  const auto authenticated_entry = authenticated_sessions_.find(name);
  if (authenticated_entry != authenticated_sessions_.end()) {
    const session& first = sessions_.at(authenticated_entry->second);
    const bool dialled_from_both_ends =
        first.dialled != from.dialled &&
        first.peer.incarnation == from.peer.incarnation;
    const bool new_by_smaller = from.dialled == (options_.self.name < name);
    if (dialled_from_both_ends && !new_by_smaller) {
      close_session(id, "second session");
      return;
    }
    close_session(authenticated_entry->second, "replaced");
  }
  session* found = find(id);
  if (found == nullptr) {
    return;
  }
  found->authenticated = true;
  authenticated_sessions_[name] = id;
  lost_sessions_.erase(name);
  for (auto& [address, target] : targets_) {
    if (address == found->dial_target) {
      target.name = name;
      target.wait = min_redial_wait;
    }
  }
  log_event(events::session_up, name, found->peer.incarnation);
  notify_session_handlers(peer_id{name, found->peer.incarnation}, true);
}

void peer_hub::impl::refuse(session& from, const std::string& why) {
  log_event(events::session_refused,
            from.dial_target.empty() ? "accepted" : from.dial_target, why);
  close_session(from.id, why);
}

void peer_hub::impl::deliver(const peer_id& from, const frame& in) {
  const auto handler = frame_handlers_.find(in.type);
  if (handler == frame_handlers_.end()) {
    // Logged once per peer and type, since a peer may send the type every
    // second.
    if (logged_unhandled_.insert({from.name, in.type}).second) {
      log_event(events::frame_without_handler, in.type, from.name);
    }
    return;
  }
  handler->second(from, in);
}

// Removes a session and closes its socket.
void peer_hub::impl::close_session(std::uint64_t id, const std::string& why) {
  const session* found = find(id);
  if (found == nullptr) {
    return;
  }
  const connection_hdl handle = found->handle;
  const bool dialled = found->dialled;
  remove_session(id, why);
  close_socket(handle, dialled);
}

void peer_hub::impl::close_socket(const connection_hdl& handle, bool dialled) {
  websocketpp::lib::error_code ignored;
  if (dialled) {
    client_.close(handle, websocketpp::close::status::normal, "", ignored);
  } else {
    server_.close(handle, websocketpp::close::status::normal, "", ignored);
  }
}

void peer_hub::impl::remove_session(std::uint64_t id, const std::string& why) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  const session ended = std::move(found->second);
  sessions_.erase(found);
  for (auto& [address, target] : targets_) {
    if (target.session == id) {
      target.session = 0;
    }
  }
  if (!ended.authenticated) {
    return;
  }
  const auto authenticated_entry =
      authenticated_sessions_.find(ended.peer.name);
  if (authenticated_entry != authenticated_sessions_.end() &&
      authenticated_entry->second == id) {
    authenticated_sessions_.erase(authenticated_entry);
    lost_sessions_[ended.peer.name] = ended.last_heard;
    log_event(events::session_lost, ended.peer.name, why);
    notify_session_handlers(peer_id{ended.peer.name, ended.peer.incarnation},
                            false);
  }
}

void peer_hub::impl::notify_session_handlers(const peer_id& peer, bool up) {
  const auto handlers = session_handlers_;
  for (const session_handler& handler : handlers) {
    handler(peer, up);
  }
}

absl::Status peer_hub::impl::write(session& to, const frame& out) {
  websocketpp::lib::error_code error;
  const std::string bytes = encode_frame(out);
  const auto opcode = websocketpp::frame::opcode::binary;
  if (to.dialled) {
    const auto connection = client_.get_con_from_hdl(to.handle, error);
    if (!error && connection->get_buffered_amount() + bytes.size() >
                      options_.max_queued_bytes) {
      return absl::ResourceExhaustedError("queue to " + to.peer.name);
    }
    client_.send(to.handle, bytes, opcode, error);
  } else {
    const auto connection = server_.get_con_from_hdl(to.handle, error);
    if (!error && connection->get_buffered_amount() + bytes.size() >
                      options_.max_queued_bytes) {
      return absl::ResourceExhaustedError("queue to " + to.peer.name);
    }
    server_.send(to.handle, bytes, opcode, error);
  }
  to.last_sent = runtime_clock::now();
  return error ? absl::UnavailableError(error.message()) : absl::OkStatus();
}

absl::Status peer_hub::impl::send(const std::string& name, const frame& out) {
  if (name == options_.self.name && !closed_) {
    asio::post(loop_, [weak = weak_from_this(), out] {
      const auto self = weak.lock();
      if (self && !self->closed_) {
        self->deliver(self->options_.self, out);
      }
    });
    return absl::OkStatus();
  }
  const auto authenticated_entry = authenticated_sessions_.find(name);
  if (authenticated_entry == authenticated_sessions_.end()) {
    return absl::UnavailableError("no session to " + name);
  }
  return write(sessions_.at(authenticated_entry->second), out);
}

std::uint64_t peer_hub::impl::session_incarnation(
    const std::string& name) const {
  if (name == options_.self.name) {
    return options_.self.incarnation;
  }
  const session* found = find_authenticated(name);
  return found == nullptr ? 0 : found->peer.incarnation;
}

std::optional<time_point> peer_hub::impl::last_heard_before_loss(
    const std::string& name) const {
  const auto found = lost_sessions_.find(name);
  return found == lost_sessions_.end() ? std::nullopt
                                       : std::optional(found->second);
}

void peer_hub::impl::end_session(const std::string& name,
                                 const absl::Status& why) {
  const session* found = find_authenticated(name);
  if (found != nullptr) {
    close_session(found->id, std::string(why.message()));
  }
}

session* peer_hub::impl::find(std::uint64_t id) {
  const auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : &found->second;
}

const session* peer_hub::impl::find_authenticated(
    const std::string& name) const {
  const auto authenticated_entry = authenticated_sessions_.find(name);
  return authenticated_entry == authenticated_sessions_.end()
             ? nullptr
             : &sessions_.at(authenticated_entry->second);
}

// Sends heartbeats, closes silent sessions and redials.
void peer_hub::impl::tick() {
  if (closed_) {
    return;
  }
  const time_point now = runtime_clock::now();
  std::vector<std::uint64_t> silent;
  for (auto& [id, each] : sessions_) {
    if (now - each.last_heard > each.max_silence) {
      silent.push_back(id);
    } else if (each.authenticated &&
               now - each.last_sent >= options_.heartbeat) {
      write(each, make_frame(session_heartbeat{})).IgnoreError();
    }
  }
  for (const std::uint64_t id : silent) {
    close_session(id, "silent");
  }
  for (auto& [address, target] : targets_) {
    const bool up =
        !target.name.empty() && authenticated_sessions_.count(target.name) > 0;
    if (target.session == 0 && !up && now >= target.next) {
      dial(address, target);
    }
  }
  timer_.expires_after(std::min<duration>(options_.heartbeat, min_redial_wait));
  timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->tick();
    }
  });
}

void peer_hub::impl::close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  timer_.cancel();
  websocketpp::lib::error_code ignored;
  if (server_.is_listening()) {
    server_.stop_listening(ignored);
  }
  session_handlers_.clear();
  std::vector<std::uint64_t> open;
  for (const auto& [id, each] : sessions_) {
    open.push_back(id);
  }
  for (const std::uint64_t id : open) {
    close_session(id, "process ends");
  }
  frame_handlers_.clear();
  const auto grace_timer =
      std::make_shared<asio::steady_timer>(loop_, close_grace_period);
  grace_timer->async_wait(
      [self = shared_from_this(), grace_timer](error_code) {});
}

peer_hub::peer_hub(asio::io_context& loop, peer_hub_options options)
    : impl_(std::make_shared<impl>(loop, std::move(options))) {
  impl_->start();
}
peer_hub::~peer_hub() {
  impl_->close();
}
absl::StatusOr<std::uint16_t> peer_hub::listen() {
  return impl_->listen();
}
void peer_hub::connect(const std::string& name, const std::string& address) {
  impl_->connect(name, address);
}
void peer_hub::forget(const std::string& name) {
  impl_->forget(name);
}
void peer_hub::connect_address(const std::string& address) {
  impl_->connect_address(address);
}
absl::Status peer_hub::send(const std::string& name, const frame& out) {
  return impl_->send(name, out);
}
absl::Status peer_hub::reply(const peer_id& to, const frame& out) {
  if (impl_->session_incarnation(to.name) != to.incarnation) {
    return absl::UnavailableError(to.name + " has restarted");
  }
  return impl_->send(to.name, out);
}
std::string peer_hub::make_mac(const std::string& text) const {
  return impl_->make_mac(text);
}
std::uint64_t peer_hub::session_incarnation(const std::string& name) const {
  return impl_->session_incarnation(name);
}
std::optional<time_point> peer_hub::last_heard_before_loss(
    const std::string& name) const {
  return impl_->last_heard_before_loss(name);
}
void peer_hub::on_frame(const std::string& type, frame_handler handler) {
  impl_->set_frame_handler(type, std::move(handler));
}
void peer_hub::on_session(session_handler handler) {
  impl_->add_session_handler(std::move(handler));
}
void peer_hub::end_session(const std::string& name, const absl::Status& why) {
  impl_->end_session(name, why);
}
void peer_hub::close() {
  impl_->close();
}

}  // namespace citronwharf
