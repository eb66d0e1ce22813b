// The configuration of the Ratumaibulu Stationers Order and Proofing
// Deployment: prints the document that `citronwharf apply - --base=N` takes.
#include <array>
#include <iostream>
#include <string>

#include "citronwharf/builder.h"

namespace {

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

constexpr int model_servers = 10;
constexpr int prefill_servers = 4;
constexpr int order_servers = 3;
constexpr int entries = 3;
const std::string model = "proof-models";

std::string domain_of(int number) {
  static const std::array<std::string, 3> domains{"lautoka", "nadi", "ba"};
  return domains.at(static_cast<std::size_t>(number) % domains.size());
}

std::string address_of(int network, int number, int port) {
  return "10.30." + std::to_string(network) + "." + std::to_string(number + 1) +
         ":" + std::to_string(port);
}

// Equal weights, so that a resort's burst does not push out a small school.
void add_organisations(configuration_builder& all) {
  all.add(organisation_builder("lautoka-schools").limit(800, 16000));
  all.add(organisation_builder("ba-churches").limit(400, 8000));
  all.add(organisation_builder("denarau-resorts").limit(3000, 40000));
  all.add(organisation_builder("nadi-wholesale").limit(2000, 30000));
  all.add(organisation_builder("proofing-desk").limit(1500, 30000));
}

void add_routes(configuration_builder& all) {
  // Proofing reads a full cover brief and returns a short verdict.
  all.add(pools_route("proofing")
              .model(model)
              .pools("proof-prefill", "proof-decode")
              .service(service_class::summary)
              .methods({"POST"})
              .max_output_tokens(256)
              .targets(milliseconds(900), milliseconds(50))
              .deadline(milliseconds(60000)));
  // Order placement and deposit capture run at most once.
  for (const char* name : {"orders", "deposits"}) {
    all.add(plain_route(name)
                .pool("order-desk")
                .service(service_class::commit)
                .not_idempotent()
                .methods({"POST"})
                .deadline(milliseconds(15000)));
  }
  for (const char* name : {"stock", "order-status"}) {
    all.add(plain_route(name)
                .pool("order-desk")
                .service(service_class::lookup)
                .methods({"GET", "HEAD"})
                .deadline(milliseconds(5000)));
  }
}

void add_machines(configuration_builder& all) {
  for (int n = 0; n < model_servers; ++n) {
    endpoint_builder server("proof-" + std::to_string(n + 1),
                            address_of(1, n, 7002));
    server.at("viti-west", domain_of(n));
    if (n < prefill_servers) {
      server.prefill("proof-prefill", model);
    } else {
      server.decode("proof-decode", model);
    }
    all.add(server);
  }
  for (int n = 0; n < order_servers; ++n) {
    all.add(endpoint_builder("order-desk-" + std::to_string(n + 1),
                             address_of(2, n, 7002))
                .plain("order-desk")
                .at("viti-west", domain_of(n)));
  }
  for (int n = 0; n < entries; ++n) {
    all.add_entry("entry-" + std::to_string(n + 1), address_of(0, n, 7001),
                  domain_of(n));
  }
}

}  // namespace

int main() {
  configuration_builder all;
  add_organisations(all);
  add_routes(all);
  add_machines(all);
  for (const std::string& fault : all.faults()) {
    std::cerr << fault << '\n';
  }
  std::cout << all.document();
  return all.faults().empty() ? 0 : 1;
}
