// The replicated log under random faults. CITRONWHARF_LOG_SEED replays one
// seed; CITRONWHARF_LOG_SEEDS sets the number of seeds to run.
#include <fmt/format.h>
#include <glog/logging.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "log_cluster.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t vms = 5;
constexpr std::size_t first_members = 3;

// Operator actions and faults, drawn at random step by step.
class random_run {
 public:
  explicit random_run(std::uint64_t seed) : cluster(seed, vms) {
    cluster.faults.drop = percent(10);
    cluster.faults.duplicate = percent(10);
    cluster.faults.late = percent(5);
    cluster.start_group(first_members);
  }

  void run() {
    constexpr int rounds = 80;
    for (int round = 0; round < rounds; ++round) {
      act();
      repair();
      cluster.run_for(milliseconds(1 + draw(400)));
    }
    finish();
  }

  log_cluster cluster;

 private:
  std::uint64_t draw(std::uint64_t limit) { return cluster.random()() % limit; }
  double percent(std::uint64_t limit) {
    return static_cast<double>(draw(limit)) / 100;
  }

  void act() {
    const std::size_t i = draw(vms);
    switch (draw(18)) {
      case 0:
        cluster.crash(i);
        break;
      case 1:
        cluster.freeze(i, milliseconds(draw(4000)));
        break;
      case 2:
        cluster.cut(i, draw(vms), draw(2) == 0);
        break;
      case 3:
        cluster.isolate(i);
        break;
      case 4:
        lose_disk(i);
        break;
      case 5:
        change_members(i);
        break;
      case 6:
        cluster.fail_disk(i);
        break;
      case 7:
      case 8:
        cluster.snapshot(i);
        break;
      case 9:
      case 10:
        cluster.heal();
        break;
      case 11:
      case 12:
        cluster.crash(i);
        cluster.restart(i);
        break;
      default:
        propose();
    }
    cluster.restart(draw(vms));
  }

  void propose() {
    for (std::uint64_t n = draw(20); n > 0; --n) {
      // Proposes at any replica that considers itself the leader, even a stale
      // one.
      for (std::size_t i = 0; i < vms; ++i) {
        cluster.propose(i);
      }
    }
  }

  // A second disk is lost only after the first repair was reported complete,
  // but then at any time.
  void lose_disk(std::size_t i) {
    if (!joining_) {
      cluster.lose_disk(i);
      joining_ = i;
    }
  }

  void change_members(std::size_t i) {
    const auto by = cluster.leader();
    if (!by || joining_) {
      return;
    }
    replicated_log& log = *cluster.at(*by).log;
    const std::string id = cluster.at(i).id;
    if (log.members().size() > first_members) {
      log.remove_member(cluster.now(), id).IgnoreError();
    } else {
      joining_ = i;
      replaced_ = draw(2) == 0 ? cluster.at(draw(vms)).id : "";
    }
  }

  // A VM whose process is not a member may stay outside the group.
  void repair() {
    if (joining_ && cluster.join(*joining_, replaced_)) {
      joining_.reset();
      replaced_.clear();
    }
  }

  void finish() {
    cluster.heal();
    cluster.faults = {};
    for (std::size_t i = 0; i < vms; ++i) {
      if (cluster.at(i).log && !cluster.at(i).log->fault().empty()) {
        cluster.crash(i);
      }
      cluster.at(i).disk->fault = nullptr;
      cluster.restart(i);
    }
    cluster.run_for(seconds(4));
    if (!cluster.make_progress(seconds(20))) {
      throw invariant_violation("commits go on after healing");
    }
    cluster.check_convergence();
  }

  std::optional<std::size_t> joining_;
  std::string replaced_;  // id of the voter whose seat it takes, or ""
};

std::uint64_t number_from(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Reports the seed and step of a violated invariant.
std::uint64_t current_seed = 0;
const random_run* current_run = nullptr;
__attribute__((noreturn)) void on_broken_invariant() {
  fmt::print(stderr, "CITRONWHARF_LOG_SEED={} step {}\n", current_seed,
             current_run != nullptr ? current_run->cluster.steps() : 0);
  std::abort();
}

void run_seed(std::uint64_t seed) {
  std::optional<random_run> run;
  current_seed = seed;
  current_run = nullptr;
  try {
    run.emplace(seed);
    current_run = &*run;
    run->run();
    BOOST_TEST(run->cluster.acknowledged() > 0U);
  } catch (const invariant_violation& broken) {
    BOOST_ERROR(fmt::format("CITRONWHARF_LOG_SEED={} step {}: {}", seed,
                            run ? run->cluster.steps() : 0, broken.what()));
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(promises_hold_under_random_faults) {
  constexpr std::uint64_t default_seeds = 1000;
  google::InstallFailureFunction(on_broken_invariant);
  const std::uint64_t only = number_from("CITRONWHARF_LOG_SEED", 0);
  if (only != 0) {
    run_seed(only);
    return;
  }
  const auto seeds = number_from("CITRONWHARF_LOG_SEEDS", default_seeds);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    run_seed(seed);
  }
}
