// Load turns: limited concurrency, leases, and the rule that no route loses its
// last serving endpoint to a load.
#include "control/load_turns.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "configuration-samples.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

const std::set<std::string> all_endpoints_live{"d1", "p1", "p2",
                                               "p3", "p4", "s1"};

// Four prefill endpoints and one decode endpoint, all serving as configured.
struct turns_fixture {
  turns_fixture() {
    json document = good_document();
    for (const char* name : {"p3", "p4"}) {
      json more = document["endpoints"][1];
      more["name"] = name;
      more["address"] = std::string("10.0.0.2:") + name[1];
      document["endpoints"].push_back(more);
    }
    configure(document, false);
  }
  void configure(const json& document, bool partial) {
    ++index;
    const json command =
        apply_command("op" + std::to_string(index),
                      configurations.current().version, document, partial);
    const json result = configurations.apply(index, command);
    BOOST_REQUIRE(result.at("outcome") == "changed");
  }
  void set_member(const std::vector<std::string>& names, const char* member,
                  const json& value) {
    json items = json::array();
    for (const std::string& name : names) {
      items.push_back({{"name", name}, {member, value}});
    }
    configure({{"endpoints", items}}, true);
  }
  load_turn_reply request_turn(
      const std::string& name, bool serving = true,
      const std::set<std::string>& live = all_endpoints_live) {
    turn_command command;
    command.endpoint = name;
    command.serving = serving;
    command.live = live;
    command.at_ms = now_ms;
    return turns.apply(++index, command).get<load_turn_reply>();
  }
  load_turn_outcome request_outcome(
      const std::string& name, bool serving = true,
      const std::set<std::string>& live = all_endpoints_live) {
    return request_turn(name, serving, live).outcome;
  }
  void report_end(const std::string& name, std::uint64_t token,
                  bool carried_out) {
    turn_command command;
    command.endpoint = name;
    command.ended = true;
    command.fencing_token = token;
    command.carried_out = carried_out;
    command.at_ms = now_ms;
    turns.apply(++index, command);
  }

  std::uint64_t index = 0;
  std::int64_t now_ms = 1'000;
  configuration_machine configurations;
  load_turns turns{configurations};
};

}  // namespace

