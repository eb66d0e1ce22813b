// The home's ledger, its refusals, and who is home from when.
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

configuration members(std::uint64_t version,
                      const std::vector<std::string>& names) {
  configuration made;
  made.version = version;
  for (const std::string& each : names) made.entries.push_back({each, "", ""});
  return made;
}

// An organisation whose home is `home` among a, b and c.
std::string homed_at(const std::string& home) {
  home_assignment all(home, {});
  all.configure(members(1, {"a", "b", "c"}), start_time);
  for (int i = 0;; ++i) {
    std::string name = "o" + std::to_string(i);
    if (all.mine(name)) return name;
  }
}

allowance_ask ask_for(double tokens, std::uint64_t id, duration deadline) {
  allowance_ask made;
  made.organisation = "o";
  made.id = id;
  made.needed = tokens;
  made.wanted = tokens;
  made.deadline_us = to_microseconds(deadline);
  return made;
}

}  // namespace

// Entries may spend a lease at any moment up to its end.
BOOST_AUTO_TEST_CASE(late_spending_keeps_the_bound) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    const duration lease = milliseconds(200);
    allowance_ledger ledger(limit, lease, start_time);
    std::vector<std::pair<time_point, double>> uses;
    time_point now = start_time;
    for (std::uint64_t id = 1; id <= 200; ++id) {
      now += milliseconds(random() % 60);
      const double tokens = double(random() % 400);
      if (ledger.free(now) < tokens) continue;
      ledger.grant({"e", 1, id}, tokens, now);
      const duration wait =
          random() % 2 == 0 ? lease - duration(1) : duration(random() % 199000);
      uses.emplace_back(now + wait, tokens);
    }
    std::sort(uses.begin(), uses.end());
    double level = limit.burst_tokens;
    time_point at = start_time;
    for (const auto& [when, tokens] : uses) {
      level += limit.tokens_per_second * double((when - at).count()) / 1e6;
      level = std::min(level, limit.burst_tokens) - tokens;
      at = when;
      BOOST_REQUIRE_MESSAGE(level > -0.01, "seed " << seed << " " << level);
    }
  }
}

BOOST_AUTO_TEST_CASE(unused_tokens_come_back_but_never_over_the_burst) {
  const time_point full = start_time + seconds(1);
  allowance_ledger ledger(limit, milliseconds(200), start_time);
  ledger.grant({"e", 1, 1}, 500, full);
  ledger.settle({"e", 1, 1}, 100, full);
  BOOST_TEST(ledger.free(full) == 100);
  ledger.refund({"e", 1, 1}, 1, 300, full);
  ledger.refund({"e", 1, 1}, 1, 300, full);
  BOOST_TEST(ledger.free(full) == 400);
  ledger.refund({"e", 1, 1}, 2, 300, full);
  BOOST_TEST(ledger.free(full) == 500);
  // Full since the charge: what comes back would have been lost.
  ledger.grant({"e", 1, 2}, 400, full);
  ledger.settle({"e", 1, 2}, 0, full);
  const time_point later = full + seconds(1);
  ledger.grant({"e", 1, 3}, 400, later);
  ledger.refund({"e", 1, 2}, 3, 400, later);
  BOOST_TEST(ledger.free(later) == 100);
}

BOOST_AUTO_TEST_CASE(what_another_run_of_the_home_leased_is_not_taken) {
  struct row {
    std::uint64_t incarnation_off;
    std::uint64_t epoch_off;
    bool granted;
  };
  for (const row& each :
       {row{0, 0, true}, row{1, 0, false}, row{0, 1, false}}) {
    allowance_home home({}, 7);
    const home_terms terms{limit, start_time, 1};
    const time_point now = start_time + seconds(1);
    home.authorise(now + seconds(1));
    const auto first =
        home.ask("e", 1, ask_for(500, 1, seconds(1)), terms, now);
    const auto given = std::get<allowance_grant>(first.at(0).message);
    allowance_settle back;
    back.organisation = "o";
    back.id = 1;
    back.home_incarnation = given.home_incarnation + each.incarnation_off;
    back.epoch = given.epoch + each.epoch_off;
    back.unused = 500;
    home.settle("e", 1, back, now);
    const auto second =
        home.ask("e", 1, ask_for(500, 2, milliseconds(1)), terms, now);
    BOOST_TEST(std::holds_alternative<allowance_grant>(second.at(0).message) ==
               each.granted);
  }
}

