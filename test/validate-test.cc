// Tests that each fault in a configuration document is reported with its JSON
// pointer.
#include "control/validate.h"

#include <boost/test/unit_test.hpp>

#include "configuration-samples.h"
#include "control/configuration_machine.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

// A valid document with one value set or, if null, erased.
struct whole_case {
  const char* changed_pointer;  ///< JSON pointer of the changed value
  json value;
  const char* fault_pointer;  ///< "": same as changed_pointer
};

struct partial_case {
  json document;
  const char* fault_pointer;
};

std::vector<configuration_fault> faults_of(const json& document, bool partial) {
  configuration_machine machine;
  std::uint64_t base = 0;
  if (partial) {
    machine.apply(1, apply_command("first", 0, good_document()));
    base = 1;
  }
  return machine.apply(2, apply_command("x", base, document, partial))
      .get<change_result>()
      .faults;
}

json changed_document(const whole_case& in) {
  json document = good_document();
  const json::json_pointer changed(in.changed_pointer);
  if (!in.value.is_null()) {
    document[changed] = in.value;
  } else if (document.at(changed.parent_pointer()).is_array()) {
    document.at(changed.parent_pointer()).erase(std::stoul(changed.back()));
  } else {
    document.at(changed.parent_pointer()).erase(changed.back());
  }
  return document;
}

}  // namespace

BOOST_AUTO_TEST_CASE(valid_document_has_no_faults) {
  BOOST_TEST(faults_of(good_document(), false).empty());
}