BOOST_AUTO_TEST_CASE(concurrent_loads_are_limited_and_turns_expire) {
  turns_fixture fixture;
  fixture.set_member({"p1", "p2", "p3", "p4"}, "model_version", "v2");
  const load_turn_reply first = fixture.request_turn("p1");
  BOOST_TEST((first.outcome == load_turn_outcome::granted));
  BOOST_TEST(first.order.fencing_token == 2U);
  BOOST_TEST(first.order.model_version == "v2");
  BOOST_TEST((fixture.request_outcome("p2") == load_turn_outcome::granted));
  BOOST_TEST((fixture.request_outcome("p3") == load_turn_outcome::wait));
  // The renewed turn of p1 outlives its first lease; that of p2 expires.
  fixture.now_ms += load_turns::lease_ms / 2;
  BOOST_TEST(
      (fixture.request_outcome("p1", false) == load_turn_outcome::granted));
  fixture.now_ms += load_turns::lease_ms / 2;
  BOOST_TEST((fixture.request_outcome("p3") == load_turn_outcome::granted));
  BOOST_TEST((fixture.request_outcome("p4") == load_turn_outcome::wait));
  fixture.report_end("p1", first.order.fencing_token, true);
  BOOST_TEST((fixture.request_outcome("p4") == load_turn_outcome::granted));
  BOOST_TEST((fixture.request_outcome("p1") == load_turn_outcome::in_order));
  BOOST_TEST((fixture.request_outcome("nobody") == load_turn_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(last_serving_endpoint_of_a_route_gets_no_turn) {
  struct last_serving_case {
    const char* name;
    std::function<void(turns_fixture&)> before;
    std::set<std::string> live;
  };
  const auto order_new_version = [](turns_fixture& in) {
    in.set_member({"p1", "p2", "p3", "p4"}, "model_version", "v2");
  };
  const std::vector<last_serving_case> cases{
      {"the others are not live", order_new_version, {"p1", "d1"}},
      {"the others are draining",
       [&](turns_fixture& in) {
         in.set_member({"p2", "p3", "p4"}, "draining", true);
         order_new_version(in);
       },
       all_endpoints_live},
      {"the others are loading or not live",
       [&](turns_fixture& in) {
         order_new_version(in);
         in.request_turn("p2");
       },
       {"p1", "p2"}},
      {"the others failed to load",
       [&](turns_fixture& in) {
         order_new_version(in);
         for (const char* name : {"p2", "p3", "p4"}) {
           in.report_end(name, in.request_turn(name).order.fencing_token,
                         false);
         }
       },
       all_endpoints_live},
      {"the others' turns expired without a report",
       [&](turns_fixture& in) {
         order_new_version(in);
         for (const char* name : {"p2", "p3", "p4"}) {
           in.request_turn(name);
           in.now_ms += load_turns::lease_ms + 1;
         }
       },
       all_endpoints_live},
      {"the only other live endpoint changed its role",
       [&](turns_fixture& in) {
         in.configure(
             {{"endpoints",
               {{{"name", "p2"}, {"pool", "decode"}, {"role", "decode"}},
                {{"name", "p1"}, {"model_version", "v2"}}}}},
             true);
         in.report_end("p2", in.request_turn("p2").order.fencing_token, true);
       },
       {"p1", "p2"}}};
  for (const last_serving_case& each : cases) {
    BOOST_TEST_CONTEXT(each.name) {
      turns_fixture fixture;
      each.before(fixture);
      BOOST_TEST((fixture.request_outcome("p1", true, each.live) ==
                  load_turn_outcome::last_serving));
      // A load on an endpoint that does not serve removes no capacity.
      BOOST_TEST((fixture.request_outcome("p1", false, each.live) ==
                  load_turn_outcome::granted));
    }
  }
}

BOOST_AUTO_TEST_CASE(role_change_is_checked_against_the_previous_pool) {
  turns_fixture fixture;
  fixture.configure(
      {{"endpoints",
        {{{"name", "p1"}, {"pool", "decode"}, {"role", "decode"}}}}},
      true);
  BOOST_TEST((fixture.request_outcome("p1", true, {"p1", "d1"}) ==
              load_turn_outcome::last_serving));
  BOOST_TEST((fixture.request_outcome("p1", true, {"p1", "p2"}) ==
              load_turn_outcome::granted));
}

BOOST_AUTO_TEST_CASE(end_of_an_old_order_does_not_complete_the_new_one) {
  turns_fixture fixture;
  fixture.set_member({"p1"}, "model_version", "v2");
  const std::uint64_t old = fixture.request_turn("p1").order.fencing_token;
  fixture.set_member({"p1"}, "model_version", "v3");
  fixture.report_end("p1", old, true);
  const load_turn_reply next = fixture.request_turn("p1");
  BOOST_TEST((next.outcome == load_turn_outcome::granted));
  BOOST_TEST(next.order.fencing_token > old);
}

BOOST_AUTO_TEST_CASE(end_of_an_old_order_does_not_move_the_endpoint) {
  turns_fixture fixture;
  fixture.set_member({"p1", "d1"}, "model_version", "v2");
  const std::uint64_t old = fixture.request_turn("p1").order.fencing_token;
  fixture.configure(
      {{"endpoints",
        {{{"name", "p1"}, {"pool", "decode"}, {"role", "decode"}}}}},
      true);
  fixture.report_end("p1", old, true);
  BOOST_TEST((fixture.request_outcome("d1", true, {"d1", "p1"}) ==
              load_turn_outcome::last_serving));
}

BOOST_AUTO_TEST_CASE(a_route_keeps_a_serving_endpoint_under_random_orders) {
  constexpr std::uint64_t seeds = 300;
  int granted = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    const auto random_below = [&](int below) {
      return std::uniform_int_distribution<int>(0, below - 1)(random);
    };
    turns_fixture fixture;
    const std::vector<std::string> names{"p1", "p2", "p3", "p4"};
    std::set<std::string> serving(names.begin(), names.end());
    std::map<std::string, std::uint64_t> loading;
    for (int step = 0; step < 200; ++step) {
      const std::string& name =
          names[static_cast<std::size_t>(random_below(4))];
      fixture.now_ms += random_below(20'000);
      const auto under_way = loading.find(name);
      if (random_below(8) == 0) {
        fixture.set_member({name}, "model_version", "v" + std::to_string(step));
      } else if (random_below(20) == 0) {
        const json state = fixture.turns.snapshot();
        fixture.turns.restore(state);
      } else if (under_way != loading.end()) {
        const bool done = random_below(2) == 0;
        fixture.report_end(name, under_way->second, done);
        if (done) {
          serving.insert(name);
        }
        loading.erase(under_way);
      } else {
        const load_turn_reply reply =
            fixture.request_turn(name, serving.count(name) != 0);
        if (reply.outcome == load_turn_outcome::granted) {
          serving.erase(name);
          loading[name] = reply.order.fencing_token;
          ++granted;
        }
      }
      BOOST_REQUIRE_MESSAGE(!serving.empty(), "seed " << seed);
    }
  }
  BOOST_TEST(granted > 1000);
}
