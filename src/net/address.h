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

/// Formats as "ip:port". Thread-safe.
std::string format_address(const boost::asio::ip::tcp::endpoint& address);

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_ADDRESS_H_
