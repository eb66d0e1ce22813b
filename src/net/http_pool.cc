#include "net/http_pool.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "net/address.h"
#include "net/http_status.h"

namespace citronwharf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Time limit of calls started by run_detached().
constexpr duration detached_call_timeout = seconds(1);
// Subtracted from the server's announced idle timeout: servers announce whole
// seconds and may close slightly early, and a request sent at that moment would
// be lost.
constexpr duration keep_alive_margin = milliseconds(700);
// Limit on bytes read but not yet parsed; Beast reads up to 64 KiB at once.
constexpr std::size_t max_unparsed_bytes = 128U << 10U;
// An idle connection keeps a read buffer of up to this size.
constexpr std::size_t max_idle_buffer_bytes = 4U << 10U;
// Limit on late responses to other calls and interim responses that are read
// before the response to this call.
constexpr int max_skipped_responses = 8;
// A connection that has carried so many ids is closed, which bounds the memory
// that they take.
constexpr std::size_t max_carried_ids = 256;

// Without the body.
std::string serialize_head(const std::string& address,
                           const http_request& request) {
  const std::string& body = body_of(request);
  std::string out = fmt::format("{} {} HTTP/1.1\r\n", request.method,
                                request.target.empty() ? "/" : request.target);
  if (find_header(request.headers, "Host").empty()) {
    out += fmt::format("Host: {}\r\n", address);
  }
  for (const header_field& field : request.headers) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
  if (!body.empty() || (request.method != "GET" && request.method != "HEAD")) {
    out += fmt::format("Content-Length: {}\r\n", body.size());
  }
  out += "\r\n";
  return out;
}

// Parses "timeout=N" of a Keep-Alive header and subtracts keep_alive_margin.
std::optional<duration> parse_keep_alive_timeout(
    const std::string& keep_alive) {
  const std::string name = "timeout=";
  const auto at = keep_alive.find(name);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::size_t end = at + name.size();
  while (end < keep_alive.size() &&
         std::isdigit(static_cast<unsigned char>(keep_alive[end])) != 0) {
    ++end;
  }
  std::int64_t timeout_s = 0;
  if (!absl::SimpleAtoi(
          keep_alive.substr(at + name.size(), end - at - name.size()),
          &timeout_s)) {
    return std::nullopt;
  }
  return std::max<duration>(duration(0),
                            seconds(timeout_s) - keep_alive_margin);
}

}  // namespace

namespace detail {

// A connection that is idle or serves one call. Pending handlers hold a
// reference to it until they have run.
class pooled_connection
    : public std::enable_shared_from_this<pooled_connection> {
 public:
  pooled_connection(std::weak_ptr<http_pool::impl> pool, std::string address,
                    asio::io_context& loop)
      : pool_(std::move(pool)),
        address_(std::move(address)),
        socket_(loop),
        timer_(loop),
        limit_timer_(loop) {}

  void begin(pooled_call call, const http_request& request,
             http_call_handlers handlers);
  void abandon();
  /// Aborts the current call, without calling its handlers, after `span`.
  void set_time_limit(duration span);
  bool reusable(time_point now, duration max_idle);
  /// Returns whether every response so far identified its call.
  bool identified() const { return identified_; }
  /// Returns whether a call with this id was sent over the connection.
  bool carried(const std::string& id) const {
    return !id.empty() &&
           std::find(carried_ids_.begin(), carried_ids_.end(),
                     std::hash<std::string>()(id)) != carried_ids_.end();
  }
  const std::string& address() const { return address_; }
  time_point idle_since() const { return idle_since_; }

 private:
  void connect(duration timeout);
  void exchange();
  void start_response();
  void read_more();
  void on_read(error_code error);
  void deliver_unless_reset();
  void deliver();
  bool handle_head();
  void complete();
  void add_idle(duration idle_limit);
  void fail(const absl::Status& status);
  void close();

  std::weak_ptr<http_pool::impl> pool_;
  std::string address_;
  tcp::socket socket_;
  runtime_timer timer_;
  runtime_timer limit_timer_;
  beast::flat_buffer buffer_{max_unparsed_bytes};
  std::optional<http::response_parser<http::string_body>> parser_;
  pooled_call call_;
  http_call_handlers handlers_;
  std::string request_bytes_;                       // without shared_body_
  std::shared_ptr<const std::string> shared_body_;  // written after them
  bool connected_ = false;
  bool busy_ = false;             // a call is in progress
  bool sent_ = false;             // part of the request may have been sent
  bool request_written_ = false;  // the request was written completely
  bool write_failed_ = false;
  bool head_delivered_ = false;
  bool skipping_ = false;   // the response belongs to another call
  int skipped_ = 0;         // responses
  bool head_only_ = false;  // responses have no body, whatever their length
  bool identified_ = true;
  // The last response is an error that identifies no call. Its copy would be
  // taken for the response to the next call.
  bool refused_unidentified_ = false;
  std::vector<std::size_t> carried_ids_;  // hashes
  bool keep_alive_ = false;
  std::optional<duration> server_idle_timeout_;
  time_point idle_since_{};
  time_point idle_until_{};
};

}  // namespace detail

