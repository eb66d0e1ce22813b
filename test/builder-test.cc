// Tests that `apply` accepts the output of the configuration library, its
// examples and the quick start.
#include "citronwharf/builder.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>

#include "configuration-samples.h"
#include "control/configuration_machine.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

std::string output_of(const std::string& program) {
  const std::string path =
      std::string(std::getenv("CITRONWHARF_BUILD")) + "/" + program;
  std::FILE* pipe = popen(path.c_str(), "r");
  BOOST_REQUIRE(pipe != nullptr);
  std::string text;
  std::array<char, 4096> part{};
  for (std::size_t read = 1; read > 0;) {
    read = std::fread(part.data(), 1, part.size(), pipe);
    text.append(part.data(), read);
  }
  BOOST_TEST(pclose(pipe) == 0);
  return text;
}

std::string quick_start() {
  std::ifstream file(std::string(std::getenv("CITRONWHARF_SOURCE")) +
                     "/examples/quickstart.json");
  std::string text{std::istreambuf_iterator<char>(file),
                   std::istreambuf_iterator<char>()};
  // Replaces each placeholder by a distinct address.
  const std::regex placeholder("@[a-z0-9-]+@");
  for (int port = 1; std::regex_search(text, placeholder); ++port) {
    text = std::regex_replace(text, placeholder,
                              "127.0.0.1:" + std::to_string(port),
                              std::regex_constants::format_first_only);
  }
  return text;
}

}  // namespace

BOOST_AUTO_TEST_CASE(examples_and_quick_start_are_valid) {
  for (const std::string& text :
       {output_of("example_birligi"), output_of("example_ratumaibulu"),
        quick_start()}) {
    configuration_machine machine;
    const json result =
        machine.apply(1, apply_command("x", 0, json::parse(text)));
    BOOST_TEST(result.at("outcome") == "changed", result.dump());
  }
}

BOOST_AUTO_TEST_CASE(builder_reports_faults_and_omits_keys) {
  configuration_builder builder;
  builder.based_on(7).add(organisation_builder("importers"));
  // Reports the missing rate and burst.
  BOOST_REQUIRE(builder.faults().size() == 2U);
  BOOST_TEST(builder.faults()[0].find("/organisations/0/limit") == 0U);
  const json document = json::parse(builder.document());
  BOOST_TEST(document.at("version") == 7);
  BOOST_TEST(!document.contains("keys"));
}
