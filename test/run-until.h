// Runs a loop until a condition holds: tests wait for conditions, not times.
#ifndef CITRONWHARF_TEST_RUN_UNTIL_H_
#define CITRONWHARF_TEST_RUN_UNTIL_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace citronwharf::test {

/// Returns whether `holds` came true. The limit only ends a test that hangs.
inline bool run_until(boost::asio::io_context& loop,
                      const std::function<bool()>& holds,
                      std::chrono::seconds limit = std::chrono::seconds(20)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  return true;
}

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_RUN_UNTIL_H_
