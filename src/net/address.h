/// Parsing and formatting of "ip:port" addresses in settings and messages.
#ifndef CITRONWHARF_NET_ADDRESS_H_
#define CITRONWHARF_NET_ADDRESS_H_

#include <absl/status/statusor.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace citronwharf {

/// Parses "ip:port"; returns InvalidArgument if malformed. Thread-safe.
/// Example: parse_address("127.0.0.1:8080")
absl::StatusOr<boost::asio::ip::tcp::endpoint> parse_address(
    const std::string& text);

/// Returns whether `text` is the one way to write an IPv4 address and port that
/// a server can listen on: neither port 0 nor an unspecified, multicast or
/// broadcast address. Thread-safe.
/// Example: is_server_address("10.128.0.9:8080")
bool is_server_address(const std::string& text);

/// Formats as "ip:port". Thread-safe.
std::string format_address(const boost::asio::ip::tcp::endpoint& address);

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_ADDRESS_H_
