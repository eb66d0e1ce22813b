// The log of a soak run: faults and requests with the time since its start. It
// is printed if a check fails.
#ifndef CITRONWHARF_TEST_SOAK_LOG_H_
#define CITRONWHARF_TEST_SOAK_LOG_H_

#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace citronwharf::test {

using steady = std::chrono::steady_clock;

class soak_log {
 public:
  void note(const std::string& what) { lines_.push_back(at_present(what)); }

  /// Adds the time since the start of the run.
  std::string at_present(const std::string& what) const {
    const std::chrono::duration<double> elapsed = steady::now() - start_;
    return fmt::format("{:7.3f} {}", elapsed.count(), what);
  }

  /// Fails the test with `what` unless `holds`.
  void check(bool holds, const std::string& what) {
    BOOST_CHECK_MESSAGE(holds, what);
    if (!holds) {
      failed_ = true;
      note("FAILED: " + what);
    }
  }

  bool failed() const { return failed_; }
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  const steady::time_point start_ = steady::now();
  std::vector<std::string> lines_;
  bool failed_ = false;
};

/// Calls `action` after a span.
inline void call_after(boost::asio::io_context& loop,
                       std::chrono::milliseconds span,
                       std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(loop, span);
  timer->async_wait([timer, action = std::move(action)](
                        boost::system::error_code /*error*/) { action(); });
}

/// Returns a random number from 0 to `bound` - 1.
inline int random_below(std::mt19937_64& random, int bound) {
  return std::uniform_int_distribution<int>(0, bound - 1)(random);
}

/// Returns a random time around one of the given timeouts, from well before to
/// well after it.
inline std::chrono::milliseconds random_time_around(
    std::mt19937_64& random, const std::vector<int>& timeouts_ms) {
  const int timeout =
      timeouts_ms[random_below(random, static_cast<int>(timeouts_ms.size()))];
  return std::chrono::milliseconds(timeout / 2 + random_below(random, timeout));
}

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_SOAK_LOG_H_
