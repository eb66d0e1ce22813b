// Allowances in real processes with three entries. One organisation sends more
// than its rate while one entry is frozen and another is killed. Guards against
// an organisation being served more tokens than its rate and burst allow, and
// against another organisation being refused or starved because of it.
#include <fmt/format.h>
#include <csignal>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>
#include <vector>

#include "deployment.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

using steady = std::chrono::steady_clock;

constexpr double tokens_per_second = 200;
constexpr double burst_tokens = 400;
constexpr int call_tokens = 10;
constexpr int over_rate_callers = 12;
constexpr int ok_status = 200;
constexpr int too_many_requests = 429;

// Times of a served call, by the clock of the test.
struct served_call {
  steady::time_point sent;
  steady::time_point answered;
};

struct call_results {
  std::mutex lock;
  std::vector<served_call> served;
  int refused = 0;
  int other = 0;
};

http_request make_lookup(const std::string& key) {
  http_request request;
  request.method = "GET";
  request.target = "/v1/routes/sheet-lookups/sheet";
  request.headers = {{"Authorization", "Bearer " + key}};
  return request;
}

void call_once(const deployment& system, const std::string& vm,
               const std::string& key, call_results& results) {
  const auto sent = steady::now();
  const auto answer = system.call(vm, make_lookup(key));
  const std::lock_guard<std::mutex> guard(results.lock);
  if (answer.ok() && answer->status == ok_status) {
    results.served.push_back({sent, steady::now()});
  } else if (answer.ok() && answer->status == too_many_requests) {
    ++results.refused;
  } else {
    ++results.other;
  }
}

// Checks the rate over every interval between a sent and an answered call. All
// calls that were sent and answered within an interval were charged in it.
void check_rate(const std::vector<served_call>& served) {
  for (const served_call& from : served) {
    std::vector<steady::time_point> ends;
    ends.reserve(served.size());
    for (const served_call& each : served) {
      if (each.sent >= from.sent) ends.push_back(each.answered);
    }
    std::sort(ends.begin(), ends.end());
    for (std::size_t i = 0; i < ends.size(); ++i) {
      const std::chrono::duration<double> span = ends[i] - from.sent;
      const double charged = call_tokens * double(i + 1);
      BOOST_REQUIRE_LE(charged,
                       tokens_per_second * span.count() + burst_tokens + 1);
    }
  }
}

nlohmann::json make_limited_configuration(const deployment& system) {
  nlohmann::json document = system.configuration();
  const nlohmann::json limit = {{"tokens_per_second", tokens_per_second},
                                {"burst_tokens", burst_tokens}};
  document["organisations"] = {
      {{"name", "brokers"}, {"weight", 1.0}, {"limit", limit}},
      {{"name", "importers"}, {"weight", 1.0}, {"limit", limit}}};
  for (nlohmann::json& route : document["routes"]) {
    if (route["name"] != "sheet-lookups") continue;
    route["plain_cost_tokens"] = call_tokens;
    route["deadline_ms"] = 2000;
  }
  return document;
}

}  // namespace

BOOST_AUTO_TEST_CASE(rate_holds_when_entries_freeze_and_die) {
  deployment system;
  system.start_vm("vm-1", "izmir-a");
  system.start_vm("vm-2", "izmir-b");
  system.start_vm("vm-3", "izmir-c");
  system.start_endpoints();
  system.apply(make_limited_configuration(system));
  const std::string key = system.create_key("k1", "importers");
  const std::string within_rate_key = system.create_key("k2", "brokers");
  BOOST_REQUIRE(system.wait_until_ready(key));
  BOOST_REQUIRE(system.wait_until_ready(within_rate_key));

  std::atomic<bool> stop{false};
  call_results over_rate;
  call_results within_rate_calls;
  std::vector<std::thread> threads;
  threads.reserve(over_rate_callers + 1);
  for (int number = 0; number < over_rate_callers; ++number) {
    threads.emplace_back([&, number] {
      const std::string vm = fmt::format("vm-{}", number % 3 + 1);
      while (!stop) {
        call_once(system, vm, key, over_rate);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
  }
  threads.emplace_back([&] {
    while (!stop) {
      call_once(system, "vm-1", within_rate_key, within_rate_calls);
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  });
  const auto served_count = [&over_rate] {
    const std::lock_guard<std::mutex> guard(over_rate.lock);
    return over_rate.served.size();
  };
  const auto wait_until_served = [&](std::size_t target_count) {
    return wait_until([&] { return served_count() >= target_count; });
  };
  BOOST_TEST(wait_until_served(60));
  BOOST_TEST(within_rate_calls.refused == 0);
  system.process("vm-2").send_signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  system.process("vm-2").send_signal(SIGCONT);
  BOOST_TEST(wait_until_served(served_count() + 60));
  system.process("vm-3").kill();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  system.restart("vm-3");
  BOOST_TEST(wait_until_served(served_count() + 60));
  stop = true;
  for (std::thread& each : threads) each.join();

  check_rate(over_rate.served);
  check_rate(within_rate_calls.served);
  BOOST_TEST_MESSAGE(
      "over the rate: served "
      << over_rate.served.size() << " refused " << over_rate.refused
      << " other " << over_rate.other << "; within the rate: served "
      << within_rate_calls.served.size() << " refused "
      << within_rate_calls.refused << " other " << within_rate_calls.other);
  BOOST_TEST(over_rate.refused > 0);
  BOOST_TEST(!within_rate_calls.served.empty());
}
