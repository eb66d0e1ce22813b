// A caller that looks at the bytes of a response: whether its framing is
// complete and whether anything follows it.
#ifndef CITRONWHARF_TEST_RAW_CLIENT_H_
#define CITRONWHARF_TEST_RAW_CLIENT_H_

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "net/address.h"

namespace citronwharf::test {

/// A response as its caller understands it.
struct raw_response {
  int status = 0;  ///< 0: no complete head was received
  std::string head;
  std::string body;       ///< without chunk framing
  bool complete = false;  ///< as framed
  std::string trailing;   ///< bytes after a complete response
};

/// Decodes the bytes received up to the end of a connection. `reset` states
/// that it ended with RST, so that a body without length is incomplete.
inline raw_response parse_raw_response(const std::string& bytes, bool reset) {
  raw_response out;
  const std::string end_of_head = "\r\n\r\n";
  const auto head_end = bytes.find(end_of_head);
  if (head_end == std::string::npos) {
    return out;
  }
  const std::string status_line = "HTTP/1.1 ";
  out.head = bytes.substr(0, head_end + 2);
  out.status = std::stoi(out.head.substr(status_line.size()));
  std::string rest = bytes.substr(head_end + end_of_head.size());
  const auto length_at = out.head.find("\r\nContent-Length: ");
  if (length_at != std::string::npos) {
    const std::string name = "\r\nContent-Length: ";
    const auto length = std::stoul(out.head.substr(length_at + name.size()));
    out.body = rest.substr(0, length);
    out.complete = rest.size() >= length;
    out.trailing = out.complete ? rest.substr(length) : "";
    return out;
  }
  if (out.head.find("\r\nTransfer-Encoding: chunked") == std::string::npos) {
    out.body = rest;
    out.complete = !reset;
    return out;
  }
  constexpr int hexadecimal = 16;
  while (true) {
    const auto line_end = rest.find("\r\n");
    if (line_end == std::string::npos) {
      return out;
    }
    const auto size =
        std::stoul(rest.substr(0, line_end), nullptr, hexadecimal);
    rest.erase(0, line_end + 2);
    out.body += rest.substr(0, size);
    if (rest.size() < size + 2) {
      return out;
    }
    rest.erase(0, size + 2);
    if (size == 0) {
      out.complete = true;
      out.trailing = rest;
      return out;
    }
  }
}

/// Sends one request and reads until the connection ends.
class raw_client {
 public:
  raw_client(boost::asio::io_context& loop, const std::string& address,
             std::string request)
      : socket_(loop), request_(std::move(request)) {
    socket_.async_connect(
        *parse_address(address), [this](boost::system::error_code error) {
          if (error) {
            ended_ = true;
            return;
          }
          boost::asio::write(socket_, boost::asio::buffer(request_), error);
          read();
        });
  }
  /// Sends more bytes. Precondition: the connection is established.
  void write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }
  /// Closes the connection. ended() follows.
  void close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
  bool ended() const { return ended_; }
  const std::string& bytes() const { return received_; }
  /// Precondition: ended().
  raw_response response() const {
    return parse_raw_response(received_, reset_);
  }

 private:
  void read() {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [this](boost::system::error_code error, std::size_t size) {
          received_.append(buffer_.data(), size);
          if (!error) {
            read();
            return;
          }
          reset_ = error != boost::asio::error::eof;
          ended_ = true;
        });
  }

  boost::asio::ip::tcp::socket socket_;
  std::string request_;
  std::array<char, 4096> buffer_{};
  std::string received_;
  bool reset_ = false;
  bool ended_ = false;
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_RAW_CLIENT_H_
