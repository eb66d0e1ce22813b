// A server that answers with raw bytes, for responses that an HTTP server would
// not send: cut short, repeated or in pieces.
#ifndef CITRONWHARF_TEST_RAW_SERVER_H_
#define CITRONWHARF_TEST_RAW_SERVER_H_

#include <fmt/format.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace citronwharf::test {

/// A connection to a raw_server.
class raw_connection {
 public:
  explicit raw_connection(boost::asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  void write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }
  /// Closes with FIN after what was written.
  void close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
  /// Closes with RST.
  void reset() {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  friend class raw_server;

  boost::asio::ip::tcp::socket socket_;
  std::string unread_;
};

/// Accepts connections and passes each request, head and body, to a handler.
class raw_server {
 public:
  using handler = std::function<void(const std::string& request,
                                     const std::shared_ptr<raw_connection>&)>;

  raw_server(boost::asio::io_context& loop, handler on_request)
      : acceptor_(loop, {boost::asio::ip::tcp::v4(), 0}),
        address_(acceptor_.local_endpoint()),
        on_request_(std::move(on_request)) {
    accept();
  }
  std::string address() const {
    return fmt::format("127.0.0.1:{}", address_.port());
  }

  /// Refuses connections until restart().
  void stop() { acceptor_.close(); }
  void restart() {
    acceptor_.open(address_.protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(address_);
    acceptor_.listen();
    accept();
  }

  int connections = 0;

 private:
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      ++connections;
      read(std::make_shared<raw_connection>(std::move(socket)));
      accept();
    });
  }

  void read(const std::shared_ptr<raw_connection>& from) {
    auto bytes = std::make_shared<std::array<char, 4096>>();
    from->socket_.async_read_some(
        boost::asio::buffer(*bytes),
        [this, from, bytes](boost::system::error_code error, std::size_t size) {
          if (error) {
            return;
          }
          from->unread_.append(bytes->data(), size);
          while (from->socket_.is_open() && handle_request(from)) {
          }
          if (from->socket_.is_open()) {
            read(from);
          }
        });
  }

  // Returns whether a whole request was there.
  bool handle_request(const std::shared_ptr<raw_connection>& from) {
    const std::string end_of_head = "\r\n\r\n";
    const std::string length_field = "Content-Length: ";
    const auto head_end = from->unread_.find(end_of_head);
    if (head_end == std::string::npos) {
      return false;
    }
    std::size_t size = head_end + end_of_head.size();
    const auto length_at = from->unread_.find(length_field);
    if (length_at < head_end) {
      size += std::stoul(from->unread_.substr(length_at + length_field.size()));
    }
    if (from->unread_.size() < size) {
      return false;
    }
    const std::string request = from->unread_.substr(0, size);
    from->unread_.erase(0, size);
    on_request_(request, from);
    return true;
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint address_;
  handler on_request_;
};

/// Returns the value of a header field of a raw request, "" if it has none.
inline std::string raw_header(const std::string& request,
                              const std::string& name) {
  const std::string field = "\r\n" + name + ": ";
  const auto at = request.find(field);
  if (at == std::string::npos) {
    return "";
  }
  const auto from = at + field.size();
  return request.substr(from, request.find('\r', from) - from);
}

/// Returns a complete response. Each line of `headers` ends with CRLF.
inline std::string raw_reply(const std::string& headers,
                             const std::string& body, int status = 200) {
  return fmt::format("HTTP/1.1 {} -\r\n{}Content-Length: {}\r\n\r\n{}", status,
                     headers, body.size(), body);
}

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_RAW_SERVER_H_
