// Tests the configuration machine: conflicts, retries and restoring from a
// snapshot.
#include "control/configuration_machine.h"

#include <boost/test/unit_test.hpp>
#include <memory>

#include "configuration-samples.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

change_result result_of(const json& in) {
  return in.get<change_result>();
}

// A configuration machine with good_document() applied as version 1.
struct sample_machine {
  sample_machine() {
    machine->apply(1, apply_command("op-1", 0, good_document()));
  }

  change_result run(const json& command) {
    return result_of(machine->apply(++index, command));
  }
  // Replaces the machine by one restored from its snapshot, as on a restart.
  void restart() {
    const json state = json::parse(machine->snapshot().dump());
    machine = std::make_unique<configuration_machine>();
    machine->restore(state);
  }

  std::unique_ptr<configuration_machine> machine =
      std::make_unique<configuration_machine>();
  std::uint64_t index = 1;
};

json unconditional(const std::string& operation, const json& document,
                   bool create) {
  json command = apply_command(operation, 0, document, true);
  command["base"] = nullptr;
  command[create ? "create" : "update"] = true;
  return command;
}

json withdrawal(const std::string& operation, const std::string& key) {
  return unconditional(operation,
                       {{"keys", {{{"id", key}, {"withdrawn", true}}}}}, false);
}

json creation(const std::string& operation, const std::string& key,
              char digest_character) {
  return unconditional(operation,
                       {{"keys",
                         {{{"id", key},
                           {"organisation", "brokers"},
                           {"digest", std::string(64, digest_character)}}}}},
                       true);
}

}  // namespace

BOOST_AUTO_TEST_CASE(second_change_on_same_base_conflicts) {
  for (const bool restarted : {false, true}) {
    sample_machine sample;
    const change_result winner =
        sample.run(apply_command("win", 1, weight_document(5), true));
    BOOST_TEST((winner.outcome == change_outcome::changed));
    if (restarted) {
      sample.restart();
    }
    const change_result loser =
        sample.run(apply_command("lose", 1, weight_document(7), true));
    BOOST_TEST((loser.outcome == change_outcome::conflict));
    BOOST_TEST(loser.version == 2U);
    BOOST_TEST(loser.winner_version == 2U);
    BOOST_TEST(loser.winner_operation == "win");
    BOOST_TEST(loser.winner_author == "author of win");
    BOOST_TEST(sample.machine->current().organisations[0].weight == 5);
  }
}

