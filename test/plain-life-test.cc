// Checks the guarantees of plain_state_machine under injected faults.
#include "entry/plain_state_machine.h"

#include <boost/test/unit_test.hpp>

#include "entry/retry_budget.h"
#include "request_simulation.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

std::string violated_guarantees(const run_report& in, bool idempotent) {
  std::string out;
  if (in.finishes != 1 || in.answered_after_finish) {
    out += "not exactly one final answer; ";
  }
  if (in.answer.has_value() == in.failure.has_value()) {
    out += "not exactly one of an answer and a problem; ";
  }
  if (in.answer && in.answer->body != "posted") {
    out += "wrong answer; ";
  }
  const bool not_run =
      in.failure && in.failure->outcome == request_outcome::not_run;
  if (not_run && in.generations > 0) {
    out += "reported not-run although the call ran; ";
  }
  if (!idempotent && in.generations > 1) {
    out += "non-idempotent call ran more than once; ";
  }
  if (in.sent_after_withdrawal > 0) {
    out += "a call was sent for a withdrawn key; ";
  }
  return out;
}

void check(const std::vector<fault>& faults, bool idempotent,
           std::uint64_t seed) {
  const run_report report =
      request_simulation(faults, idempotent, seed).run_plain();
  const std::string violations = violated_guarantees(report, idempotent);
  BOOST_TEST(violations.empty(),
             describe(faults) << " idempotent " << idempotent << " seed "
                              << seed << ": " << violations << report.trace);
}

}  // namespace

BOOST_AUTO_TEST_CASE(single_faults_and_fault_pairs) {
  std::vector<fault> singles;
  for (const char* frame : {"plain", "plain_reply", "cancel"}) {
    for (const fault_kind kind : all_faults) {
      for (const int nth : {0, 1}) {
        singles.push_back({frame, nth, kind});
      }
    }
  }
  for (const fault& one : singles) {
    check({one}, true, 1);
    check({one}, false, 1);
  }
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    check({singles[random() % singles.size()],
           singles[random() % singles.size()]},
          seed % 2 == 0, seed);
  }
}

// Expected outcome of each fault for calls that are not idempotent.
BOOST_AUTO_TEST_CASE(outcomes_of_non_idempotent_calls) {
  struct row {
    fault one;
    const char* outcome;
    int runs;
  };
  const std::vector<row> table{
      {{"plain", 9, fault_kind::drop}, "done", 1},
      {{"plain", 0, fault_kind::refuse}, "done", 1},
      {{"plain", 0, fault_kind::drop}, "unknown", 0},
      {{"plain", 0, fault_kind::session_loss}, "unknown", 0},
      {{"plain", 0, fault_kind::restart}, "unknown", 0},
      {{"plain", 0, fault_kind::fail}, "unknown", 1},
      {{"plain", 0, fault_kind::deliver_twice}, "done", 1},
      {{"plain_reply", 0, fault_kind::session_loss}, "unknown", 1},
      {{"plain_reply", 0, fault_kind::wrong_attempt}, "done", 1},
      {{"plain_reply", 0, fault_kind::deliver_twice}, "done", 1}};
  for (const row& in : table) {
    const run_report report =
        request_simulation({in.one}, false, 1).run_plain();
    const char* got =
        report.failure ? to_string(report.failure->outcome) : "done";
    BOOST_TEST(std::string(got) == in.outcome, describe({in.one}) << got);
    BOOST_TEST(report.generations == in.runs, describe({in.one}));
  }
}

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_share_of_requests) {
  retry_budget budget({0.2, 2});
  int taken = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.record_request();
    taken += budget.try_spend() ? 1 : 0;
  }
  BOOST_TEST(taken <= 202);
  BOOST_TEST(taken >= 199);
}