using detail::pooled_connection;

class http_pool::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& loop, http_pool_options options)
      : loop_(loop), options_(options) {}

  std::shared_ptr<pooled_connection> acquire(const pooled_call& call) {
    if (!call.needs_identified_connection) {
      if (auto connection = take_idle(call, false)) {
        return connection;
      }
    }
    if (auto connection = take_idle(call, true)) {
      return connection;
    }
    ++opened_;
    return std::make_shared<pooled_connection>(weak_from_this(), call.address,
                                               loop_);
  }

  void add_idle(const std::shared_ptr<pooled_connection>& connection) {
    auto& idle = idle_[connection->address()];
    idle.push_back(connection);
    if (idle.size() > options_.max_idle_per_address) {
      const auto oldest = idle.front();
      idle.pop_front();
      oldest->abandon();
    }
  }

  void remove(const std::shared_ptr<pooled_connection>& connection) {
    const auto found = idle_.find(connection->address());
    if (found != idle_.end()) {
      found->second.remove(connection);
      if (found->second.empty()) {
        idle_.erase(found);
      }
    }
  }

  void forget(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
      return;
    }
    const auto idle = std::move(found->second);
    idle_.erase(found);
    for (const auto& each : idle) {
      each->abandon();
    }
  }

  void close() {
    while (!idle_.empty()) {
      forget(idle_.begin()->first);
    }
  }

  const http_pool_options& options() const { return options_; }
  std::uint64_t opened() const { return opened_; }

 private:
  // Takes the connection that was idle for the shortest time out of those that
  // are identified, or out of those that are not, and have not carried the id
  // of the call. Returns null if none can be reused.
  std::shared_ptr<pooled_connection> take_idle(const pooled_call& call,
                                               bool identified) {
    const auto found = idle_.find(call.address);
    if (found == idle_.end()) {
      return nullptr;
    }
    auto& idle = found->second;
    for (auto next = idle.end(); next != idle.begin();) {
      --next;
      if ((*next)->identified() != identified || (*next)->carried(call.id)) {
        continue;
      }
      auto connection = *next;
      next = idle.erase(next);
      if (connection->reusable(runtime_clock::now(), call.max_idle)) {
        return connection;
      }
      connection->abandon();
    }
    return nullptr;
  }

  asio::io_context& loop_;
  http_pool_options options_;
  std::map<std::string, std::list<std::shared_ptr<pooled_connection>>> idle_;
  std::uint64_t opened_ = 0;
};

namespace detail {

void pooled_connection::begin(pooled_call call, const http_request& request,
                              http_call_handlers handlers) {
  call_ = std::move(call);
  handlers_ = std::move(handlers);
  request_bytes_ = serialize_head(address_, request);
  shared_body_ = request.shared_body;
  if (!shared_body_) {
    request_bytes_ += request.body;
  }
  head_only_ = request.method == "HEAD";
  if (!call_.id.empty()) {
    carried_ids_.push_back(std::hash<std::string>()(call_.id));
  }
  busy_ = true;
  sent_ = false;
  if (!connected_) {
    connect(call_.connect_timeout);
    return;
  }
  // Cancels the idle timer and the wait for unexpected data.
  error_code ignored;
  socket_.cancel(ignored);
  timer_.cancel();
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->busy_) {
      self->exchange();
    }
  });
}

void pooled_connection::set_time_limit(duration span) {
  limit_timer_.expires_after(span);
  limit_timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self && self->busy_) {
      self->abandon();
    }
  });
}

void pooled_connection::connect(duration timeout) {
  const auto address = parse_address(address_);
  if (!address.ok()) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), status = address.status()] {
                 self->fail(status);
               });
    return;
  }
  timer_.expires_after(timeout);
  timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self && self->busy_ && !self->connected_) {
      self->fail(absl::DeadlineExceededError("connect timed out"));
    }
  });
  socket_.async_connect(
      *address, [self = shared_from_this()](error_code error) {
        if (!self->busy_) {
          return;
        }
        self->timer_.cancel();
        if (error) {
          self->fail(absl::UnavailableError("connect: " + error.message()));
          return;
        }
        self->connected_ = true;
        error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->exchange();
      });
}

