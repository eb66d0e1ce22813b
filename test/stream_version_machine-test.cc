// Tests of the state machine that stores at which software version streams
// began, without a network.
#include "control/stream_version_machine.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "base/decode.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t lifetime_ms = 20000;

stream_version make_record(std::uint64_t stream, const std::string& version,
                           std::uint64_t request = 1, std::int64_t number = 1) {
  stream_version out;
  out.stream = stream;
  out.request = request;
  out.number = number;
  out.service = "models";
  out.version = version;
  out.lifetime_ms = lifetime_ms;
  return out;
}

// A machine whose service has the base version v1.
struct machine_fixture {
  machine_fixture() {
    stream_version_command set;
    set.bases["models"] = {"", "v1"};
    apply(set);
  }

  stream_version_result apply(const stream_version_command& command) {
    const auto out = decode_value<stream_version_result>(
        machine.apply(++index, stream_version_machine::make_command(command)));
    BOOST_REQUIRE(out.ok());
    return *out;
  }

  bool store(const stream_version& record) {
    stream_version_command command;
    command.stored = {record};
    const stream_version_result result = apply(command);
    BOOST_REQUIRE(result.stored.size() == 1U);
    return result.stored[0];
  }

  std::string find(const resumed_stream& wanted) {
    stream_version_command command;
    command.wanted = {wanted};
    const stream_version_result result = apply(command);
    BOOST_REQUIRE(result.versions.size() == 1U);
    return result.versions[0];
  }
  std::string find(std::uint64_t stream) {
    return find({stream, true, "models"});
  }

  void set_base(const std::string& from, const std::string& to) {
    stream_version_command command;
    command.bases["models"] = {from, to};
    apply(command);
  }

  void advance(std::int64_t elapsed_ms) {
    stream_version_command command;
    command.elapsed_ms = elapsed_ms;
    apply(command);
  }