BOOST_AUTO_TEST_CASE(retry_returns_first_result) {
  struct retry_case {
    const char* name;
    json command;
    change_outcome first;
  };
  const std::vector<retry_case> cases{
      {"changed", apply_command("x", 1, weight_document(3), true),
       change_outcome::changed},
      {"unchanged", apply_command("x", 1, weight_document(1), true),
       change_outcome::unchanged},
      {"conflict", apply_command("x", 0, weight_document(3), true),
       change_outcome::conflict},
      {"invalid", apply_command("x", 1, {{"nonsense", 1}}),
       change_outcome::invalid},
      {"withdrawal", withdrawal("x", "k1"), change_outcome::changed},
      {"creation", creation("x", "k2", 'b'), change_outcome::changed}};
  for (const retry_case& each : cases) {
    for (const bool restarted : {false, true}) {
      BOOST_TEST_CONTEXT(each.name << (restarted ? " restarted" : "")) {
        sample_machine sample;
        const change_result first = sample.run(each.command);
        BOOST_TEST((first.outcome == each.first));
        sample.run(
            apply_command("between", first.version, weight_document(9), true));
        const std::uint64_t version = sample.machine->current().version;
        if (restarted) {
          sample.restart();
        }
        json resent = each.command;
        resent["at_ms"] = 99;
        BOOST_TEST((sample.run(resent) == first));
        BOOST_TEST(sample.machine->current().version == version);
        // Another command must not reuse the identifier.
        resent["document"] = weight_document(4);
        BOOST_TEST(
            (sample.run(resent).outcome == change_outcome::operation_reused));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(stored_operations_are_bounded) {
  sample_machine sample;
  const json first = apply_command("first", 1, weight_document(2), true);
  sample.run(first);
  for (std::size_t n = 0; n < configuration_machine::max_stored_operations;
       ++n) {
    sample.run(apply_command("op" + std::to_string(n), 0, json::object()));
  }
  BOOST_TEST(sample.machine->snapshot().at("operations").size() ==
             configuration_machine::max_stored_operations);
  // Once the result is evicted, a retry conflicts and is not applied again.
  const change_result resent = sample.run(first);
  BOOST_TEST((resent.outcome == change_outcome::conflict));
  BOOST_TEST(resent.winner_operation == "first");
}

BOOST_AUTO_TEST_CASE(no_op_keeps_version) {
  const json document = good_document();
  for (const json& command :
       {apply_command("a", 1, document), apply_command("a", 1, {}, true),
        apply_command("a", 1, weight_document(1), true),
        apply_command("a", 1, {{"remove", {{"routes", {"none"}}}}}, true)}) {
    sample_machine sample;
    json normalised = command;
    if (normalised["document"].is_null()) {
      normalised["document"] = json::object();
    }
    const change_result result = sample.run(normalised);
    BOOST_TEST((result.outcome == change_outcome::unchanged));
    BOOST_TEST(result.version == 1U);
    BOOST_TEST(sample.machine->history().size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(partial_document_changes_only_named_items) {
  sample_machine sample;
  const configuration before = sample.machine->current();
  sample.run(apply_command(
      "p", 1,
      {{"organisations",
        {{{"name", "brokers"}, {"limit", {{"burst_tokens", 5}}}}}},
       {"remove", {{"endpoints", {"p2"}}}}},
      true));
  configuration expected = before;
  expected.version = 2;
  expected.organisations[0].limit.burst_tokens = 5;
  expected.endpoints.erase(expected.endpoints.begin() + 2);
  BOOST_TEST((sample.machine->current() == expected));
  BOOST_TEST(
      (sample.machine->history().back().touched ==
       std::vector<std::string>{"organisations/brokers", "-endpoints/p2"}));
}

BOOST_AUTO_TEST_CASE(whole_document_without_keys_keeps_keys) {
  sample_machine sample;
  json document = good_document();
  document.erase("keys");
  document["organisations"][0]["weight"] = 4;
  BOOST_TEST((sample.run(apply_command("w", 1, document)).outcome ==
              change_outcome::changed));
  BOOST_TEST(sample.machine->current().keys.size() == 1U);
}

BOOST_AUTO_TEST_CASE(whole_document_ends_drain_only_if_it_sets_draining) {
  for (const bool sets_draining : {false, true}) {
    sample_machine sample;
    sample.run(unconditional(
        "d", {{"endpoints", {{{"name", "p2"}, {"draining", true}}}}}, false));
    json document = good_document();
    if (sets_draining) {
      document["endpoints"][2]["draining"] = false;
    }
    sample.run(apply_command("w", 2, document));
    BOOST_TEST(sample.machine->current().endpoints[2].draining ==
               !sets_draining);
  }
}

BOOST_AUTO_TEST_CASE(keys_are_created_once_and_withdrawn_permanently) {
  sample_machine sample;
  const auto outcome = [&](const json& command) {
    return sample.run(command).outcome;
  };
  BOOST_TEST((outcome(creation("1", "k1", 'b')) == change_outcome::exists));
  BOOST_TEST((outcome(creation("2", "k2", 'a')) == change_outcome::invalid));
  BOOST_TEST((outcome(creation("3", "k2", 'b')) == change_outcome::changed));
  BOOST_TEST((outcome(withdrawal("4", "k9")) == change_outcome::missing));
  BOOST_TEST((outcome(withdrawal("5", "k2")) == change_outcome::changed));
  BOOST_TEST((outcome(withdrawal("6", "k2")) == change_outcome::unchanged));
  const json reactivation = {{"keys", {{{"id", "k2"}, {"withdrawn", false}}}}};
  BOOST_TEST((outcome(unconditional("7", reactivation, false)) ==
              change_outcome::invalid));
}

BOOST_AUTO_TEST_CASE(deltas_reproduce_configuration) {
  sample_machine sample;
  const configuration start = sample.machine->current();
  for (int n = 0; n < 500; ++n) {
    sample.run(apply_command("op" + std::to_string(n),
                             sample.machine->current().version,
                             weight_document(n + 2), true));
    const configuration& now = sample.machine->current();
    const auto changes = sample.machine->changes_since(start.version);
    BOOST_REQUIRE(changes.has_value() ==
                  (now.version - start.version <=
                   configuration_machine::max_kept_deltas));
    if (!changes) {
      continue;
    }
    configuration replayed = start;
    for (const json& change : *changes) {
      replayed = merge_document(replayed, change, document_mode::partial);
      ++replayed.version;
    }
    BOOST_REQUIRE((replayed == now));
  }
  BOOST_TEST(!sample.machine->changes_since(900).has_value());
}

BOOST_AUTO_TEST_CASE(order_index_changes_only_with_engine_settings) {
  sample_machine sample;
  BOOST_TEST(sample.machine->order_index("p1") == 1U);
  const auto change = [&](const char* member, const json& value) {
    sample.run(apply_command(
        member, sample.machine->current().version,
        {{"endpoints", {{{"name", "p1"}, {member, value}}}}}, true));
  };
  change("draining", true);
  BOOST_TEST(sample.machine->order_index("p1") == 1U);
  change("model_version", "v2");
  BOOST_TEST(sample.machine->order_index("p1") == 3U);
  sample.restart();
  BOOST_TEST(sample.machine->order_index("p1") == 3U);
  BOOST_TEST(sample.machine->order_index("none") == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_command_is_rejected) {
  sample_machine sample;
  for (const json& command :
       {json(nullptr), json(7), json::object(), json{{"operation", 3}},
        apply_command("", 1, weight_document(3), true)}) {
    BOOST_TEST((sample.run(command).outcome == change_outcome::malformed));
  }
  BOOST_TEST(sample.machine->current().version == 1U);
}
