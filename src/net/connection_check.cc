#include "net/connection_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

#include "net/address.h"

namespace citronwharf {
namespace {

struct check {
  explicit check(boost::asio::io_context& loop) : socket(loop), timer(loop) {}

  boost::asio::ip::tcp::socket socket;
  runtime_timer timer;
};

}  // namespace

void check_refused(boost::asio::io_context& loop, const std::string& address,
                   duration timeout, std::function<void(bool refused)> done) {
  const auto endpoint = parse_address(address);
  if (!endpoint.ok()) {
    boost::asio::post(loop, [done = std::move(done)] { done(false); });
    return;
  }
  const auto running = std::make_shared<check>(loop);
  running->timer.expires_after(timeout);
  running->timer.async_wait([running](boost::system::error_code error) {
    if (!error) {
      running->socket.close(error);
    }
  });
  running->socket.async_connect(
      *endpoint,
      [running, done = std::move(done)](boost::system::error_code error) {
        running->timer.cancel();
        running->socket.close();
        done(error == boost::asio::error::connection_refused);
      });
}

}  // namespace citronwharf
