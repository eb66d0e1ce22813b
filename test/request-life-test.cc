// The promises of a pools request's life under every fault at every frame.
#include "entry/pools_state_machine.h"

#include <boost/test/unit_test.hpp>

#include "fake/tokens.h"
#include "request_simulation.h"

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
    if (in.relayed[index] !=
        fake::fake_token(request_simulation::prompt, number)) {
      out += "a token was lost, doubled or crossed; ";
      break;
    }
  }
  const auto whole = static_cast<std::size_t>(request_simulation::max_tokens);
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

// Returns whether every cancel of a run surely arrived at once.
bool lossless(const std::vector<fault>& faults) {
  return std::all_of(faults.begin(), faults.end(), [](const fault& one) {
    return one.kind == fault_kind::refuse || one.kind == fault_kind::fail ||
           one.kind == fault_kind::leave || one.kind == fault_kind::withdraw ||
           one.kind == fault_kind::crossed ||
           one.kind == fault_kind::wrong_count;
  });
}

void check(const std::vector<fault>& faults, bool idempotent,
           std::uint64_t seed) {
  const run_report report =
      request_simulation(faults, idempotent, seed).run_pools();
  std::string broken = broken_promises(report, idempotent);
  if (lossless(faults) && report.held_after_end > 0) {
    broken += "memory was not freed at the end; ";
  }
  BOOST_TEST(broken.empty(), describe(faults)
                                 << " idempotent " << idempotent << " seed "
                                 << seed << ": " << broken << report.trace);
}

std::vector<fault> single_faults(const std::vector<int>& places) {
  std::vector<fault> all;
  for (const std::string& frame : frames) {
    for (const fault_kind kind : all_faults) {
      for (const int nth : places) {
        all.push_back({frame, nth, kind});
      }
    }
  }
  return all;
}

}  // namespace

BOOST_AUTO_TEST_CASE(without_faults_it_is_done_with_one_prefill) {
  const run_report report = request_simulation({}, true, 1).run_pools();
  BOOST_TEST(!report.why.has_value());
  BOOST_TEST(broken_promises(report, true) == "");
  BOOST_TEST(report.prefills_run == 1);
  BOOST_TEST(report.total == request_simulation::max_tokens);
}

BOOST_AUTO_TEST_CASE(every_fault_at_every_frame) {
  for (const fault& one : single_faults({0, 1, 5, 11})) {
    check({one}, true, 1);
    check({one}, false, 1);
  }
}

BOOST_AUTO_TEST_CASE(every_two_faults) {
  const std::vector<fault> singles = single_faults({0, 1});
  std::uint64_t run = 0;
  for (const fault& one : singles) {
    for (const fault& two : singles) {
      ++run;
      check({one, two}, run % 2 == 0, run);
    }
  }
}

BOOST_AUTO_TEST_CASE(random_faults_together) {
  const std::vector<fault> singles = single_faults({0, 1, 5, 11});
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
    const run_report report = request_simulation({one}, true, 3).run_pools();
    BOOST_TEST(!report.why.has_value(),
               describe({one})
                   << report.trace << (report.why ? report.why->reason : ""));
  }
}

// Where it can't be survived the outcome says what is known.
BOOST_AUTO_TEST_CASE(outcomes_of_other_faults) {
  struct row {
    std::vector<fault> faults;
    bool idempotent;
    request_outcome outcome;
    const char* reason;
  };
  const auto not_run = request_outcome::not_run;
  const auto unknown = request_outcome::unknown;
  const std::vector<row> table{
      {{{"reserve", 0, fault_kind::withdraw}}, true, not_run, "key-withdrawn"},
      {{{"reserve", 0, fault_kind::leave}}, true, not_run, "caller-left"},
      {{{"prefill", 0, fault_kind::leave}}, true, unknown, "caller-left"},
      {{{"tokens", 3, fault_kind::leave}}, true, unknown, "caller-left"},
      {{{"prefill_reply", 0, fault_kind::cut},
        {"prefill", 1, fault_kind::refuse},
        {"reserve", 1, fault_kind::leave}},
       true,
       unknown,
       "caller-left"},
      {{{"decode", 0, fault_kind::fail}}, false, unknown, "broken-off"},
      {{{"tokens", 5, fault_kind::restart}}, false, unknown, "broken-off"},
      {{{"decode_finished", 0, fault_kind::wrong_count}},
       true,
       unknown,
       "bad-stream"}};
  for (const row& in : table) {
    const run_report report =
        request_simulation(in.faults, in.idempotent, 3).run_pools();
    BOOST_REQUIRE(report.why.has_value());
    BOOST_TEST((report.why->outcome == in.outcome), describe(in.faults));
    BOOST_TEST(report.why->reason == in.reason, describe(in.faults));
  }
}

// A stream longer than the lease lives by the claims of each second.
BOOST_AUTO_TEST_CASE(long_streams_are_claimed) {
  request_simulation simulation({}, true, 1);
  simulation.set_token_time(milliseconds(800));
  const run_report report = simulation.run_pools();
  BOOST_TEST(broken_promises(report, true) == "");
  BOOST_TEST(!report.why.has_value());
  BOOST_TEST(report.generations == 1);
}

BOOST_AUTO_TEST_CASE(an_engine_that_stands_still_ends_at_the_deadline) {
  request_simulation simulation({}, true, 1);
  simulation.set_token_time(seconds(600));
  const run_report report = simulation.run_pools();
  BOOST_REQUIRE(report.why.has_value());
  BOOST_TEST(report.why->reason == "deadline");
  BOOST_TEST((report.why->outcome == request_outcome::unknown));
  BOOST_TEST((report.ended_at == time_point(seconds(1000 + 30))));
}
