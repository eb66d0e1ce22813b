// Tests pause(), advance() and resume() of runtime_clock, and its timer.
#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using citronwharf::runtime_clock;
using citronwharf::runtime_timer;
using citronwharf::seconds;

BOOST_AUTO_TEST_CASE(paused_clock_changes_only_by_advance) {
  runtime_clock::pause();
  const auto before = runtime_clock::now();
  BOOST_TEST((runtime_clock::now() == before));
  runtime_clock::advance(seconds(5));
  BOOST_TEST((runtime_clock::now() == before + seconds(5)));
  runtime_clock::resume();
  BOOST_TEST((runtime_clock::now() >= before + seconds(5)));
}

BOOST_AUTO_TEST_CASE(timer_expires_when_paused_clock_is_advanced) {
  boost::asio::io_context loop;
  runtime_clock::pause();
  runtime_timer timer(loop);
  bool expired = false;
  timer.expires_after(seconds(3600));
  timer.async_wait([&](boost::system::error_code) { expired = true; });
  loop.poll();
  BOOST_TEST(!expired);
  runtime_clock::advance(seconds(3600));
  loop.run();
  BOOST_TEST(expired);
  runtime_clock::resume();
}
