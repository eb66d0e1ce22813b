// Measures the ways of sharing under load against each other, in one run.
// Example: bench_policy --seeds=101,102,103 --plot=docs/policy.svg
#include <gflags/gflags.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "policy_allowance.h"
#include "policy_report.h"
#include "policy_run.h"

DEFINE_string(seeds, "1,2,3",
              "seeds: 1 to 99 are for tuning, those from 101 are held back");
DEFINE_string(only, "", "run only the policies whose name contains this");
DEFINE_string(deployment, "", "birligi or ratumaibulu, both when empty");
DEFINE_double(seconds, 40, "length of each run in virtual time");
DEFINE_bool(allowances, true, "compare the ways of holding an allowance");
DEFINE_bool(policies, true, "compare placement, promises and queues");
DEFINE_string(plot, "", "write the plot of the first deployment here");

namespace citronwharf::bench {
namespace {

std::vector<variant> variants() {
  using place = placement_policy;
  using promise = reservation_policy;
  return {
      {"chosen", place::predicted_wait, promise::predicted_free, true, false},
      {"oracle", place::predicted_wait, promise::predicted_free, true, true},
      {"round robin", place::round_robin, promise::predicted_free, true, false},
      {"least load", place::least_load, promise::predicted_free, true, false},
      {"two choices", place::two_choices, promise::predicted_free, true, false},
      {"no promise", place::predicted_wait, promise::none, true, false},
      {"free now", place::predicted_wait, promise::free_now, true, false},
      {"fifo", place::predicted_wait, promise::predicted_free, false, false},
  };
}

std::vector<scenario> scenarios(const deployment& size) {
  std::vector<scenario> all;
  const auto add = [&](double load, bool flood, bool faults) {
    scenario made;
    made.size = size;
    made.load = load;
    made.flood = flood;
    made.faults = faults;
    made.length = from_seconds(FLAGS_seconds);
    all.push_back(made);
  };
  for (const double load : {0.5, 0.8, 1.0, 1.5, 3.0}) add(load, false, false);
  add(1.5, true, false);
  add(1.5, false, true);
  return all;
}

std::vector<deployment> deployments() {
  std::vector<deployment> all;
  if (FLAGS_deployment != "ratumaibulu") {
    all.push_back({"birligi", 6, 14, 3, microseconds(500)});
  }
  if (FLAGS_deployment != "birligi") {
    all.push_back({"ratumaibulu", 3, 7, 3, microseconds(1500)});
  }
  return all;
}

std::vector<std::uint64_t> seeds() {
  std::vector<std::uint64_t> all;
  for (const auto part : absl::StrSplit(FLAGS_seeds, ',')) {
    std::uint64_t seed = 0;
    if (absl::SimpleAtoi(part, &seed)) all.push_back(seed);
  }
  return all;
}

// An organisation within its rate, over three entries.
void print_allowances() {
  fmt::print(
      "\n| requests at the first entry | equal split refused % | one "
      "home refused % |\n|---|---|---|\n");
  for (const double skew : {0.33, 0.5, 0.8}) {
    allowance_result sum;
    for (const std::uint64_t seed : seeds()) {
      const auto run = compare_allowances(seed, skew, seconds(600));
      sum.offered += run.offered;
      sum.split_refused += run.split_refused;
      sum.home_refused += run.home_refused;
    }
    fmt::print("| {:.0f} % | {:.2f} | {:.2f} |\n", skew * 100,
               100.0 * sum.split_refused / sum.offered,
               100.0 * sum.home_refused / sum.offered);
  }
}

void sweep() {
  std::vector<report_line> lines;
  const std::vector<deployment> sizes = deployments();
  for (const deployment& size : sizes) {
    fmt::print("# {} capacity {:.1f} requests/s\n", size.name, capacity(size));
    for (const variant& way : variants()) {
      if (way.name.find(FLAGS_only) == std::string::npos) continue;
      for (scenario what : scenarios(size)) {
        std::vector<result> runs;
        for (const std::uint64_t seed : seeds()) {
          what.seed = seed;
          runs.push_back(policy_run(way, what).run());
        }
        lines.push_back(summarise(way, what, runs));
        print_json(lines.back());
      }
    }
  }
  print_table(lines);
  if (!FLAGS_plot.empty()) write_plot(FLAGS_plot, sizes.front().name, lines);
}

}  // namespace
}  // namespace citronwharf::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_allowances) citronwharf::bench::print_allowances();
  if (FLAGS_policies) citronwharf::bench::sweep();
  return 0;
}