BOOST_AUTO_TEST_CASE(refusals_say_when_to_come_back) {
  allowance_home home({}, 1);
  const home_terms terms{limit, start_time, 1};
  const time_point now = start_time;
  home.authorise(now + seconds(9));
  const auto refused = [&](const allowance_ask& in) {
    const auto replies = home.ask("e", 1, in, terms, now);
    return std::get<allowance_refusal>(replies.at(0).message);
  };
  BOOST_TEST(refused(ask_for(300, 1, milliseconds(299))).retry_after_us ==
             300000);
  BOOST_TEST(
      home.ask("e", 1, ask_for(300, 2, milliseconds(300)), terms, now).empty());
  BOOST_TEST(refused(ask_for(100, 3, milliseconds(399))).retry_after_us ==
             400000);
  BOOST_TEST(!refused(ask_for(501, 4, seconds(99))).within_rate);
  BOOST_TEST((*home.next_serve(now) == now + milliseconds(300)));
  BOOST_TEST(home.serve(now + milliseconds(299)).empty());
  BOOST_TEST(home.serve(now + milliseconds(300)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_home_starts_after_the_old_one_has_run_out) {
  const home_timing timing{seconds(5), milliseconds(500), milliseconds(50)};
  const duration wait = milliseconds(5550);
  const std::string kept = homed_at("a");
  const std::string moved = homed_at("b");
  home_assignment at_a("a", timing);
  time_point now = start_time;
  at_a.configure(members(1, {"a", "b", "c"}), now);
  BOOST_TEST((at_a.starts_at(kept) == start_time + wait));
  now += seconds(60);
  at_a.configure(members(2, {"a"}), now);
  BOOST_TEST(at_a.mine(moved));
  BOOST_TEST((at_a.starts_at(kept) == start_time + wait));
  BOOST_TEST((at_a.starts_at(moved) == now + wait));
  // A skipped version may have named another home.
  at_a.configure(members(4, {"a"}), now + seconds(60));
  BOOST_TEST((at_a.starts_at(kept) == now + seconds(60) + wait));
}

// A request that is given up on is told at once, not at its deadline.
BOOST_AUTO_TEST_CASE(a_lost_home_is_refused_for_at_once) {
  struct row {
    bool comes_back;
    duration lost_for;  // before the ask
  };
  for (const row& each : std::vector<row>{
           {false, seconds(0)}, {false, seconds(60)}, {true, seconds(0)}}) {
    allowance_leases leases({}, [](const std::string&) { return "a"; });
    time_point now = start_time;
    leases.home_reachable("a", false, now);
    now += each.lost_for;
    const time_point asked = now;
    leases.acquire(1, "o", 10, asked + seconds(30), now);
    if (each.comes_back) leases.home_reachable("a", true, now);
    std::optional<lease_answer> answer;
    while (!answer && now < asked + seconds(31)) {
      now = std::max(now + milliseconds(1), *leases.next_tick());
      for (const lease_action& action : leases.tick(now)) {
        const auto* said = std::get_if<lease_answer>(&action);
        if (said != nullptr) answer = *said;
      }
    }
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(!answer->granted);
    BOOST_TEST(answer->retry_after.count() > 0);
    const duration waited = now - asked;
    // In reach, a silent home may be waiting for tokens to accrue.
    BOOST_TEST((each.comes_back ? waited >= seconds(30)
                                : waited <= seconds(1) + milliseconds(1)));
  }
}
