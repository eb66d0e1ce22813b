/// "ip:port" addresses as settings and messages carry them.
#ifndef CITRONWHARF_NET_ADDRESS_H_
#define CITRONWHARF_NET_ADDRESS_H_

#include <absl/status/statusor.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace citronwharf {

/// Reads "ip:port"; InvalidArgument otherwise. Thread-safe.
/// Example: parse_address("127.0.0.1:8080")
absl::StatusOr<boost::asio::ip::tcp::endpoint> parse_address(
    const std::string& text);

/// Writes "ip:port". Thread-safe.
std::string format_address(const boost::asio::ip::tcp::endpoint& address);

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_ADDRESS_H_
