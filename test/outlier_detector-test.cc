// Simulated loads for the detection of outliers among servers.
#include "gateway/outlier_detector.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

namespace citronwharf {
namespace {

const time_point start{seconds(1000)};

std::vector<listed_server> make_servers(int count) {
  std::vector<listed_server> out;
  for (int i = 0; i < count; ++i) {
    listed_server each;
    each.id = "s" + std::to_string(i);
    each.service = "desk";
    out.push_back(each);
  }
  return out;
}

// Draws the outcome of one request at a server and counts it.
using outcome = std::function<void(server_outcomes&, std::mt19937&)>;

outcome fail_randomly(double share, std::int64_t server_outcomes::*counter) {
  return [share, counter](server_outcomes& counts, std::mt19937& random) {
    const bool bad =
        std::uniform_real_distribution<double>(0, 1)(random) < share;
    ++(bad ? counts.*counter : counts.good);
  };
}

struct detections {
  std::vector<std::string> servers;
  std::vector<time_point> at;
};

// Simulates 28 requests per second at each server, with four reports per
// second.
detections simulate(const std::vector<outcome>& servers, duration span,
                    std::uint32_t seed) {
  std::mt19937 random(seed);
  outlier_detector detector({});
  const auto listed = make_servers(static_cast<int>(servers.size()));
  detections out;
  std::map<std::string, time_point> ejected_until;
  constexpr int requests_per_report = 7;
  for (time_point now = start; now < start + span; now += milliseconds(250)) {
    outcome_report report;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      const std::string id = listed[i].id;
      if (now < ejected_until[id]) {
        continue;
      }
      server_outcomes counts;
      counts.server = id;
      for (int sent = 0; sent < requests_per_report; ++sent) {
        servers[i](counts, random);
      }
      report.servers.push_back(counts);
    }
    detector.record(report, now);
    for (const outlier_notice& each : detector.find_outliers(listed, now)) {
      ejected_until[each.server] = now + milliseconds(each.span_ms);
      out.servers.push_back(each.server);
      out.at.push_back(now);
    }
  }
  return out;
}

}  // namespace

// Load: one of three servers fails 40 % or all of its requests, loses half of
// them or refuses all of them, while it passes its health check. It must be
// found within two seconds, or within one if it serves nothing.
BOOST_AUTO_TEST_CASE(a_failing_server_is_found_within_two_seconds) {
  const outcome good = fail_randomly(0.02, &server_outcomes::errors);
  struct row {
    outcome bad;
    duration limit;
  };
  const row rows[] = {
      {fail_randomly(0.4, &server_outcomes::errors), seconds(2)},
      {fail_randomly(1, &server_outcomes::errors), seconds(1)},
      {fail_randomly(0.5, &server_outcomes::lost), seconds(2)},
      {fail_randomly(1, &server_outcomes::refused), seconds(1)},
  };
  for (const auto& [each, limit] : rows) {
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
      const detections result = simulate({good, each, good}, seconds(6), seed);
      BOOST_TEST_CONTEXT("seed " << seed) {
        BOOST_REQUIRE(!result.servers.empty());
        BOOST_TEST((result.at[0] - start <= limit));
        for (const std::string& server : result.servers) {
          BOOST_TEST(server == "s1");
        }
        BOOST_TEST(result.servers.size() <= 3U);  // each span is twice the last
      }
    }
  }
}

// Load: requests that fail at any server, and servers that all fail alike.
BOOST_AUTO_TEST_CASE(no_server_is_an_outlier_if_all_fail_alike) {
  const outcome rows[] = {
      fail_randomly(0.15, &server_outcomes::errors),
      fail_randomly(0.15, &server_outcomes::refused),
      fail_randomly(0.6, &server_outcomes::errors),
      fail_randomly(0.9, &server_outcomes::lost),
  };
  for (const outcome& each : rows) {
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
      const detections result = simulate({each, each, each}, seconds(6), seed);
      BOOST_TEST_CONTEXT("seed " << seed) {
        BOOST_TEST(result.servers.empty());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(more_than_half_of_the_servers_stay_in_use) {
  const outcome good = fail_randomly(0, &server_outcomes::errors);
  const outcome bad = fail_randomly(1, &server_outcomes::errors);
  outlier_detector detector({});
  const auto listed = make_servers(5);
  std::mt19937 random(1);
  outcome_report report;
  for (int i = 0; i < 5; ++i) {
    server_outcomes counts;
    counts.server = listed[static_cast<std::size_t>(i)].id;
    for (int sent = 0; sent < 20; ++sent) {
      (i < 1 ? bad : good)(counts, random);
    }
    report.servers.push_back(counts);
  }
  detector.record(report, start);
  BOOST_TEST(detector.find_outliers(listed, start).size() == 1U);
  // A second server may be ejected, but not a third.
  for (int i = 1; i < 4; ++i) {
    outcome_report next;
    server_outcomes counts;
    counts.server = listed[static_cast<std::size_t>(i)].id;
    counts.errors = 500;
    next.servers.push_back(counts);
    detector.record(next, start);
  }
  BOOST_TEST(detector.find_outliers(listed, start).size() <= 1U);
  BOOST_TEST(simulate({bad, good}, seconds(6), 1).servers.empty());
}

BOOST_AUTO_TEST_CASE(a_recovered_outlier_starts_with_the_initial_span) {
  outlier_detector detector({});
  const auto listed = make_servers(3);
  const auto detect_failing_server = [&](time_point now) {
    outcome_report report;
    report.servers = {{"s0", 20, 0, 0, 0}, {"s1", 0, 20, 0, 0}};
    detector.record(report, now);
    const auto notices = detector.find_outliers(listed, now);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].server == "s1");
    BOOST_TEST(notices[0].reason == "errors");
    return notices[0].span_ms;
  };
  const std::int64_t first = detect_failing_server(start);
  BOOST_TEST(detect_failing_server(start + seconds(2)) == 2 * first);
  BOOST_TEST(detect_failing_server(start + seconds(30)) == first);
}

}  // namespace citronwharf
