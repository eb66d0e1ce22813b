#include "configuration-samples.h"

#include "control/configuration_machine.h"

namespace citronwharf::test {

using nlohmann::json;

json good_document() {
  const json limit = {{"tokens_per_second", 1000}, {"burst_tokens", 20000}};
  const auto engine = [](const char* name, int port, const char* role) {
    return json{{"name", name},
                {"address", "10.0.0.1:" + std::to_string(port)},
                {"pool", role},
                {"role", role},
                {"model", "teklif-model"}};
  };
  return {{"organisations",
           {{{"name", "brokers"}, {"limit", limit}},
            {{"name", "importers"}, {"weight", 2.0}, {"limit", limit}}}},
          {"keys",
           {{{"id", "k1"},
             {"organisation", "importers"},
             {"digest", std::string(64, 'a')}}}},
          {"routes",
           {{{"name", "offer-summaries"},
             {"model", "teklif-model"},
             {"prefill_pool", "prefill"},
             {"decode_pool", "decode"},
             {"methods", {"POST"}}},
            {{"name", "price-commits"},
             {"kind", "plain"},
             {"service", "commit"},
             {"idempotent", false},
             {"plain_pool", "sheet"},
             {"methods", {"POST"}}}}},
          {"endpoints",
           {engine("d1", 2, "decode"),
            engine("p1", 1, "prefill"),
            engine("p2", 3, "prefill"),
            {{"name", "s1"},
             {"address", "10.0.0.1:4"},
             {"pool", "sheet"},
             {"role", "plain"}}}},
          {"entries", {{{"name", "e1"}, {"address", "10.0.0.1:5"}}}}};
}

json apply_command(const std::string& operation, std::uint64_t base,
                   const json& document, bool partial) {
  configuration_command command;
  command.operation = operation;
  command.author = "author of " + operation;
  command.base = base;
  command.partial = partial;
  command.document = document;
  return command;
}

json weight_document(double weight) {
  return {{"organisations", {{{"name", "brokers"}, {"weight", weight}}}}};
}

}  // namespace citronwharf::test
