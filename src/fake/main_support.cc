#include "fake/main_support.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>

namespace citronwharf::fake {

bool write_port_file(const std::string& path, std::uint16_t port) {
  if (path.empty()) {
    return true;
  }
  const std::string part = path + ".part";
  std::ofstream out(part);
  out << "{\"port\": " << port << "}\n";
  out.close();
  return out.good() && std::rename(part.c_str(), path.c_str()) == 0;
}

int run_until_signal(boost::asio::io_context& loop) {
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](boost::system::error_code, int) { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace citronwharf::fake