  stream_version_machine machine;
  std::uint64_t index = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(stream_that_is_not_stored_began_at_the_base_version,
                        machine_fixture) {
  BOOST_TEST(machine.base("models") == "v1");
  BOOST_TEST(find(7) == "v1");
  BOOST_TEST(machine.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(stored_stream_began_at_its_version, machine_fixture) {
  BOOST_TEST(store(make_record(7, "v2")));
  BOOST_TEST(find(7) == "v2");
  BOOST_TEST(find(8) == "v1");
}

BOOST_FIXTURE_TEST_CASE(command_finds_what_it_stores, machine_fixture) {
  stream_version_command command;
  command.stored = {make_record(7, "v2"), make_record(8, "v3")};
  command.wanted = {
      {8, true, "models"}, {9, true, "models"}, {7, true, "models"}};
  const stream_version_result result = apply(command);
  BOOST_TEST((result.stored == std::vector<bool>{true, true}));
  BOOST_TEST((result.versions == std::vector<std::string>{"v3", "v1", "v2"}));
}

BOOST_FIXTURE_TEST_CASE(record_that_arrives_late_does_not_replace_a_later_one,
                        machine_fixture) {
  store(make_record(7, "v2", 1, 1));
  store(make_record(7, "v3", 1, 2));
  BOOST_TEST(store(make_record(7, "v2", 1, 1)));
  BOOST_TEST(find(7) == "v3");
  // It may also arrive before anything else did.
  store(make_record(8, "v3", 1, 2));
  store(make_record(8, "v2", 1, 1));
  BOOST_TEST(find(8) == "v3");
}

BOOST_FIXTURE_TEST_CASE(repeated_record_changes_nothing, machine_fixture) {
  store(make_record(7, "v2"));
  BOOST_TEST(store(make_record(7, "v2")));
  BOOST_TEST(machine.size() == 1U);
  BOOST_TEST(find(7) == "v2");
}

// A stream that first failed at another version may begin at the base version.
BOOST_FIXTURE_TEST_CASE(base_version_replaces_an_earlier_record,
                        machine_fixture) {
  store(make_record(7, "v2", 1, 1));
  store(make_record(7, "v1", 1, 2));
  BOOST_TEST(find(7) == "v1");
}

BOOST_FIXTURE_TEST_CASE(id_of_two_requests_at_two_versions_is_ambiguous,
                        machine_fixture) {
  store(make_record(7, "v2", 1));
  BOOST_TEST(store(make_record(7, "v3", 2)));
  BOOST_TEST(find(7).empty());
  // It stays so, whatever is repeated.
  store(make_record(7, "v2", 1));
  BOOST_TEST(find(7).empty());
  store(make_record(7, "v3", 2, 2));
  BOOST_TEST(find(7).empty());
}

BOOST_FIXTURE_TEST_CASE(id_of_two_requests_at_one_version_is_not_ambiguous,
                        machine_fixture) {
  store(make_record(7, "v2", 1));
  store(make_record(7, "v2", 2));
  BOOST_TEST(find(7) == "v2");
}

BOOST_FIXTURE_TEST_CASE(
    id_of_two_requests_is_ambiguous_once_one_changes_its_version,
    machine_fixture) {
  store(make_record(7, "v2", 1));
  store(make_record(7, "v2", 2));
  store(make_record(7, "v3", 2, 2));
  BOOST_TEST(find(7).empty());
}

BOOST_FIXTURE_TEST_CASE(stream_of_another_service_is_not_found,
                        machine_fixture) {
  store(make_record(7, "v2"));
  BOOST_TEST(find({7, true, "summaries"}).empty());
  BOOST_TEST(find({8, true, "summaries"}).empty());  // it has no base version
}

BOOST_FIXTURE_TEST_CASE(
    unnamed_stream_is_found_while_its_service_has_one_version,
    machine_fixture) {
  const resumed_stream unnamed{0, false, "models"};
  BOOST_TEST(find(unnamed) == "v1");
  stream_version elsewhere = make_record(8, "v2");
  elsewhere.service = "summaries";
  store(elsewhere);
  BOOST_TEST(find(unnamed) == "v1");
  // Stored after an attempt that brought no event.
  store(make_record(9, "v1"));
  BOOST_TEST(find(unnamed) == "v1");
  store(make_record(7, "v2"));
  BOOST_TEST(find(unnamed).empty());
  advance(lifetime_ms);
  BOOST_TEST(find(unnamed) == "v1");
}

BOOST_FIXTURE_TEST_CASE(record_expires_by_the_time_of_commands_only,
                        machine_fixture) {
  store(make_record(7, "v2"));
  for (int count = 0; count < 1000; ++count) {
    advance(0);
    advance(-1000000);
  }
  BOOST_TEST(find(7) == "v2");
  advance(lifetime_ms - 1);
  BOOST_TEST(find(7) == "v2");
  BOOST_TEST(machine.size() == 1U);
  advance(1001);
  BOOST_TEST(machine.size() == 0U);
  BOOST_TEST(find(7) == "v1");
}

BOOST_FIXTURE_TEST_CASE(later_record_of_a_request_never_expires_sooner,
                        machine_fixture) {
  store(make_record(7, "v2", 1, 1));
  stream_version later = make_record(7, "v3", 1, 2);
  later.lifetime_ms = -5;
  store(later);
  advance(lifetime_ms - 1);
  BOOST_TEST(find(7) == "v3");
}

BOOST_FIXTURE_TEST_CASE(base_version_changes_from_the_expected_one_only,
                        machine_fixture) {
  set_base("", "v2");
  BOOST_TEST(machine.base("models") == "v1");
  set_base("v2", "v3");
  BOOST_TEST(machine.base("models") == "v1");
  set_base("v1", "v2");
  BOOST_TEST(machine.base("models") == "v2");
  BOOST_TEST(machine.base("summaries").empty());
}

BOOST_FIXTURE_TEST_CASE(snapshot_restores_the_whole_state, machine_fixture) {
  store(make_record(7, "v2", 1, 2));
  store(make_record(8, "v3"));
  store(make_record(9, "v2", 1));
  store(make_record(9, "v3", 2));
  store(make_record(10, "v2", 1));
  store(make_record(10, "v2", 2));
  advance(500);
  const auto state = nlohmann::json::parse(machine.snapshot().dump());
  machine_fixture other;
  other.store(make_record(11, "v4"));
  other.machine.restore(state);
  BOOST_TEST(other.machine.snapshot() == state);
  BOOST_TEST(other.machine.size() == 4U);
  // Both go on alike.
  for (machine_fixture* each : {static_cast<machine_fixture*>(this), &other}) {
    BOOST_TEST_CONTEXT((each == this ? "original" : "restored")) {
      BOOST_TEST(each->find(7) == "v2");
      BOOST_TEST(each->find(8) == "v3");
      BOOST_TEST(each->find(9).empty());
      BOOST_TEST(each->find(11) == "v1");
      each->store(make_record(7, "v3", 1, 1));
      BOOST_TEST(each->find(7) == "v2");
      each->store(make_record(10, "v3", 2, 2));
      BOOST_TEST(each->find(10).empty());
      each->advance(lifetime_ms + 1000);
      BOOST_TEST(each->machine.size() == 0U);
    }
  }
  BOOST_TEST(machine.snapshot() == other.machine.snapshot());
}

BOOST_FIXTURE_TEST_CASE(empty_state_has_no_stream_and_no_base_version,
                        machine_fixture) {
  store(make_record(7, "v2"));
  machine.restore(empty_stream_versions());
  BOOST_TEST(machine.size() == 0U);
  BOOST_TEST(machine.base("models").empty());
  BOOST_TEST(find(7).empty());
}

BOOST_FIXTURE_TEST_CASE(streams_beyond_the_limit_are_not_stored,
                        machine_fixture) {
  stream_version_command command;
  for (std::uint64_t stream = 1; stream <= stream_version_machine::max_streams;
       ++stream) {
    command.stored.push_back(make_record(stream, "v2"));
  }
  apply(command);
  const std::uint64_t beyond = stream_version_machine::max_streams + 1;
  BOOST_TEST(machine.size() == stream_version_machine::max_streams);
  BOOST_TEST(!store(make_record(beyond, "v2")));
  BOOST_TEST(machine.size() == stream_version_machine::max_streams);
  // What is stored may still change.
  BOOST_TEST(store(make_record(1, "v3", 1, 2)));
  BOOST_TEST(find(1) == "v3");
  advance(lifetime_ms + 1000);
  BOOST_TEST(store(make_record(beyond, "v2")));
}

BOOST_FIXTURE_TEST_CASE(malformed_command_changes_nothing, machine_fixture) {
  store(make_record(7, "v2"));
  const nlohmann::json before = machine.snapshot();
  nlohmann::json valid =
      stream_version_machine::make_command(stream_version_command());
  const std::pair<const char*, nlohmann::json> cases[] = {
      {"elapsed_ms", "soon"},
      {"bases", 5},
      {"bases", {{"models", "v2"}}},
      {"stored", {{{"stream", 8}}}},
      {"stored", "all"},
      {"wanted", {5}}};
  for (const auto& [field, value] : cases) {
    nlohmann::json command = valid;
    command[field] = value;
    BOOST_TEST_CONTEXT(command.dump()) {
      BOOST_TEST(machine.apply(++index, command).contains("error"));
      BOOST_TEST(machine.snapshot() == before);
    }
  }
  for (const nlohmann::json& command :
       {nlohmann::json(), nlohmann::json::array(), nlohmann::json("word"),
        nlohmann::json::object()}) {
    BOOST_TEST_CONTEXT(command.dump()) {
      BOOST_TEST(machine.apply(++index, command).contains("error"));
      BOOST_TEST(machine.snapshot() == before);
    }
  }
}