BOOST_AUTO_TEST_CASE(each_fault_of_whole_document_is_reported) {
  const std::vector<whole_case> cases{
      // Schema.
      {"/routs", json::array(), ""},
      {"/remove", json::object(), ""},
      {"/version", -1, ""},
      {"/routes", 7, ""},
      {"/routes/0", 7, ""},
      {"/routes/0/name", nullptr, "/routes/0"},
      {"/routes/0/name", 7, ""},
      {"/routes/0/name", "", ""},
      {"/routes/0/name", "a b", ""},
      {"/routes/0/name", std::string(65, 'a'), ""},
      {"/routes/0/name", "gr\xC3\xBC", ""},
      {"/routes/1/name", "offer-summaries", ""},
      {"/routes/0/colour", "red", ""},
      {"/routes/0/kind", "tcp", ""},
      {"/routes/0/access", "all", ""},
      {"/routes/0/service", "bulk", ""},
      {"/routes/0/idempotent", "no", ""},
      {"/routes/0/methods", {"FETCH"}, ""},
      {"/routes/0/methods", "POST", ""},
      {"/routes/0/deadline_ms", 0, ""},
      {"/routes/0/deadline_ms", 1.5, ""},
      {"/routes/0/deadline_ms", "1", ""},
      {"/routes/0/max_output_tokens", 0, ""},
      {"/routes/0/max_body_bytes", -1, ""},
      {"/organisations/0/weight", 0, ""},
      {"/organisations/0/limit", 7, ""},
      {"/organisations/0/limit/rate", 7, ""},
      {"/organisations/0/limit/burst_tokens", "many", ""},
      {"/organisations/0/limit/tokens_per_second", -1, ""},
      {"/endpoints/0/role", "cook", ""},
      {"/endpoints/0/address", "localhost:80", ""},
      {"/endpoints/0/address", "10.0.0.1", ""},
      {"/endpoints/0/address", "10.0.0.1:65536", ""},
      {"/endpoints/0/address", "10.0.0.256:1", ""},
      {"/endpoints/0/address", "10.0.0.1:1x", ""},
      {"/keys/0/digest", "abc", ""},
      {"/keys/0/digest", std::string(64, 'G'), ""},
      {"/keys/0/withdrawn", 0, ""},
      {"/keys/0/secret", "cw_1", ""},
      {"/entries/0/name", "e/1", ""},
      // References, and members required by each kind.
      {"/organisations/0/limit", nullptr, ""},
      {"/organisations/1", nullptr, "/keys/0/organisation"},
      {"/keys/0/organisation", "nobody", ""},
      {"/keys/0/digest", nullptr, ""},
      {"/keys/1",
       {{"id", "k2"},
        {"organisation", "importers"},
        {"digest", std::string(64, 'a')}},
       "/keys/1/digest"},
      {"/routes/0/methods", json::array(), ""},
      {"/routes/0/model", nullptr, ""},
      {"/routes/0/model", "other", "/routes/0/prefill_pool"},
      {"/routes/0/prefill_pool", nullptr, ""},
      {"/routes/0/prefill_pool", "nowhere", ""},
      {"/routes/0/prefill_pool", "decode", ""},
      {"/routes/0/decode_pool", "sheet", ""},
      {"/routes/0/plain_pool", "sheet", ""},
      {"/routes/1/plain_pool", nullptr, ""},
      {"/routes/1/plain_pool", "decode", ""},
      {"/routes/1/model", "teklif-model", ""},
      {"/routes/1/prefill_pool", "prefill", ""},
      {"/routes/1/decode_pool", "decode", ""},
      {"/endpoints/0", nullptr, "/routes/0/decode_pool"},
      {"/endpoints/0/pool", nullptr, ""},
      {"/endpoints/0/model", nullptr, ""},
      {"/endpoints/3/model", "teklif-model", ""},
      {"/endpoints/0/address", nullptr, ""},
      {"/endpoints/0/address", "10.0.0.1:1", "/endpoints/1/address"},
      {"/endpoints/0/pool", "prefill", "/endpoints/1/role"},
      {"/entries/0/name", "d1", ""},
      {"/entries/0/address", "10.0.0.1:1", ""},
      {"/entries/0/address", nullptr, ""}};
  for (const whole_case& each : cases) {
    BOOST_TEST_CONTEXT(
        each.changed_pointer
        << " = "
        << each.value.dump(-1, ' ', false, json::error_handler_t::replace)) {
      const auto faults = faults_of(changed_document(each), false);
      const std::string expected = *each.fault_pointer == '\0'
                                       ? each.changed_pointer
                                       : each.fault_pointer;
      const bool found = std::any_of(
          faults.begin(), faults.end(),
          [&](const auto& fault) { return fault.pointer == expected; });
      BOOST_TEST(found, expected << " not in " << json(faults).dump());
    }
  }
}

BOOST_AUTO_TEST_CASE(each_fault_of_partial_document_is_reported) {
  const std::vector<partial_case> cases{
      {json(7), ""},
      {{{"remove", 7}}, "/remove"},
      {{{"remove", {{"routs", {"a"}}}}}, "/remove/routs"},
      {{{"remove", {{"routes", "a"}}}}, "/remove/routes"},
      {{{"remove", {{"routes", {7}}}}}, "/remove/routes/0"},
      {{{"remove", {{"organisations", {"brokers", "importers"}}}}},
       "/remove/organisations/1"},
      {{{"remove", {{"endpoints", {"s1"}}}}}, "/endpoints"},
      {{{"keys", {{{"id", "k1"}, {"organisation", "nobody"}}}}},
       "/keys/0/organisation"},
      {{{"routes", {{{"name", "price-commits"}, {"kind", "pools"}}}}},
       "/routes/0/model"}};
  for (const partial_case& each : cases) {
    BOOST_TEST_CONTEXT(each.document.dump()) {
      const auto faults = faults_of(each.document, true);
      BOOST_REQUIRE(!faults.empty());
      BOOST_TEST(faults.front().pointer == each.fault_pointer);
    }
  }
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_together) {
  json document = good_document();
  document["routs"] = 1;
  document["routes"][0]["kind"] = "tcp";
  document["endpoints"][0]["address"] = "x";
  BOOST_TEST(faults_of(document, false).size() == 3U);
}
