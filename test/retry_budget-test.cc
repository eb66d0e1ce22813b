// Tests the retry budget over a whole fleet, as seen by the servers of a
// service.
#include "gateway/retry_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "base/clock.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr duration window = seconds(10);
constexpr duration step = milliseconds(50);
const time_point fleet_start{seconds(1000)};

struct service_arrivals {
  std::vector<time_point> requests;
  std::vector<time_point> retries;
};

double count_between(const std::vector<time_point>& times, time_point from,
                     time_point to) {
  return static_cast<double>(
      std::lower_bound(times.begin(), times.end(), to) -
      std::lower_bound(times.begin(), times.end(), from));
}

// Returns the highest retry count of any window as a share of the bound, which
// allows for the requests of that window, of the one before it, or of the one
// that starts half a window earlier, whichever are most.
double max_bound_share(const service_arrivals& recorded,
                       const retry_budget_options& options) {
  double max_share = 0;
  for (const time_point from : recorded.retries) {
    const double requests =
        std::max({count_between(recorded.requests, from, from + window),
                  count_between(recorded.requests, from - window, from),
                  count_between(recorded.requests, from - window / 2,
                                from + window / 2)});
    const double allowed = options.ratio * requests + options.slack;
    max_share = std::max(
        max_share,
        count_between(recorded.retries, from, from + window) / allowed);
  }
  return max_share;
}

// Simulates gateways that take every retry they can, under bursts and outages,
// while processes are killed together or one by one and restart at once.
class simulated_fleet {
 public:
  simulated_fleet(std::uint64_t seed, retry_budget_options options)
      : options_(options),
        random_(seed),
        processes_(draw(3, 40)),
        rate_(static_cast<double>(draw(1, 400)) / 10) {
    for (std::size_t each = 0; each < processes_; ++each) {
      budgets_.push_back(make_budget());
      restarted_at_.emplace_back();
    }
  }

  const service_arrivals& run() {
    const time_point end = fleet_start + seconds(50);
    time_point burst_until{};
    time_point outage_until{};
    for (now_ = fleet_start; now_ < end; now_ += step) {
      if (chance(0.006)) {
        burst_until = now_ + seconds(draw(1, 12));
      }
      if (chance(0.02)) {
        outage_until = now_ + seconds(draw(1, 8));
      }
      if (chance(0.004)) {
        restart(1.0);
      } else if (chance(0.01)) {
        restart(0.1);
      }
      const double burst = now_ < burst_until ? 6 : 1;
      const double failure_rate = now_ < outage_until ? 0.9 : 0.05;
      for (std::size_t each = 0; each < processes_; ++each) {
        serve(each, rate_ * burst * to_seconds(step), failure_rate);
      }
    }
    return arrivals_;
  }

 private:
  std::size_t draw(std::size_t from, std::size_t to) {
    return std::uniform_int_distribution<std::size_t>(from, to)(random_);
  }
  bool chance(double share) {
    return std::bernoulli_distribution(share)(random_);
  }
  retry_budget make_budget() {
    const double rounding =
        std::uniform_real_distribution<double>(0, 1)(random_);
    return retry_budget(options_, now_, rounding);
  }

  // A process restarts at most once per window; a process that keeps crashing
  // is a different fault.
  void restart(double share) {
    for (std::size_t each = 0; each < processes_; ++each) {
      if (chance(share) && now_ - restarted_at_[each] > window) {
        restarted_at_[each] = now_;
        budgets_[each] = make_budget();
      }
    }
  }

  void serve(std::size_t process, double mean, double failure_rate) {
    const int requests = std::poisson_distribution<int>(mean)(random_);
    for (int each = 0; each < requests; ++each) {
      budgets_[process].request("models", now_, now_);
      arrivals_.requests.push_back(now_);
      for (int retry = 0; retry < 3 && chance(failure_rate); ++retry) {
        if (budgets_[process].take("models", processes_, now_)) {
          arrivals_.retries.push_back(now_);
        }
      }
    }
  }

  retry_budget_options options_;
  std::mt19937_64 random_;
  time_point now_ = fleet_start - seconds(14);
  std::size_t processes_;
  std::vector<retry_budget> budgets_;
  std::vector<time_point> restarted_at_;
  double rate_;  // requests per second per process
  service_arrivals arrivals_;
};

}  // namespace

BOOST_AUTO_TEST_CASE(retries_of_restarting_processes_stay_within_the_bound) {
  retry_budget_options options;
  options.slack = 96;
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= 80; ++seed) {
    simulated_fleet simulation(seed, options);
    const double share = max_bound_share(simulation.run(), options);
    if (share > 1) {
      ++violations;
      BOOST_TEST_MESSAGE("seed " << seed << " reaches " << share);
    }
  }
  BOOST_TEST(violations == 0);
}

BOOST_AUTO_TEST_CASE(an_undisturbed_fleet_can_use_most_of_the_bound) {
  retry_budget_options options;
  options.slack = 96;
  constexpr std::size_t processes = 28;
  std::vector<retry_budget> budgets;
  for (std::size_t each = 0; each < processes; ++each) {
    budgets.emplace_back(options, fleet_start,
                         static_cast<double>(each) / processes);
  }
  service_arrivals recorded;
  for (time_point now = fleet_start; now < fleet_start + seconds(40);
       now += milliseconds(125)) {
    for (retry_budget& each : budgets) {
      each.request("desk", now, now);
      recorded.requests.push_back(now);
      if (each.take("desk", processes, now)) {
        recorded.retries.push_back(now);
      }
    }
  }
  const double share = max_bound_share(recorded, options);
  BOOST_TEST(share <= 1);
  BOOST_TEST(share >= 0.7);
}
