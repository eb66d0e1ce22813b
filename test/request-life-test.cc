// Checks the guarantees of pools_state_machine under injected faults: each
// single fault, each pair and random combinations.
#include "entry/pools_state_machine.h"

#include <boost/test/unit_test.hpp>

#include "fake/tokens.h"
#include "request_simulation.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

const std::vector<std::string> frame_types{
    "reserve", "reserve_reply",   "prefill", "prefill_reply", "decode",
    "tokens",  "decode_finished", "cancel",  "resume"};

// Returns the guarantees that a run violated; empty if none.
std::string violated_guarantees(const run_report& in, bool idempotent) {
  std::string out;
  if (in.finishes != 1 || in.answered_after_finish) {
    out += "not exactly one final answer; ";
  }
  for (std::size_t index = 0; index < in.relayed_tokens.size(); ++index) {
    const auto number = static_cast<std::int32_t>(index);
    if (in.relayed_tokens[index] !=
        fake::fake_token(request_simulation::prompt, number)) {
      out +=
          "a token was lost, duplicated, out of order or from another "
          "attempt; ";
      break;
    }
  }
  const auto expected_count =
      static_cast<std::size_t>(request_simulation::max_tokens);
  if (!in.failure && in.relayed_tokens.size() != expected_count) {
    out += "succeeded without the complete answer; ";
  }
  const bool not_run =
      in.failure && in.failure->outcome == request_outcome::not_run;
  if (not_run && in.prefills_run + in.generations > 0) {
    out += "reported not-run although work ran; ";
  }
  if (!idempotent && in.generations > 1) {
    out += "non-idempotent request generated more than once; ";
  }
  if (in.sent_after_withdrawal > 0) {
    out += "a prefill was sent for a withdrawn key; ";
  }
  if (in.leaked > 0) {
    out += "resources still held after all leases expired; ";
  }
  if (in.expired_in_use > 0) {
    out += "the lease of work in use expired; ";
  }
  if (in.ended_at > time_point(seconds(1000 + 30))) {
    out += "ended after the deadline; ";
  }
  return out;
}

// Returns whether every cancel of a run is delivered without delay.
bool all_cancels_delivered(const std::vector<fault>& faults) {
  return std::all_of(faults.begin(), faults.end(), [](const fault& one) {
    return one.kind == fault_kind::refuse || one.kind == fault_kind::fail ||
           one.kind == fault_kind::caller_disconnect ||
           one.kind == fault_kind::withdraw_key ||
           one.kind == fault_kind::wrong_attempt ||
           one.kind == fault_kind::wrong_count;
  });
}

void check(const std::vector<fault>& faults, bool idempotent,
           std::uint64_t seed) {
  const run_report report =
      request_simulation(faults, idempotent, seed).run_pools();
  std::string violations = violated_guarantees(report, idempotent);
  if (all_cancels_delivered(faults) && report.held_after_end > 0) {
    violations += "resources not released at the end; ";
  }
  BOOST_TEST(violations.empty(),
             describe(faults) << " idempotent " << idempotent << " seed "
                              << seed << ": " << violations << report.trace);
}

std::vector<fault> single_faults(const std::vector<int>& frame_indexes) {
  std::vector<fault> all;
  for (const std::string& frame : frame_types) {
    for (const fault_kind kind : all_faults) {
      for (const int nth : frame_indexes) {
        all.push_back({frame, nth, kind});
      }
    }
  }
  return all;
}

}  // namespace

BOOST_AUTO_TEST_CASE(request_without_faults_runs_one_prefill) {
  const run_report report = request_simulation({}, true, 1).run_pools();
  BOOST_TEST(!report.failure.has_value());
  BOOST_TEST(violated_guarantees(report, true) == "");
  BOOST_TEST(report.prefills_run == 1);
  BOOST_TEST(report.total == request_simulation::max_tokens);
}

BOOST_AUTO_TEST_CASE(every_single_fault) {
  for (const fault& one : single_faults({0, 1, 5, 11})) {
    check({one}, true, 1);
    check({one}, false, 1);
  }
}

BOOST_AUTO_TEST_CASE(every_pair_of_faults) {
  const std::vector<fault> singles = single_faults({0, 1});
  std::uint64_t run = 0;
  for (const fault& one : singles) {
    for (const fault& two : singles) {
      ++run;
      check({one, two}, run % 2 == 0, run);
    }
  }
}

