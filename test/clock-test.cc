// Tests pause(), advance() and resume() of runtime_clock, and its timer.
#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <utility>

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

BOOST_AUTO_TEST_CASE(cancelled_timer_whose_expiry_is_queued_is_aborted) {
  boost::asio::io_context loop;
  runtime_timer first(loop);
  runtime_timer second(loop);
  int expired = 0;
  for (auto [timer, other] : {std::pair(&first, &second), {&second, &first}}) {
    timer->expires_after(runtime_clock::duration(0));
    timer->async_wait([&, other = other](boost::system::error_code error) {
      expired += error ? 0 : 1;
      other->cancel();
    });
  }
  loop.run();
  BOOST_TEST(expired == 1);
}

BOOST_AUTO_TEST_CASE(timer_that_each_event_looks_at_still_expires) {
  boost::asio::io_context loop;
  runtime_timer timer(loop);
  const auto due = runtime_clock::now();
  int expired = 0;
  int events = 0;
  std::function<void()> on_event = [&] {
    if (expired == 0 && !timer.expires_by(due)) {
      timer.expires_at(due);
      timer.async_wait(
          [&](boost::system::error_code error) { expired += error ? 0 : 1; });
    }
    if (expired == 0 && ++events < 10000) {
      boost::asio::post(loop, on_event);
    }
  };
  on_event();
  loop.run();
  BOOST_TEST(expired == 1);
}

BOOST_AUTO_TEST_CASE(timer_has_no_time_to_expire_by_without_a_wait) {
  boost::asio::io_context loop;
  runtime_timer timer(loop);
  const auto due = runtime_clock::now();
  timer.expires_at(due);
  BOOST_TEST(!timer.expires_by(due));
  bool within_handler = true;
  timer.async_wait([&](boost::system::error_code) {
    within_handler = timer.expires_by(due);
  });
  BOOST_TEST(timer.expires_by(due));
  BOOST_TEST(!timer.expires_by(due - runtime_clock::duration(1)));
  loop.run();
  BOOST_TEST(!within_handler);
  timer.async_wait([](boost::system::error_code) {});
  timer.cancel();
  BOOST_TEST(!timer.expires_by(due));
}

BOOST_AUTO_TEST_CASE(timer_that_is_set_again_does_not_expire_for_its_old_time) {
  boost::asio::io_context loop;
  runtime_timer first(loop);
  runtime_timer second(loop);
  bool expired = false;
  first.expires_after(runtime_clock::duration(0));
  first.async_wait(
      [&](boost::system::error_code) { second.expires_after(seconds(3600)); });
  second.expires_after(runtime_clock::duration(0));
  second.async_wait([&](boost::system::error_code error) { expired = !error; });
  loop.run();
  BOOST_TEST(!expired);
}

BOOST_AUTO_TEST_CASE(destroyed_timer_whose_expiry_is_queued_is_aborted) {
  boost::asio::io_context loop;
  runtime_timer first(loop);
  auto second = std::make_unique<runtime_timer>(loop);
  bool expired = false;
  first.expires_after(runtime_clock::duration(0));
  first.async_wait([&](boost::system::error_code) { second.reset(); });
  second->expires_after(runtime_clock::duration(0));
  second->async_wait(
      [&](boost::system::error_code error) { expired = !error; });
  loop.run();
  BOOST_TEST(!expired);
}
