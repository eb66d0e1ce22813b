// Allowances in real processes: three entries, one frozen and one killed,
// while one organisation floods.
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

constexpr double rate = 200;
constexpr double burst = 400;
constexpr int cost = 10;
constexpr int flooders = 12;
constexpr int ok_status = 200;
constexpr int too_many_requests = 429;

// A call that was served, by the clock of the test.
struct served_call {
  steady::time_point sent;
  steady::time_point answered;
};

struct tally {
  std::mutex lock;
  std::vector<served_call> served;
  int refused = 0;
  int other = 0;
};

http_request lookup(const std::string& key) {
  http_request request;
  request.method = "GET";
  request.target = "/v1/routes/sheet-lookups/sheet";
  request.headers = {{"Authorization", "Bearer " + key}};
  return request;
}

void call_once(const deployment& system, const std::string& vm,
               const std::string& key, tally& into) {
  const auto sent = steady::now();
  const auto answer = system.call(vm, lookup(key));
  const std::lock_guard<std::mutex> guard(into.lock);
  if (answer.ok() && answer->status == ok_status) {
    into.served.push_back({sent, steady::now()});
  } else if (answer.ok() && answer->status == too_many_requests) {
    ++into.refused;
  } else {
    ++into.other;
  }
}

// Every call that was sent and answered within an interval was charged in it.
void check_bound(const std::vector<served_call>& served) {
  for (const served_call& from : served) {
    std::vector<steady::time_point> ends;
    ends.reserve(served.size());
    for (const served_call& each : served) {
      if (each.sent >= from.sent) ends.push_back(each.answered);
    }
    std::sort(ends.begin(), ends.end());
    for (std::size_t i = 0; i < ends.size(); ++i) {
      const std::chrono::duration<double> span = ends[i] - from.sent;
      const double given = cost * double(i + 1);
      BOOST_REQUIRE_LE(given, rate * span.count() + burst + 1);
    }
  }
}

nlohmann::json limited(const deployment& system) {
  nlohmann::json document = system.configuration();
  const nlohmann::json limit = {{"tokens_per_second", rate},
                                {"burst_tokens", burst}};
  document["organisations"] = {
      {{"name", "brokers"}, {"weight", 1.0}, {"limit", limit}},
      {{"name", "importers"}, {"weight", 1.0}, {"limit", limit}}};
  for (nlohmann::json& route : document["routes"]) {
    if (route["name"] != "sheet-lookups") continue;
    route["plain_cost_tokens"] = cost;
    route["deadline_ms"] = 2000;
  }
  return document;
}

}  // namespace

BOOST_AUTO_TEST_CASE(one_frozen_one_killed_and_a_flood) {
  deployment system;
  system.start_vm("vm-1", "izmir-a");
  system.start_vm("vm-2", "izmir-b");
  system.start_vm("vm-3", "izmir-c");
  system.start_endpoints();
  system.apply(limited(system));
  const std::string key = system.create_key("k1", "importers");
  const std::string quiet_key = system.create_key("k2", "brokers");
  BOOST_REQUIRE(system.wait_served(key));
  BOOST_REQUIRE(system.wait_served(quiet_key));

  std::atomic<bool> stop{false};
  tally flood;
  tally quiet;
  std::vector<std::thread> threads;
  threads.reserve(flooders + 1);
  for (int number = 0; number < flooders; ++number) {
    threads.emplace_back([&, number] {
      const std::string vm = fmt::format("vm-{}", number % 3 + 1);
      while (!stop) {
        call_once(system, vm, key, flood);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
  }
  threads.emplace_back([&] {
    while (!stop) {
      call_once(system, "vm-1", quiet_key, quiet);
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  });
  const auto served = [&flood] {
    const std::lock_guard<std::mutex> guard(flood.lock);
    return flood.served.size();
  };
  const auto more = [&](std::size_t than) {
    return wait_until([&] { return served() >= than; });
  };
  BOOST_TEST(more(60));
  BOOST_TEST(quiet.refused == 0);
  system.process("vm-2").send_signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  system.process("vm-2").send_signal(SIGCONT);
  BOOST_TEST(more(served() + 60));
  system.process("vm-3").kill();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  system.restart("vm-3");
  BOOST_TEST(more(served() + 60));
  stop = true;
  for (std::thread& each : threads) each.join();

  check_bound(flood.served);
  check_bound(quiet.served);
  BOOST_TEST_MESSAGE("flood served "
                     << flood.served.size() << " refused " << flood.refused
                     << " other " << flood.other << "; quiet served "
                     << quiet.served.size() << " refused " << quiet.refused
                     << " other " << quiet.other);
  BOOST_TEST(flood.refused > 0);
  BOOST_TEST(!quiet.served.empty());
}
