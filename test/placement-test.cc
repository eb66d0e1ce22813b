// Placement: what is chosen, avoided and kept to.
#include "policy/placement.h"

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace citronwharf;

namespace {

const time_point now(seconds(100));

configuration fleet(int endpoints) {
  configuration made;
  made.version = 1;
  for (int i = 0; i < endpoints; ++i) {
    endpoint each;
    each.name = fmt::format("p{:02}", i);
    each.pool = "prefill";
    each.role = endpoint_role::prefill;
    each.failure_domain = std::string(1, char('a' + i % 3));
    made.endpoints.push_back(each);
  }
  return made;
}

placement make_placement(
    int endpoints, placement_policy policy = placement_policy::predicted_wait) {
  placement_options options;
  options.policy = policy;
  options.entry = "entry-1";
  options.subset = 6;
  placement made(options);
  made.configure(fleet(endpoints));
  return made;
}

placement_query query(std::uint64_t prefix = 0) {
  placement_query asked;
  asked.pool = "prefill";
  asked.prompt_tokens = 1000;
  asked.prefix_hash = prefix;
  return asked;
}

std::string first(placement& from, const placement_query& asked,
                  time_point at = now) {
  const auto chosen = from.choose(asked, 1, at);
  return chosen.empty() ? "" : chosen.front().endpoint;
}

}  // namespace

BOOST_AUTO_TEST_CASE(subset_covers_every_failure_domain) {
  placement made = make_placement(30);
  std::map<char, int> domains;
  for (const auto& each : made.choose(query(), 99, now)) {
    ++domains[char('a' + std::stoi(each.endpoint.substr(1)) % 3)];
  }
  BOOST_TEST(domains.size() == 3U);
  for (const auto& [domain, count] : domains) BOOST_TEST(count == 2);
}

BOOST_AUTO_TEST_CASE(affinity_keeps_to_one_endpoint_until_it_is_loaded) {
  placement made = make_placement(6);
  const std::string home = first(made, query(77));
  for (int i = 0; i < 20; ++i) BOOST_TEST(first(made, query(77)) == home);
  made.sent(home, 100000, now);
  BOOST_TEST(first(made, query(77)) != home);
  made.ended(home, 100000, now);
  endpoint_load load;
  load.incarnation = 1;
  made.observe(home, load, now);
  BOOST_TEST(first(made, query(77)) == home);
}

BOOST_AUTO_TEST_CASE(failed_endpoints_come_back_one_request_at_a_time) {
  placement made = make_placement(1);
  made.failed("p00", now);
  BOOST_TEST(first(made, query()) == "");
  BOOST_TEST((made.retry_after("prefill", now) == milliseconds(200)));
  const time_point later = now + milliseconds(200);
  BOOST_TEST(first(made, query(), later) == "p00");
  made.sent("p00", 10, later);
  BOOST_TEST(first(made, query(), later) == "");
  made.ended("p00", 10, later);
  made.failed("p00", later);
  BOOST_TEST(first(made, query(), later + milliseconds(399)) == "");
  BOOST_TEST(first(made, query(), later + milliseconds(400)) == "p00");
  made.succeeded("p00", later);
  BOOST_TEST(first(made, query(), later) == "p00");
}

BOOST_AUTO_TEST_CASE(endpoints_out_of_choice) {
  placement made = make_placement(4);
  made.reachable("p00", false, now);
  endpoint_load load;
  load.leaving = true;
  made.observe("p01", load, now);
  placement_query asked = query();
  asked.excluded = {"p02"};
  const auto chosen = made.choose(asked, 9, now);
  BOOST_TEST(chosen.size() == 1U);
  BOOST_TEST(chosen.front().endpoint == "p03");
  made.reachable("p00", true, now);
  BOOST_TEST(made.choose(asked, 9, now).size() == 2U);
}

BOOST_AUTO_TEST_CASE(near_domain_wins_between_equals) {
  placement made = make_placement(6);
  placement_query asked = query();
  asked.near_domain = "b";
  BOOST_TEST(std::stoi(first(made, asked).substr(1)) % 3 == 1);
}

BOOST_AUTO_TEST_CASE(every_policy_uses_all_idle_endpoints) {
  for (const auto policy :
       {placement_policy::round_robin, placement_policy::least_load,
        placement_policy::two_choices, placement_policy::predicted_wait}) {
    placement made = make_placement(6, policy);
    std::set<std::string> used;
    for (int i = 0; i < 200; ++i) used.insert(first(made, query()));
    BOOST_TEST(used.size() == 6U);
  }
}