// Reads and writes concurrently, since a server may respond before it has read
// a long request.
void pooled_connection::exchange() {
  sent_ = true;
  request_written_ = false;
  write_failed_ = false;
  const std::string no_body;
  const std::array<asio::const_buffer, 2> parts{
      asio::buffer(request_bytes_),
      asio::buffer(shared_body_ ? *shared_body_ : no_body)};
  asio::async_write(
      socket_, parts,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        // A write error is reported by the read, which may first return a
        // response.
        self->request_written_ = !error;
        self->write_failed_ = static_cast<bool>(error);
        std::string().swap(self->request_bytes_);
      });
  skipped_ = 0;
  start_response();
}

void pooled_connection::start_response() {
  parser_.emplace();
  parser_->eager(false);
  parser_->skip(head_only_);
  // Boost 1.74 treats boost::none as a limit of zero.
  parser_->body_limit(
      call_.max_body_bytes.value_or(std::numeric_limits<std::uint64_t>::max()));
  head_delivered_ = false;
  skipping_ = false;
  read_more();
}

void pooled_connection::read_more() {
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        self->on_read(error);
      });
}

void pooled_connection::on_read(error_code error) {
  if (!busy_) {
    return;
  }
  // A response without a length ends when the server closes the connection.
  if (error == http::error::end_of_stream && parser_->is_header_done() &&
      parser_->need_eof()) {
    parser_->put_eof(error);
  }
  if (error) {
    fail(absl::UnavailableError("read: " + error.message()));
    return;
  }
  if (parser_->is_done() && parser_->need_eof() && !request_written_) {
    // If the server reset the connection, the write has received that error,
    // and the read only the end of the stream. The handler of the write is
    // queued.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->deliver_unless_reset(); });
    return;
  }
  deliver();
}

void pooled_connection::deliver_unless_reset() {
  if (!busy_) {
    return;
  }
  if (write_failed_) {
    fail(absl::UnavailableError("connection reset"));
  } else {
    deliver();
  }
}

void pooled_connection::deliver() {
  // Keeps the connection alive if a handler destroys the call.
  const auto self = shared_from_this();
  if (parser_->is_header_done() && !head_delivered_) {
    if (!handle_head()) {
      return;
    }
  }
  std::string& body = parser_->get().body();
  if (!body.empty()) {
    const std::string part = std::move(body);
    body.clear();
    if (!skipping_ && handlers_.on_body) {
      handlers_.on_body(part);
    }
  }
  if (!busy_) {
    return;
  }
  if (!parser_->is_done()) {
    read_more();
    return;
  }
  if (skipping_) {
    if (++skipped_ > max_skipped_responses) {
      fail(absl::UnavailableError("too many responses to other calls"));
    } else {
      start_response();
    }
    return;
  }
  complete();
}

