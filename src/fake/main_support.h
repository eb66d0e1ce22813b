/// What the stand-ins' programs share.
#ifndef CITRONWHARF_FAKE_MAIN_SUPPORT_H_
#define CITRONWHARF_FAKE_MAIN_SUPPORT_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

namespace citronwharf::fake {

/// Writes the port to the file, whole or not at all; "" writes nothing.
/// Returns whether that worked.
bool write_port_file(const std::string& path, std::uint16_t port);

/// Runs the loop until SIGTERM or SIGINT. Returns the exit code.
int run_until_signal(boost::asio::io_context& loop);

}  // namespace citronwharf::fake

#endif  // CITRONWHARF_FAKE_MAIN_SUPPORT_H_
