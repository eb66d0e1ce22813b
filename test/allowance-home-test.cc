// Tests of the allowance ledger, the home's refusals, home assignment and
// leases.
#include "policy/allowance_home.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "policy/allowance_lease.h"
#include "policy/home_assignment.h"

using namespace citronwharf;

namespace {

const time_point start_time(seconds(1000));
const allowance limit{1000, 500};

configuration make_configuration(std::uint64_t version,
                                 const std::vector<std::string>& names) {
  configuration config;
  config.version = version;
  for (const std::string& each : names)
    config.entries.push_back({each, "", ""});
  return config;
}

// Returns an organisation whose home among a, b and c is `home`.
std::string organisation_with_home(const std::string& home) {
  home_assignment assignment(home, {});
  assignment.configure(make_configuration(1, {"a", "b", "c"}), start_time);
  for (int i = 0;; ++i) {
    std::string name = "o" + std::to_string(i);
    if (assignment.is_home_of(name)) return name;
  }
}

allowance_ask make_ask(double tokens, std::uint64_t id, duration deadline) {
  allowance_ask new_ask;
  new_ask.organisation = "o";
  new_ask.id = id;
  new_ask.needed = tokens;
  new_ask.wanted = tokens;
  new_ask.deadline_us = to_microseconds(deadline);
  return new_ask;
}

}  // namespace

// The bound holds although entries may spend a lease at any time up to its end.
BOOST_AUTO_TEST_CASE(bound_holds_when_leases_are_spent_late) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    const duration lease = milliseconds(200);
    allowance_ledger ledger(limit, lease, start_time);
    std::vector<std::pair<time_point, double>> token_uses;
    time_point now = start_time;
    for (std::uint64_t id = 1; id <= 200; ++id) {
      now += milliseconds(random() % 60);
      const double tokens = double(random() % 400);
      if (ledger.available(now) < tokens) continue;
      ledger.grant({"e", 1, id}, tokens, now);
      const duration wait =
          random() % 2 == 0 ? lease - duration(1) : duration(random() % 199000);
      token_uses.emplace_back(now + wait, tokens);
    }
    std::sort(token_uses.begin(), token_uses.end());
    double level = limit.burst_tokens;
    time_point at = start_time;
    for (const auto& [when, tokens] : token_uses) {
      level += limit.tokens_per_second * double((when - at).count()) / 1e6;
      level = std::min(level, limit.burst_tokens) - tokens;
      at = when;
      BOOST_REQUIRE_MESSAGE(level > -0.01, "seed " << seed << " " << level);
    }
  }
}

BOOST_AUTO_TEST_CASE(refunds_never_exceed_the_burst) {
  const time_point full = start_time + seconds(1);
  allowance_ledger ledger(limit, milliseconds(200), start_time);
  ledger.grant({"e", 1, 1}, 500, full);
  ledger.settle({"e", 1, 1}, 100, full);
  BOOST_TEST(ledger.available(full) == 100);
  ledger.refund({"e", 1, 1}, 1, 300, full);
  ledger.refund({"e", 1, 1}, 1, 300, full);
  BOOST_TEST(ledger.available(full) == 400);
  ledger.refund({"e", 1, 1}, 2, 300, full);
  BOOST_TEST(ledger.available(full) == 500);
  // The bucket has been full since the charge, so the refunded tokens would
  // have overflowed.
  ledger.grant({"e", 1, 2}, 400, full);
  ledger.settle({"e", 1, 2}, 0, full);
  const time_point later = full + seconds(1);
  ledger.grant({"e", 1, 3}, 400, later);
  ledger.refund({"e", 1, 2}, 3, 400, later);
  BOOST_TEST(ledger.available(later) == 100);
}

