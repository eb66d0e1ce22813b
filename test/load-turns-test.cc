// Turns to load: paced, leased, and never at the price of a route's last
// serving endpoint.
#include "control/load_turns.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "configuration-samples.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

const std::set<std::string> all_live{"d1", "p1", "p2", "p3", "p4", "s1"};

// Four prefill endpoints and one decode endpoint, which serve as configured.
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
  void set(const std::vector<std::string>& names, const char* member,
           const json& value) {
    json items = json::array();
    for (const std::string& name : names) {
      items.push_back({{"name", name}, {member, value}});
    }
    configure({{"endpoints", items}}, true);
  }
  load_turn_reply ask(const std::string& name, bool serving = true,
                      const std::set<std::string>& live = all_live) {
    turn_command command;
    command.endpoint = name;
    command.serving = serving;
    command.live = live;
    command.at_ms = now_ms;
    return turns.apply(++index, command).get<load_turn_reply>();
  }
  load_turn_outcome outcome(const std::string& name, bool serving = true,
                            const std::set<std::string>& live = all_live) {
    return ask(name, serving, live).outcome;
  }
  void end(const std::string& name, std::uint64_t token, bool carried_out) {
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

BOOST_AUTO_TEST_CASE(loads_are_paced_and_turns_are_leases) {
  turns_fixture fixture;
  fixture.set({"p1", "p2", "p3", "p4"}, "model_version", "v2");
  const load_turn_reply first = fixture.ask("p1");
  BOOST_TEST((first.outcome == load_turn_outcome::granted));
  BOOST_TEST(first.order.fencing_token == 2U);
  BOOST_TEST(first.order.model_version == "v2");
  BOOST_TEST((fixture.outcome("p2") == load_turn_outcome::granted));
  BOOST_TEST((fixture.outcome("p3") == load_turn_outcome::wait));
  // Renewed, the turn outlives its first lease; unrenewed, it does not.
  fixture.now_ms += load_turns::lease_ms / 2;
  BOOST_TEST((fixture.outcome("p1", false) == load_turn_outcome::granted));
  fixture.now_ms += load_turns::lease_ms / 2;
  BOOST_TEST((fixture.outcome("p3") == load_turn_outcome::granted));
  BOOST_TEST((fixture.outcome("p4") == load_turn_outcome::wait));
  fixture.end("p1", first.order.fencing_token, true);
  BOOST_TEST((fixture.outcome("p4") == load_turn_outcome::granted));
  BOOST_TEST((fixture.outcome("p1") == load_turn_outcome::in_order));
  BOOST_TEST((fixture.outcome("nobody") == load_turn_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(a_route_keeps_its_last_serving_endpoint) {
  struct fault_case {
    const char* name;
    std::function<void(turns_fixture&)> before;
    std::set<std::string> live;
  };
  const auto ordered = [](turns_fixture& in) {
    in.set({"p1", "p2", "p3", "p4"}, "model_version", "v2");
  };
  const std::vector<fault_case> cases{
      {"the others are gone", ordered, {"p1", "d1"}},
      {"the others drain",
       [&](turns_fixture& in) {
         in.set({"p2", "p3", "p4"}, "draining", true);
         ordered(in);
       },
       all_live},
      {"the others load or are gone",
       [&](turns_fixture& in) {
         ordered(in);
         in.ask("p2");
       },
       {"p1", "p2"}},
      {"the others failed to load",
       [&](turns_fixture& in) {
         ordered(in);
         for (const char* name : {"p2", "p3", "p4"}) {
           in.end(name, in.ask(name).order.fencing_token, false);
         }
       },
       all_live},
      {"the others' turns ran out untold",
       [&](turns_fixture& in) {
         ordered(in);
         for (const char* name : {"p2", "p3", "p4"}) {
           in.ask(name);
           in.now_ms += load_turns::lease_ms + 1;
         }
       },
       all_live},
      {"the others change their role",
       [&](turns_fixture& in) {
         in.configure(
             {{"endpoints",
               {{{"name", "p2"}, {"pool", "decode"}, {"role", "decode"}},
                {{"name", "p1"}, {"model_version", "v2"}}}}},
             true);
         in.end("p2", in.ask("p2").order.fencing_token, true);
       },
       {"p1", "p2"}}};
  for (const fault_case& each : cases) {
    BOOST_TEST_CONTEXT(each.name) {
      turns_fixture fixture;
      each.before(fixture);
      BOOST_TEST((fixture.outcome("p1", true, each.live) ==
                  load_turn_outcome::last_serving));
      // One that does not serve takes nothing away.
      BOOST_TEST((fixture.outcome("p1", false, each.live) ==
                  load_turn_outcome::granted));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_change_of_role_counts_for_the_pool_it_leaves) {
  turns_fixture fixture;
  fixture.configure(
      {{"endpoints",
        {{{"name", "p1"}, {"pool", "decode"}, {"role", "decode"}}}}},
      true);
  BOOST_TEST((fixture.outcome("p1", true, {"p1", "d1"}) ==
              load_turn_outcome::last_serving));
  BOOST_TEST((fixture.outcome("p1", true, {"p1", "p2"}) ==
              load_turn_outcome::granted));
}

BOOST_AUTO_TEST_CASE(the_end_of_an_old_order_is_not_that_of_the_new) {
  turns_fixture fixture;
  fixture.set({"p1"}, "model_version", "v2");
  const std::uint64_t old = fixture.ask("p1").order.fencing_token;
  fixture.set({"p1"}, "model_version", "v3");
  fixture.end("p1", old, true);
  const load_turn_reply next = fixture.ask("p1");
  BOOST_TEST((next.outcome == load_turn_outcome::granted));
  BOOST_TEST(next.order.fencing_token > old);
}

BOOST_AUTO_TEST_CASE(an_old_order_puts_no_endpoint_into_its_new_pool) {
  turns_fixture fixture;
  fixture.set({"p1", "d1"}, "model_version", "v2");
  const std::uint64_t old = fixture.ask("p1").order.fencing_token;
  fixture.configure(
      {{"endpoints",
        {{{"name", "p1"}, {"pool", "decode"}, {"role", "decode"}}}}},
      true);
  fixture.end("p1", old, true);
  BOOST_TEST((fixture.outcome("d1", true, {"d1", "p1"}) ==
              load_turn_outcome::last_serving));
}

BOOST_AUTO_TEST_CASE(under_random_orders_a_route_always_has_an_endpoint) {
  constexpr std::uint64_t seeds = 300;
  int granted = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    const auto pick = [&](int below) {
      return std::uniform_int_distribution<int>(0, below - 1)(random);
    };
    turns_fixture fixture;
    const std::vector<std::string> names{"p1", "p2", "p3", "p4"};
    std::set<std::string> serving(names.begin(), names.end());
    std::map<std::string, std::uint64_t> loading;
    for (int step = 0; step < 200; ++step) {
      const std::string& name = names[static_cast<std::size_t>(pick(4))];
      fixture.now_ms += pick(20'000);
      const auto under_way = loading.find(name);
      if (pick(8) == 0) {
        fixture.set({name}, "model_version", "v" + std::to_string(step));
      } else if (pick(20) == 0) {
        const json state = fixture.turns.snapshot();
        fixture.turns.restore(state);
      } else if (under_way != loading.end()) {
        const bool done = pick(2) == 0;
        fixture.end(name, under_way->second, done);
        if (done) {
          serving.insert(name);
        }
        loading.erase(under_way);
      } else {
        const load_turn_reply reply =
            fixture.ask(name, serving.count(name) != 0);
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