// Returns false if the call has failed or a handler has ended it.
bool pooled_connection::handle_head() {
  http_response head;
  head.status = static_cast<int>(parser_->get().result_int());
  if (!is_valid_status(head.status)) {
    fail(absl::UnavailableError(fmt::format("status {:03}", head.status)));
    return false;
  }
  for (const auto& field : parser_->get()) {
    head.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  keep_alive_ = parser_->get().keep_alive() && !parser_->need_eof();
  server_idle_timeout_ =
      parse_keep_alive_timeout(find_header(head.headers, "Keep-Alive"));
  head_delivered_ = true;
  constexpr int first_final_status = 200;
  if (head.status < first_final_status) {
    skipping_ = true;
  } else {
    const response_match match =
        call_.match ? call_.match(head) : response_match::unidentified;
    skipping_ = match == response_match::other_call;
    identified_ = identified_ && match != response_match::unidentified;
    constexpr int first_error = 400;
    refused_unidentified_ =
        match == response_match::unidentified && head.status >= first_error;
  }
  if (!skipping_ && handlers_.on_head) {
    handlers_.on_head(head);
  }
  return busy_;
}

void pooled_connection::complete() {
  auto done = std::move(handlers_.on_done);
  handlers_ = {};
  busy_ = false;
  limit_timer_.cancel();
  const auto pool = pool_.lock();
  // A server that only gets calls that need an identified connection would
  // never see the connection used again.
  const bool useful = (identified_ || !call_.needs_identified_connection) &&
                      !refused_unidentified_ &&
                      carried_ids_.size() < max_carried_ids;
  if (keep_alive_ && request_written_ && buffer_.size() == 0 && useful &&
      pool) {
    add_idle(
        std::min(pool->options().idle_limit,
                 server_idle_timeout_.value_or(pool->options().idle_limit)));
  } else {
    close();
  }
  if (done) {
    done();
  }
}

void pooled_connection::add_idle(duration idle_limit) {
  idle_since_ = runtime_clock::now();
  idle_until_ = idle_since_ + idle_limit;
  parser_.reset();
  shared_body_.reset();
  if (buffer_.capacity() > max_idle_buffer_bytes) {
    buffer_.shrink_to_fit();
  }
  if (const auto pool = pool_.lock()) {
    pool->add_idle(shared_from_this());
  }
  const auto close_idle = [](const std::weak_ptr<pooled_connection>& weak) {
    const auto self = weak.lock();
    if (!self || self->busy_) {
      return;
    }
    if (const auto pool = self->pool_.lock()) {
      pool->remove(self);
    }
    self->close();
  };
  timer_.expires_at(idle_until_);
  timer_.async_wait([weak = weak_from_this(), close_idle](error_code error) {
    if (!error) {
      close_idle(weak);
    }
  });
  socket_.async_wait(tcp::socket::wait_read,
                     [weak = weak_from_this(), close_idle](error_code error) {
                       if (error != asio::error::operation_aborted) {
                         close_idle(weak);
                       }
                     });
}

// Also checks the socket: the server's close may have arrived in the current
// event loop iteration and not been handled yet.
bool pooled_connection::reusable(time_point now, duration max_idle) {
  if (!connected_ || busy_ || now >= idle_until_ ||
      now - idle_since_ >= max_idle) {
    return false;
  }
  error_code error;
  socket_.non_blocking(true, error);
  char byte = 0;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block || error == asio::error::try_again;
}

void pooled_connection::abandon() {
  busy_ = false;
  // One of the handlers may be running, so they are destroyed in a later event
  // loop iteration.
  asio::post(socket_.get_executor(), [handlers = std::move(handlers_),
                                      match = std::move(call_.match)] {});
  handlers_ = {};
  call_.match = nullptr;
  close();
}

void pooled_connection::close() {
  connected_ = false;
  timer_.cancel();
  limit_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void pooled_connection::fail(const absl::Status& status) {
  if (!busy_) {
    return;
  }
  auto failed = std::move(handlers_.on_failure);
  abandon();
  if (failed) {
    failed(http_failure{status, sent_});
  }
}

}  // namespace detail

namespace {

class running_pooled_call final : public http_call {
 public:
  running_pooled_call(std::shared_ptr<pooled_connection> connection,
                      std::shared_ptr<bool> running)
      : connection_(std::move(connection)), running_(std::move(running)) {}
  ~running_pooled_call() override {
    // After the call has ended, the connection may already serve another one.
    if (*running_) {
      connection_->abandon();
    }
  }
  running_pooled_call(const running_pooled_call&) = delete;
  running_pooled_call& operator=(const running_pooled_call&) = delete;

 private:
  std::shared_ptr<pooled_connection> connection_;
  std::shared_ptr<bool> running_;
};

}  // namespace

http_pool::http_pool(asio::io_context& loop, http_pool_options options)
    : impl_(std::make_shared<impl>(loop, options)) {}

http_pool::~http_pool() {
  impl_->close();
}

std::unique_ptr<http_call> http_pool::start(pooled_call call,
                                            const http_request& request,
                                            http_call_handlers handlers) {
  auto connection = impl_->acquire(call);
  auto running = std::make_shared<bool>(true);
  auto done = std::move(handlers.on_done);
  handlers.on_done = [running, done = std::move(done)] {
    *running = false;
    if (done) {
      done();
    }
  };
  auto failed = std::move(handlers.on_failure);
  handlers.on_failure =
      [running, failed = std::move(failed)](const http_failure& failure) {
        *running = false;
        if (failed) {
          failed(failure);
        }
      };
  connection->begin(std::move(call), request, std::move(handlers));
  return std::make_unique<running_pooled_call>(std::move(connection),
                                               std::move(running));
}

std::unique_ptr<http_call> http_pool::fetch(
    pooled_call call, const http_request& request,
    std::function<void(absl::StatusOr<http_response>, bool)> done) {
  return start(std::move(call), request, collect_response(std::move(done)));
}

void http_pool::run_detached(pooled_call call, const http_request& request) {
  auto connection = impl_->acquire(call);
  connection->begin(std::move(call), request, {});
  connection->set_time_limit(detached_call_timeout);
}

void http_pool::forget(const std::string& address) {
  impl_->forget(address);
}

std::uint64_t http_pool::opened() const {
  return impl_->opened();
}

}  // namespace citronwharf
