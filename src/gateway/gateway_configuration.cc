#include "gateway/gateway_configuration.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace citronwharf {
namespace {

std::string find_route_fault(const gateway_route& route,
                             const std::set<std::string>& services) {
  if (route.timeout_ms <= 0) {
    return fmt::format("route {}: the timeout must be over 0", route.name);
  }
  std::int64_t total_weight = 0;
  for (const weighted_service& target : route.services) {
    if (services.count(target.service) == 0) {
      return fmt::format("route {}: service {} does not exist", route.name,
                         target.service);
    }
    if (target.weight < 0) {
      return fmt::format("route {}: the weight of {} is negative", route.name,
                         target.service);
    }
    total_weight += target.weight;
  }
  if (total_weight == 0) {
    return fmt::format("route {}: the weights add up to 0", route.name);
  }
  return "";
}

std::string find_shared_key(
    const std::vector<gateway_organisation>& organisations) {
  std::map<std::string, std::string> organisation_by_digest;
  for (const gateway_organisation& organisation : organisations) {
    for (const std::string& digest : organisation.key_digests) {
      const auto first_holder =
          organisation_by_digest.emplace(digest, organisation.name).first;
      if (first_holder->second != organisation.name) {
        return fmt::format("organisations {} and {} share a key",
                           first_holder->second, organisation.name);
      }
    }
  }
  return "";
}

template <typename Items>
std::unordered_map<std::string, std::size_t> index_by_name(const Items& items) {
  std::unordered_map<std::string, std::size_t> out;
  for (std::size_t i = 0; i < items.size(); ++i) {
    out.emplace(items[i].name, i);
  }
  return out;
}

template <typename Item>
const Item* find_in(const std::unordered_map<std::string, std::size_t>& index,
                    const std::vector<Item>& items, const std::string& name) {
  const auto found = index.find(name);
  return found == index.end() ? nullptr : &items[found->second];
}

}  // namespace

std::string find_fault(const gateway_configuration& in) {
  std::set<std::string> services;
  for (const gateway_service& service : in.services) {
    services.insert(service.name);
  }
  std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
  for (const gateway_route& route : in.routes) {
    std::string problem = find_route_fault(route, services);
    if (!problem.empty()) {
      return problem;
    }
    const std::string host = absl::AsciiStrToLower(route.host);
    if (!hosts_and_prefixes.emplace(host, route.path_prefix).second) {
      return fmt::format("route {}: another route has host {} and prefix {}",
                         route.name, route.host, route.path_prefix);
    }
  }
  return in.organisations ? find_shared_key(*in.organisations) : "";
}

routing_table::routing_table(gateway_configuration configuration)
    : configuration_(std::move(configuration)),
      organisations_by_name_(index_by_name(organisations())),
      services_by_name_(index_by_name(configuration_.services)),
      urgencies_(configuration_) {
  const auto& routes = configuration_.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    routes_by_host_[absl::AsciiStrToLower(routes[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : routes_by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [&routes](std::size_t lhs, std::size_t rhs) {
                       return routes[lhs].path_prefix.size() >
                              routes[rhs].path_prefix.size();
                     });
  }
  for (std::size_t i = 0; i < organisations().size(); ++i) {
    for (const auto& digest : organisations()[i].key_digests) {
      organisations_by_key_digest_.emplace(digest, i);
    }
  }
}

const gateway_route* routing_table::find_route(const std::string& host,
                                               const std::string& path) const {
  const auto routes = routes_by_host_.find(absl::AsciiStrToLower(host));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  for (const std::size_t i : routes->second) {
    const gateway_route& route = configuration_.routes[i];
    if (absl::StartsWith(path, route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const gateway_organisation* routing_table::find_organisation(
    const std::string& key_digest) const {
  return find_in(organisations_by_key_digest_, organisations(), key_digest);
}

const gateway_organisation* routing_table::find_organisation_by_name(
    const std::string& name) const {
  return find_in(organisations_by_name_, organisations(), name);
}

const gateway_service* routing_table::find_service(
    const std::string& name) const {
  return find_in(services_by_name_, configuration_.services, name);
}

const std::vector<gateway_organisation>& routing_table::organisations() const {
  static const std::vector<gateway_organisation> none;
  return configuration_.organisations ? *configuration_.organisations : none;
}

}  // namespace citronwharf
