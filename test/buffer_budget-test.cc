// Tests of the memory budget of a server: large bodies that do not progress
// must keep neither ordinary requests nor responses out.
#include "net/buffer_budget.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t megabyte = 1U << 20U;
using ids = std::vector<std::uint64_t>;

// 7 MB for large bodies, 1 MB for small ones.
struct budget_of_8_mb {
  static buffer_budget_options options() {
    buffer_budget_options out;
    out.max_bytes = 8 * megabyte;
    return out;
  }
  bool grants(std::uint64_t connection, std::size_t bytes,
              buffer_use use = buffer_use::unread_request) {
    const auto decision = budget.hold(connection, bytes, use, now);
    ended = decision.ended;
    return decision.granted;
  }

  buffer_budget budget{options()};
  time_point now{seconds(100)};
  ids ended;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(small_requests_are_served_beside_large_bodies,
                        budget_of_8_mb) {
  BOOST_TEST(grants(1, 4 * megabyte));
  BOOST_TEST(!grants(2, 4 * megabyte));
  BOOST_TEST(grants(2, 3 * megabyte));
  BOOST_TEST(!grants(3, megabyte / 2));
  BOOST_TEST(grants(3, 20U << 10U));
  BOOST_TEST(budget.held_bytes() == 7 * megabyte + (20U << 10U));
  budget.release(1);
  BOOST_TEST(grants(4, 3 * megabyte));
}

BOOST_FIXTURE_TEST_CASE(a_steady_body_is_not_ended_for_another,
                        budget_of_8_mb) {
  BOOST_TEST(grants(1, 4 * megabyte));
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(200);
    budget.progress(1, now);
    BOOST_TEST(!grants(2, 4 * megabyte));
  }
  BOOST_TEST(ended.empty());
}

BOOST_FIXTURE_TEST_CASE(the_largest_and_longest_stall_ends_first,
                        budget_of_8_mb) {
  BOOST_TEST(grants(1, megabyte));
  now += milliseconds(500);
  BOOST_TEST(grants(2, 4 * megabyte));
  BOOST_TEST(grants(3, 2 * megabyte));
  now += milliseconds(1500);
  BOOST_TEST(grants(4, megabyte));
  BOOST_TEST(ended == ids{2}, boost::test_tools::per_element());
  BOOST_TEST(grants(5, 6 * megabyte));
  BOOST_TEST((ended == ids{3, 1}));
}

BOOST_FIXTURE_TEST_CASE(a_complete_request_is_not_ended, budget_of_8_mb) {
  BOOST_TEST(grants(1, 7 * megabyte, buffer_use::request));
  now += seconds(60);
  BOOST_TEST(!grants(2, megabyte));
  BOOST_TEST(ended.empty());
}

// The request behind a response has run, one that is being received has not.
BOOST_FIXTURE_TEST_CASE(a_response_goes_before_requests_being_received,
                        budget_of_8_mb) {
  BOOST_TEST(grants(1, 3 * megabyte));
  now += milliseconds(10);
  BOOST_TEST(grants(2, 4 * megabyte));
  now += milliseconds(10);
  BOOST_TEST(!grants(3, 4 * megabyte));
  BOOST_TEST(grants(3, 4 * megabyte, buffer_use::response));
  BOOST_TEST(ended.size() == 1);
  BOOST_TEST(budget.held_bytes() <= 8 * megabyte);
}

// Connections without a request give way to any use, but after stalled ones.
BOOST_FIXTURE_TEST_CASE(idle_connections_give_way_last, budget_of_8_mb) {
  BOOST_TEST(grants(1, megabyte, buffer_use::idle));
  BOOST_TEST(grants(2, megabyte, buffer_use::unused));
  BOOST_TEST(grants(3, megabyte));
  now += seconds(2);
  BOOST_TEST(grants(4, 5 * megabyte));
  BOOST_TEST(ended == ids{3}, boost::test_tools::per_element());
  BOOST_TEST(grants(5, megabyte, buffer_use::request));
  BOOST_TEST(ended == ids{2}, boost::test_tools::per_element());
  BOOST_TEST(grants(6, megabyte));
  BOOST_TEST(ended == ids{1}, boost::test_tools::per_element());
  BOOST_TEST(!grants(7, megabyte));
}

// For another connection, those give way that lose least.
BOOST_FIXTURE_TEST_CASE(connections_that_may_be_closed_are_in_order,
                        budget_of_8_mb) {
  BOOST_TEST(grants(1, 1000, buffer_use::request));
  BOOST_TEST(grants(2, 1000, buffer_use::unread_request));
  BOOST_TEST(grants(3, 1000, buffer_use::idle));
  BOOST_TEST(grants(4, 1000, buffer_use::unused));
  now += milliseconds(500);
  BOOST_TEST(grants(5, 1000, buffer_use::unread_request));
  BOOST_TEST(grants(6, 1000, buffer_use::idle));
  BOOST_TEST(grants(7, 1000, buffer_use::unused));
  now += milliseconds(500);
  BOOST_TEST((budget.dispensable(now) == ids{4, 7, 3, 6, 2}));
  BOOST_TEST(!budget.is_dispensable(1, now));
  BOOST_TEST(!budget.is_dispensable(5, now));
  BOOST_TEST(!budget.is_dispensable(8, now));
  budget.progress(2, now);
  BOOST_TEST(!budget.is_dispensable(2, now));
}

// A crowd of small requests that are sent steadily but slowly must not keep
// ordinary ones out.
BOOST_FIXTURE_TEST_CASE(small_request_takes_the_place_of_the_slowest_one,
                        budget_of_8_mb) {
  constexpr std::size_t small = 128U << 10U;
  for (std::uint64_t id = 1; id <= 64; ++id) {
    BOOST_TEST(grants(
        id, small, id == 1 ? buffer_use::request : buffer_use::unread_request));
    now += milliseconds(1);
    budget.progress(2, now);
  }
  BOOST_TEST(!grants(100, 2 * small));
  BOOST_TEST(grants(100, small));
  BOOST_TEST(ended == ids{2}, boost::test_tools::per_element());
  BOOST_TEST(grants(101, small));
  BOOST_TEST(ended == ids{3}, boost::test_tools::per_element());
}

// Asking for the same again, as for each part of a body, is no progress.
BOOST_FIXTURE_TEST_CASE(only_progress_keeps_a_large_body, budget_of_8_mb) {
  BOOST_TEST(grants(1, 5 * megabyte));
  for (int i = 0; i < 4; ++i) {
    now += milliseconds(300);
    BOOST_TEST(grants(1, 5 * megabyte));
  }
  BOOST_TEST(grants(2, 5 * megabyte));
  BOOST_TEST(ended == ids{1}, boost::test_tools::per_element());
}

// A refusal must leave the asking connection's part as it was.
BOOST_FIXTURE_TEST_CASE(a_refusal_changes_nothing, budget_of_8_mb) {
  BOOST_TEST(grants(1, 6 * megabyte));
  BOOST_TEST(grants(2, megabyte / 2));
  BOOST_TEST(!grants(2, 2 * megabyte));
  BOOST_TEST(budget.held_bytes() == 6 * megabyte + megabyte / 2);
  BOOST_TEST(grants(2, 0));
  BOOST_TEST(!grants(3, 9 * megabyte));
  BOOST_TEST(budget.held_bytes() == 6 * megabyte);
}
