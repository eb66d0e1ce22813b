// Tests that check_settings reports all errors at once, each with its JSON
// pointer.
#include "base/settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <set>

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

nlohmann::json valid_document() {
  return {{"process", "entry-1"},
          {"deployment", "d"},
          {"region", "izmir"},
          {"failure_domain", "izmir-a"},
          {"roles", {"entry"}},
          {"secret_file", "secret"},
          {"control", {{"seeds", {"127.0.0.1:7000"}}}}};
}

}  // namespace

BOOST_AUTO_TEST_CASE(valid_settings_get_defaults) {
  BOOST_TEST(check_settings(valid_document()).empty());
  const settings read = read_settings(valid_document());
  BOOST_TEST(read.listen.callers == "127.0.0.1:0");
  BOOST_TEST(read.control.seeds.size() == 1U);
  BOOST_TEST((nlohmann::json(read).get<settings>() == read));
}

// A budget below the largest body would refuse requests within the limits.
BOOST_AUTO_TEST_CASE(buffer_budget_follows_the_memory_of_the_vm) {
  constexpr std::size_t megabyte = 1U << 20U;
  limit_settings limits;
  BOOST_TEST(max_buffered_bytes(limits) == 32 * megabyte);
  limits.memory_mb = 88;
  BOOST_TEST(max_buffered_bytes(limits) == 33 * megabyte);
  limits.max_buffered_bytes = 8 * megabyte;
  BOOST_TEST(max_buffered_bytes(limits) == 8 * megabyte);
  limits.max_body_bytes = 4 * megabyte;
  BOOST_TEST(max_buffered_bytes(limits) > 9 * megabyte);
}

// Callers must not take the descriptors that serving them needs.
BOOST_AUTO_TEST_CASE(connections_of_callers_follow_the_descriptors) {
  limit_settings limits;
  limits.max_connections = 3000;
  const std::vector<std::pair<int, std::size_t>> table{
      {10250, 3000}, {4100, 1900}, {3075, 1387}, {200, 75}, {1, 1}};
  for (const auto& [descriptors, connections] : table) {
    limits.max_descriptors = descriptors;
    BOOST_TEST(max_caller_connections(limits) == connections);
  }
  limits.max_descriptors = 0;
  BOOST_TEST(max_caller_connections(limits) >= 1U);
  BOOST_TEST(max_caller_connections(limits) <= 3000U);
}

BOOST_AUTO_TEST_CASE(each_error_has_its_json_pointer) {
  struct test_case {
    nlohmann::json patch;
    std::string pointer;
  };
  const std::vector<test_case> cases{
      {{{"process", "a b"}}, "/process"},
      {{{"process", nullptr}}, ""},
      {{{"unknown", 1}}, ""},
      {{{"limits", {{"max_waiting", 0}}}}, "/limits/max_waiting"},
      {{{"limits", {{"nonsense", 1}}}}, "/limits"},
      {{{"listen", {{"peers", "localhost"}}}}, "/listen/peers"},
      {{{"roles", {"king"}}}, "/roles/0"},
      {{{"roles", nlohmann::json::array()}}, "/roles"},
      {{{"trace", {{"sample", 2}}}}, "/trace/sample"},
      {{{"control", {{"seeds", {"x"}}}}}, "/control/seeds/0"},
      {{{"control", nullptr}}, "/control/seeds"},
      {{{"roles", {"control"}}}, "/data_folder"},
      {{{"roles", {"endpoint"}}}, "/engine/address"},
  };
  for (const test_case& each : cases) {
    nlohmann::json document = valid_document();
    document.merge_patch(each.patch);
    std::set<std::string> pointers;
    for (const settings_fault& fault : check_settings(document)) {
      pointers.insert(fault.pointer);
    }
    BOOST_TEST(pointers.count(each.pointer) == 1U, each.patch.dump());
  }
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once) {
  nlohmann::json document = valid_document();
  document["process"] = "a b";
  document["limits"] = {{"max_waiting", 0}, {"idle_timeout_ms", "x"}};
  std::set<std::string> pointers;
  for (const settings_fault& fault : check_settings(document)) {
    pointers.insert(fault.pointer);
  }
  for (const char* pointer :
       {"/process", "/limits/max_waiting", "/limits/idle_timeout_ms"}) {
    BOOST_TEST(pointers.count(pointer) == 1U, pointer);
  }
}

BOOST_AUTO_TEST_CASE(example_settings_are_valid) {
  const char* source = std::getenv("CITRONWHARF_SOURCE");
  const std::string folder =
      std::string(source == nullptr ? "." : source) + "/examples/settings";
  int checked = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    const auto loaded = load_settings(file.path().string());
    BOOST_TEST(loaded.ok(), file.path() << ": " << loaded.status().message());
    ++checked;
  }
  BOOST_TEST(checked == 4);
}
