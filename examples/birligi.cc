// The configuration of the Ege Birliği Fiyat Listesi Yönlendirme Sahası:
// prints the document that `citronwharf apply - --base=N` takes.
#include <iostream>
#include <string>

#include "citronwharf/builder.h"

namespace {

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

constexpr int model_servers = 20;
constexpr int prefill_servers = 8;
constexpr int service_servers = 3;
constexpr int entries = 3;
const std::string model = "teklif-model";

std::string domain_of(int number) {
  return std::string("izmir-") + static_cast<char>('a' + number % 3);
}

std::string address_of(int network, int number, int port) {
  return "10.20." + std::to_string(network) + "." + std::to_string(number + 1) +
         ":" + std::to_string(port);
}

void add_organisations(configuration_builder& all) {
  all.add(organisation_builder("kuzey-ithalat").weight(4).limit(9000, 120000));
  all.add(organisation_builder("liman-gumruk").weight(3).limit(6000, 80000));
  all.add(organisation_builder("soguk-depo").weight(2).limit(4000, 60000));
  all.add(organisation_builder("korfez-balik").weight(1).limit(1500, 30000));
  all.add(organisation_builder("ada-su-urunleri").weight(1).limit(800, 20000));
}

void add_routes(configuration_builder& all) {
  // Offer summaries read the full sheet; callers wait.
  all.add(pools_route("offer-summaries")
              .model(model)
              .pools("teklif-prefill", "teklif-decode")
              .service(service_class::summary)
              .methods({"POST"})
              .targets(milliseconds(580), milliseconds(32))
              .deadline(milliseconds(60000)));
  // Price commits run at most once.
  all.add(plain_route("price-commits")
              .pool("fiyat-servis")
              .service(service_class::commit)
              .not_idempotent()
              .methods({"POST"})
              .deadline(milliseconds(10000)));
  all.add(plain_route("sheet-lookups")
              .pool("fiyat-servis")
              .service(service_class::lookup)
              .methods({"GET", "HEAD"})
              .deadline(milliseconds(3000)));
}

void add_machines(configuration_builder& all) {
  for (int n = 0; n < model_servers; ++n) {
    endpoint_builder server("teklif-" + std::to_string(n + 1),
                            address_of(1, n, 7002));
    server.at("izmir", domain_of(n)).checks_fencing();
    if (n < prefill_servers) {
      server.prefill("teklif-prefill", model);
    } else {
      server.decode("teklif-decode", model);
    }
    all.add(server);
  }
  for (int n = 0; n < service_servers; ++n) {
    all.add(endpoint_builder("fiyat-" + std::to_string(n + 1),
                             address_of(2, n, 7002))
                .plain("fiyat-servis")
                .at("izmir", domain_of(n)));
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
