#include "net/address.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace citronwharf {
namespace {

constexpr unsigned max_port = 65535;

}  // namespace

absl::StatusOr<boost::asio::ip::tcp::endpoint> parse_address(
    const std::string& text) {
  const auto colon = text.rfind(':');
  unsigned port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > max_port) {
    return absl::InvalidArgumentError(
        fmt::format("{} is not a valid ip:port address", text));
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
  if (error) {
    return absl::InvalidArgumentError(
        fmt::format("{} is not a valid ip:port address", text));
  }
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

bool is_server_address(const std::string& text) {
  const auto parsed = parse_address(text);
  if (!parsed.ok() || !parsed->address().is_v4() || parsed->port() == 0) {
    return false;
  }
  const auto ip = parsed->address().to_v4();
  return !ip.is_unspecified() && !ip.is_multicast() &&
         ip != boost::asio::ip::address_v4::broadcast() &&
         format_address(*parsed) == text;
}

std::string format_address(const boost::asio::ip::tcp::endpoint& address) {
  return fmt::format("{}:{}", address.address().to_string(), address.port());
}

}  // namespace citronwharf
