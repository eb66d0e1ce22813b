// Runs an event loop until a condition holds, so that tests need no fixed
// delays.
#ifndef CITRONWHARF_TEST_RUN_UNTIL_H_
#define CITRONWHARF_TEST_RUN_UNTIL_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace citronwharf::test {

/// Runs `loop` until `condition` holds. Returns false after `timeout`,
/// which only serves to end a test that hangs.
inline bool run_until(boost::asio::io_context& loop,
                      const std::function<bool()>& condition,
                      std::chrono::seconds timeout = std::chrono::seconds(20)) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  return true;
}

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_RUN_UNTIL_H_
