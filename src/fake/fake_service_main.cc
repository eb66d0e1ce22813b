// fake_service: a stand-in for a plain service.
#include <gflags/gflags.h>

#include <iostream>

#include "fake/main_support.h"
#include "fake/service.h"

DEFINE_string(listen, "127.0.0.1:0", "ip:port to serve at");
DEFINE_string(port_file, "", "the bound port is written here as JSON");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("a stand-in for a plain service");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context loop;
  citronwharf::fake::service service(loop, FLAGS_listen);
  const auto port = service.listen();
  if (!port.ok()) {
    std::cerr << port.status().message() << '\n';
    return 1;
  }
  if (!citronwharf::fake::write_port_file(FLAGS_port_file, *port)) {
    std::cerr << "cannot write " << FLAGS_port_file << '\n';
    return 1;
  }
  return citronwharf::fake::run_until_signal(loop);
}
