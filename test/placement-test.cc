// Tests of endpoint ranking: selection, affinity, suspension and policies.
#include "policy/placement.h"

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace citronwharf;

namespace {

const time_point now(seconds(100));

configuration make_configuration(int endpoints) {
  configuration result;
  result.version = 1;
  for (int i = 0; i < endpoints; ++i) {
    endpoint item;
    item.name = fmt::format("p{:02}", i);
    item.pool = "prefill";
    item.role = endpoint_role::prefill;
    item.failure_domain = std::string(1, char('a' + i % 3));
    result.endpoints.push_back(item);
  }
  return result;
}

placement make_placement(
    int endpoints, placement_policy policy = placement_policy::predicted_wait) {
  placement_options options;
  options.policy = policy;
  options.entry = "entry-1";
  options.subset_size = 6;
  placement ranking(options);
  ranking.configure(make_configuration(endpoints));
  return ranking;
}

placement_query query(std::uint64_t prefix = 0) {
  placement_query request;
  request.pool = "prefill";
  request.prompt_tokens = 1000;
  request.prefix_hash = prefix;
  return request;
}

std::string first_choice(placement& placer, const placement_query& request,
                         time_point at = now) {
  const auto chosen = placer.choose(request, 1, at);
  return chosen.empty() ? "" : chosen.front().endpoint;
}

}  // namespace

BOOST_AUTO_TEST_CASE(subset_covers_every_failure_domain) {
  placement ranking = make_placement(30);
  std::map<char, int> domains;
  for (const auto& item : ranking.choose(query(), 99, now)) {
    ++domains[char('a' + std::stoi(item.endpoint.substr(1)) % 3)];
  }
  BOOST_TEST(domains.size() == 3U);
  for (const auto& [domain, count] : domains) BOOST_TEST(count == 2);
}

BOOST_AUTO_TEST_CASE(prefix_affinity_is_stable_until_endpoint_is_loaded) {
  placement ranking = make_placement(6);
  const std::string preferred = first_choice(ranking, query(77));
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(first_choice(ranking, query(77)) == preferred);
  ranking.sent(preferred, 100000, now);
  BOOST_TEST(first_choice(ranking, query(77)) != preferred);
  ranking.ended(preferred, 100000, now);
  endpoint_load load;
  load.incarnation = 1;
  ranking.observe(preferred, load, now);
  BOOST_TEST(first_choice(ranking, query(77)) == preferred);
}

BOOST_AUTO_TEST_CASE(failed_endpoint_is_retried_with_one_request_at_a_time) {
  placement ranking = make_placement(1);
  ranking.failed("p00", now);
  BOOST_TEST(first_choice(ranking, query()) == "");
  BOOST_TEST((ranking.retry_after("prefill", now) == milliseconds(200)));
  const time_point later = now + milliseconds(200);
  BOOST_TEST(first_choice(ranking, query(), later) == "p00");
  ranking.sent("p00", 10, later);
  BOOST_TEST(first_choice(ranking, query(), later) == "");
  ranking.ended("p00", 10, later);
  ranking.failed("p00", later);
  BOOST_TEST(first_choice(ranking, query(), later + milliseconds(399)) == "");
  BOOST_TEST(first_choice(ranking, query(), later + milliseconds(400)) ==
             "p00");
  ranking.succeeded("p00", later);
  BOOST_TEST(first_choice(ranking, query(), later) == "p00");
}

BOOST_AUTO_TEST_CASE(unusable_endpoints_are_not_chosen) {
  placement ranking = make_placement(4);
  ranking.reachable("p00", false, now);
  endpoint_load load;
  load.leaving = true;
  ranking.observe("p01", load, now);
  placement_query request = query();
  request.excluded = {"p02"};
  const auto chosen = ranking.choose(request, 9, now);
  BOOST_TEST(chosen.size() == 1U);
  BOOST_TEST(chosen.front().endpoint == "p03");
  ranking.reachable("p00", true, now);
  BOOST_TEST(ranking.choose(request, 9, now).size() == 2U);
}

BOOST_AUTO_TEST_CASE(preferred_domain_breaks_ties) {
  placement ranking = make_placement(6);
  placement_query request = query();
  request.preferred_domain = "b";
  BOOST_TEST(std::stoi(first_choice(ranking, request).substr(1)) % 3 == 1);
}

BOOST_AUTO_TEST_CASE(every_policy_uses_all_idle_endpoints_of_the_subset) {
  for (const auto policy :
       {placement_policy::round_robin, placement_policy::least_load,
        placement_policy::two_choices, placement_policy::predicted_wait}) {
    placement ranking = make_placement(6, policy);
    std::set<std::string> used;
    for (int i = 0; i < 200; ++i) used.insert(first_choice(ranking, query()));
    BOOST_TEST(used.size() == 6U);
  }
}