BOOST_AUTO_TEST_CASE(settlements_of_other_incarnations_and_epochs_are_ignored) {
  struct row {
    std::uint64_t incarnation_offset;
    std::uint64_t epoch_offset;
    bool granted;
  };
  for (const row& each :
       {row{0, 0, true}, row{1, 0, false}, row{0, 1, false}}) {
    allowance_home home({}, 7);
    const home_terms terms{limit, start_time, 1};
    const time_point now = start_time + seconds(1);
    home.authorise(now + seconds(1));
    const auto first =
        home.ask("e", 1, make_ask(500, 1, seconds(1)), terms, now);
    const auto grant_message = std::get<allowance_grant>(first.at(0).message);
    allowance_settle settlement;
    settlement.organisation = "o";
    settlement.id = 1;
    settlement.home_incarnation =
        grant_message.home_incarnation + each.incarnation_offset;
    settlement.epoch = grant_message.epoch + each.epoch_offset;
    settlement.unused = 500;
    home.settle("e", 1, settlement, now);
    const auto second =
        home.ask("e", 1, make_ask(500, 2, milliseconds(1)), terms, now);
    BOOST_TEST(std::holds_alternative<allowance_grant>(second.at(0).message) ==
               each.granted);
  }
}

BOOST_AUTO_TEST_CASE(refusals_have_retry_after) {
  allowance_home home({}, 1);
  const home_terms terms{limit, start_time, 1};
  const time_point now = start_time;
  home.authorise(now + seconds(9));
  const auto refused = [&](const allowance_ask& in) {
    const auto replies = home.ask("e", 1, in, terms, now);
    return std::get<allowance_refusal>(replies.at(0).message);
  };
  BOOST_TEST(refused(make_ask(300, 1, milliseconds(299))).retry_after_us ==
             300000);
  BOOST_TEST(home.ask("e", 1, make_ask(300, 2, milliseconds(300)), terms, now)
                 .empty());
  BOOST_TEST(refused(make_ask(100, 3, milliseconds(399))).retry_after_us ==
             400000);
  BOOST_TEST(!refused(make_ask(501, 4, seconds(99))).within_rate);
  BOOST_TEST((*home.next_serve_time(now) == now + milliseconds(300)));
  BOOST_TEST(home.serve_waiting(now + milliseconds(299)).empty());
  BOOST_TEST(home.serve_waiting(now + milliseconds(300)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(new_home_starts_after_the_former_one_has_expired) {
  const home_timing timing{seconds(5), milliseconds(500), milliseconds(50)};
  const duration wait = milliseconds(5550);
  const std::string kept = organisation_with_home("a");
  const std::string reassigned = organisation_with_home("b");
  home_assignment at_a("a", timing);
  time_point now = start_time;
  at_a.configure(make_configuration(1, {"a", "b", "c"}), now);
  BOOST_TEST((at_a.starts_at(kept) == start_time + wait));
  now += seconds(60);
  at_a.configure(make_configuration(2, {"a"}), now);
  BOOST_TEST(at_a.is_home_of(reassigned));
  BOOST_TEST((at_a.starts_at(kept) == start_time + wait));
  BOOST_TEST((at_a.starts_at(reassigned) == now + wait));
  // Another process may have been home in the skipped version.
  at_a.configure(make_configuration(4, {"a"}), now + seconds(60));
  BOOST_TEST((at_a.starts_at(kept) == now + seconds(60) + wait));
}

// An acquire whose home stays unreachable is refused after
// `unreachable_timeout`, not at its deadline.
BOOST_AUTO_TEST_CASE(asks_to_an_unreachable_home_are_refused_early) {
  struct row {
    bool recovers;
    duration unreachable_for;  // before the ask
  };
  for (const row& each : std::vector<row>{
           {false, seconds(0)}, {false, seconds(60)}, {true, seconds(0)}}) {
    allowance_leases leases({}, [](const std::string&) { return "a"; });
    time_point now = start_time;
    leases.set_home_reachable("a", false, now);
    now += each.unreachable_for;
    const time_point acquired_at = now;
    leases.acquire(1, "o", 10, acquired_at + seconds(30), now);
    if (each.recovers) leases.set_home_reachable("a", true, now);
    std::optional<acquire_result> answer;
    while (!answer && now < acquired_at + seconds(31)) {
      now = std::max(now + milliseconds(1), *leases.next_tick());
      for (const lease_action& action : leases.tick(now)) {
        const auto* result = std::get_if<acquire_result>(&action);
        if (result != nullptr) answer = *result;
      }
    }
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(!answer->granted);
    BOOST_TEST(answer->retry_after.count() > 0);
    const duration waited = now - acquired_at;
    // A reachable home that does not answer may be waiting for tokens to
    // accrue.
    BOOST_TEST((each.recovers ? waited >= seconds(30)
                              : waited <= seconds(1) + milliseconds(1)));
  }
}