BOOST_AUTO_TEST_CASE(random_fault_combinations) {
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

// The caller must not notice a fault from which the request can recover.
BOOST_AUTO_TEST_CASE(recoverable_faults_are_hidden_from_the_caller) {
  const std::vector<fault> table{{"reserve", 0, fault_kind::drop},
                                 {"reserve", 0, fault_kind::refuse},
                                 {"reserve", 0, fault_kind::restart},
                                 {"reserve_reply", 0, fault_kind::drop},
                                 {"reserve_reply", 0, fault_kind::session_loss},
                                 {"prefill", 0, fault_kind::refuse},
                                 {"prefill", 0, fault_kind::fail},
                                 {"prefill", 0, fault_kind::restart},
                                 {"prefill_reply", 0, fault_kind::session_loss},
                                 {"decode", 0, fault_kind::refuse},
                                 {"decode", 0, fault_kind::fail},
                                 {"decode", 0, fault_kind::session_loss},
                                 {"tokens", 0, fault_kind::restart},
                                 {"tokens", 5, fault_kind::session_loss},
                                 {"tokens", 5, fault_kind::long_session_loss},
                                 {"tokens", 5, fault_kind::drop},
                                 {"tokens", 5, fault_kind::deliver_late},
                                 {"tokens", 5, fault_kind::deliver_twice},
                                 {"tokens", 5, fault_kind::wrong_attempt},
                                 {"tokens", 5, fault_kind::freeze},
                                 {"tokens", 5, fault_kind::withdraw_key},
                                 {"tokens", 11, fault_kind::restart},
                                 {"decode_finished", 0, fault_kind::drop},
                                 {"decode_finished", 0, fault_kind::restart}};
  for (const fault& one : table) {
    const run_report report = request_simulation({one}, true, 3).run_pools();
    BOOST_TEST(!report.failure.has_value(),
               describe({one})
                   << report.trace
                   << (report.failure ? report.failure->reason : ""));
  }
}

// If recovery is impossible, the outcome must state what is known.
BOOST_AUTO_TEST_CASE(outcomes_of_unrecoverable_faults) {
  struct row {
    std::vector<fault> faults;
    bool idempotent;
    request_outcome outcome;
    const char* reason;
  };
  const auto not_run = request_outcome::not_run;
  const auto unknown = request_outcome::unknown;
  const std::vector<row> table{
      {{{"reserve", 0, fault_kind::withdraw_key}},
       true,
       not_run,
       "key-withdrawn"},
      {{{"reserve", 0, fault_kind::caller_disconnect}},
       true,
       not_run,
       "caller-left"},
      {{{"prefill", 0, fault_kind::caller_disconnect}},
       true,
       unknown,
       "caller-left"},
      {{{"tokens", 3, fault_kind::caller_disconnect}},
       true,
       unknown,
       "caller-left"},
      {{{"prefill_reply", 0, fault_kind::session_loss},
        {"prefill", 1, fault_kind::refuse},
        {"reserve", 1, fault_kind::caller_disconnect}},
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
    BOOST_REQUIRE(report.failure.has_value());
    BOOST_TEST((report.failure->outcome == in.outcome), describe(in.faults));
    BOOST_TEST(report.failure->reason == in.reason, describe(in.faults));
  }
}

// Guards against lease expiry during a stream that lasts longer than the lease:
// the claims sent each second must renew it.
BOOST_AUTO_TEST_CASE(long_streams_renew_their_leases) {
  request_simulation simulation({}, true, 1);
  simulation.set_token_time(milliseconds(800));
  const run_report report = simulation.run_pools();
  BOOST_TEST(violated_guarantees(report, true) == "");
  BOOST_TEST(!report.failure.has_value());
  BOOST_TEST(report.generations == 1);
}

BOOST_AUTO_TEST_CASE(stalled_engine_ends_at_the_deadline) {
  request_simulation simulation({}, true, 1);
  simulation.set_token_time(seconds(600));
  const run_report report = simulation.run_pools();
  BOOST_REQUIRE(report.failure.has_value());
  BOOST_TEST(report.failure->reason == "deadline");
  BOOST_TEST((report.failure->outcome == request_outcome::unknown));
  BOOST_TEST((report.ended_at == time_point(seconds(1000 + 30))));
}
