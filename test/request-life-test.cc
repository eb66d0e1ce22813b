// The promises of a pools request's life under every fault at every frame.
#include "entry/request_life.h"

#include <boost/test/unit_test.hpp>

#include "fake/tokens.h"
#include "life_world.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

const std::vector<std::string> frames{
    "reserve", "reserve_reply",   "prefill", "prefill_reply", "decode",
    "tokens",  "decode_finished", "cancel",  "resume"};

// Returns what a run broke, "" when it kept every promise.
std::string broken_promises(const run_report& in, bool idempotent) {
  std::string out;
  if (in.finishes != 1 || in.after_finish) {
    out += "not exactly one final answer; ";
  }
  for (std::size_t index = 0; index < in.relayed.size(); ++index) {
    const auto number = static_cast<std::int32_t>(index);
    if (in.relayed[index] != fake::fake_token(life_world::prompt, number)) {
      out += "a token was lost, doubled or crossed; ";
      break;
    }
  }
  const auto whole = static_cast<std::size_t>(life_world::max_tokens);
  if (!in.why && in.relayed.size() != whole) {
    out += "done without the whole answer; ";
  }
  const bool not_run = in.why && in.why->outcome == request_outcome::not_run;
  if (not_run && in.prefills_run + in.generations > 0) {
    out += "said not-run though it ran; ";
  }
  if (!idempotent && in.generations > 1) {
    out += "generated twice; ";
  }
  if (in.sent_after_withdrawal > 0) {
    out += "a prefill was sent for a withdrawn key; ";
  }
  if (in.leaked > 0) {
    out += "memory stays held; ";
  }
  if (in.swept_in_use > 0) {
    out += "work in use was not claimed; ";
  }
  if (in.ended_at > time_point(seconds(1000 + 30))) {
    out += "no answer by the deadline; ";
  }
  return out;
}

void check(const std::vector<fault>& faults, bool idempotent,
           std::uint64_t seed) {
  const run_report report = life_world(faults, idempotent, seed).run_pools();
  const std::string broken = broken_promises(report, idempotent);
  BOOST_TEST(broken.empty(), describe(faults)
                                 << " idempotent " << idempotent << " seed "
                                 << seed << ": " << broken << report.trace);
}

std::vector<fault> single_faults() {
  std::vector<fault> all;
  for (const std::string& frame : frames) {
    for (const fault_kind kind : all_faults) {
      for (const int nth : {0, 1, 5, 11}) {
        all.push_back({frame, nth, kind});
      }
    }
  }
  return all;
}

}  // namespace

BOOST_AUTO_TEST_CASE(without_faults_it_is_done_with_one_prefill) {
  const run_report report = life_world({}, true, 1).run_pools();
  BOOST_TEST(!report.why.has_value());
  BOOST_TEST(broken_promises(report, true) == "");
  BOOST_TEST(report.prefills_run == 1);
  BOOST_TEST(report.total == life_world::max_tokens);
}

BOOST_AUTO_TEST_CASE(every_fault_at_every_frame) {
  for (const fault& one : single_faults()) {
    check({one}, true, 1);
    check({one}, false, 1);
  }
}

BOOST_AUTO_TEST_CASE(random_faults_together) {
  const std::vector<fault> singles = single_faults();
  constexpr std::uint64_t seeds = 4000;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<fault> faults;
    for (std::uint64_t left = 2 + random() % 4; left > 0; --left) {
      faults.push_back(singles[random() % singles.size()]);
    }
    check(faults, seed % 2 == 0, seed);
  }
}

// Where a fault can be survived the caller must not notice it.
BOOST_AUTO_TEST_CASE(survivable_faults_end_done) {
  const std::vector<fault> table{{"reserve", 0, fault_kind::drop},
                                 {"reserve", 0, fault_kind::refuse},
                                 {"reserve", 0, fault_kind::restart},
                                 {"reserve_reply", 0, fault_kind::drop},
                                 {"reserve_reply", 0, fault_kind::cut},
                                 {"prefill", 0, fault_kind::refuse},
                                 {"prefill", 0, fault_kind::fail},
                                 {"prefill", 0, fault_kind::restart},
                                 {"prefill_reply", 0, fault_kind::cut},
                                 {"decode", 0, fault_kind::refuse},
                                 {"decode", 0, fault_kind::fail},
                                 {"decode", 0, fault_kind::cut},
                                 {"tokens", 0, fault_kind::restart},
                                 {"tokens", 5, fault_kind::cut},
                                 {"tokens", 5, fault_kind::cut_long},
                                 {"tokens", 5, fault_kind::drop},
                                 {"tokens", 5, fault_kind::late},
                                 {"tokens", 5, fault_kind::twice},
                                 {"tokens", 5, fault_kind::crossed},
                                 {"tokens", 5, fault_kind::freeze},
                                 {"tokens", 5, fault_kind::withdraw},
                                 {"tokens", 11, fault_kind::restart},
                                 {"decode_finished", 0, fault_kind::drop},
                                 {"decode_finished", 0, fault_kind::restart}};
  for (const fault& one : table) {
    const run_report report = life_world({one}, true, 3).run_pools();
    BOOST_TEST(!report.why.has_value(),
               describe({one})
                   << report.trace << (report.why ? report.why->reason : ""));
  }
}
