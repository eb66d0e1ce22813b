// Tests of decode memory reservations.
#include "policy/reservation_table.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace citronwharf;

namespace {

attempt_key make_key(std::uint64_t request) {
  return {"entry-1", 1, request, 1};
}

const time_point start_time(seconds(100));

}  // namespace

BOOST_AUTO_TEST_CASE(policy_decides_when_memory_is_reserved) {
  struct row {
    reservation_policy policy;
    duration ready_in;
    bool granted;
  };
  const std::vector<row> table = {
      {reservation_policy::none, milliseconds(0), true},
      {reservation_policy::free_now, milliseconds(500), false},
      {reservation_policy::predicted_free, milliseconds(99), false},
      {reservation_policy::predicted_free, milliseconds(100), true},
  };
  for (const row& each : table) {
    reservation_options options;
    options.pieces_total = 4;
    options.policy = each.policy;
    reservation_table reservations(options);
    const auto release = start_time + milliseconds(100);
    BOOST_TEST(reservations.start(make_key(1), 3, release, start_time));
    const auto decision =
        reservations.reserve(make_key(2), 2, each.ready_in, start_time);
    BOOST_TEST(decision.granted == each.granted);
    if (!decision.granted) BOOST_TEST(decision.retry_after.count() > 0);
  }
}

BOOST_AUTO_TEST_CASE(reserved_memory_is_not_reserved_again) {
  reservation_options options;
  options.pieces_total = 2;
  reservation_table reservations(options);
  const auto now = start_time;
  BOOST_TEST(reservations.reserve(make_key(1), 2, seconds(1), now).granted);
  BOOST_TEST(reservations.reserve(make_key(1), 2, seconds(1), now).granted);
  BOOST_TEST(!reservations.reserve(make_key(2), 1, seconds(9), now).granted);
  BOOST_TEST(!reservations.start(make_key(3), 1, now, now));
  BOOST_TEST(reservations.start(make_key(1), 2, now + seconds(1), now));
  BOOST_TEST(reservations.reserved() == 0);
  BOOST_TEST(reservations.release(make_key(1)));
  BOOST_TEST(!reservations.release(make_key(1)));
  BOOST_TEST(reservations.free() == 2);
}

BOOST_AUTO_TEST_CASE(batch_size_limits_running_requests) {
  reservation_options options;
  options.max_running = 1;
  reservation_table reservations(options);
  const auto release = start_time + seconds(1);
  BOOST_TEST(reservations.start(make_key(1), 1, release, start_time));
  BOOST_TEST(!reservations.start(make_key(2), 1, release, start_time));
  BOOST_TEST(!reservations.reserve(make_key(2), 1, milliseconds(9), start_time)
                  .granted);
  BOOST_TEST(
      reservations.reserve(make_key(2), 1, seconds(1), start_time).granted);
}

BOOST_AUTO_TEST_CASE(accounting_is_consistent_for_random_operations) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    reservation_options options;
    options.policy = static_cast<reservation_policy>(random() % 3);
    options.pieces_total = std::int32_t(1 + random() % 20);
    reservation_table reservations(options);
    time_point now = start_time;
    for (int step = 0; step < 200; ++step) {
      now += milliseconds(random() % 400);
      const attempt_key each = make_key(random() % 30);
      const auto pieces = std::int32_t(1 + random() % 3);
      switch (random() % 4) {
        case 0:
          reservations.reserve(each, pieces, milliseconds(random() % 900), now);
          break;
        case 1:
          reservations.start(each, pieces, now + milliseconds(random() % 900),
                             now);
          break;
        case 2:
          reservations.release(each);
          break;
        default:
          reservations.expire(now);
      }
      BOOST_REQUIRE_MESSAGE(reservations.held() <= options.pieces_total,
                            "seed " << seed);
      BOOST_REQUIRE(reservations.held() >= 0);
      BOOST_REQUIRE(reservations.reserved() >= 0);
      BOOST_REQUIRE(reservations.running() <= options.max_running);
    }
    for (std::uint64_t each = 0; each < 30; ++each)
      reservations.release(make_key(each));
    BOOST_REQUIRE_MESSAGE(reservations.free() == options.pieces_total,
                          "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(reservations_expire_with_their_lease) {
  reservation_options options;
  options.pieces_total = 1;
  options.lease = seconds(1);
  reservation_table reservations(options);
  BOOST_TEST(
      reservations.reserve(make_key(1), 1, seconds(1), start_time).granted);
  BOOST_TEST(reservations.expire(start_time + milliseconds(1999)).empty());
  BOOST_TEST(reservations.expire(start_time + milliseconds(2000)).size() == 1U);
  BOOST_TEST(reservations.free() == 1);
}
