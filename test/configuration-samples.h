/// Sample configurations for the control tests.
#ifndef CITRONWHARF_TEST_CONFIGURATION_SAMPLES_H_
#define CITRONWHARF_TEST_CONFIGURATION_SAMPLES_H_

#include <nlohmann/json.hpp>
#include <string>

namespace citronwharf::test {

/// Returns a valid whole document: two organisations, a key, a pools
/// and a plain route, four endpoints, an entry.
nlohmann::json good_document();

/// Returns a command for the configuration machine on top of `base`.
nlohmann::json apply_command(const std::string& operation, std::uint64_t base,
                             const nlohmann::json& document,
                             bool partial = false);

/// Returns a partial document that sets one organisation's weight.
nlohmann::json weight_document(double weight);

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_CONFIGURATION_SAMPLES_H_
