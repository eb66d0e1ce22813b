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
  std::int64_t weights = 0;
  for (const weighted_service& target : route.services) {
    if (services.count(target.service) == 0) {
      return fmt::format("route {}: service {} does not exist", route.name,
                         target.service);
    }
    if (target.weight < 0) {
      return fmt::format("route {}: the weight of {} is negative", route.name,
                         target.service);
    }
    weights += target.weight;
  }
  if (weights == 0) {
    return fmt::format("route {}: the weights add up to 0", route.name);
  }
  return "";
}

template <typename Items>
std::unordered_map<std::string, std::size_t> index_by_name(const Items& items) {
  std::unordered_map<std::string, std::size_t> out;
  for (std::size_t at = 0; at < items.size(); ++at) {
    out.emplace(items[at].name, at);
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
  std::set<std::pair<std::string, std::string>> places;
  for (const gateway_route& route : in.routes) {
    std::string fault = find_route_fault(route, services);
    if (!fault.empty()) {
      return fault;
    }
    const std::string host = absl::AsciiStrToLower(route.host);
    if (!places.emplace(host, route.path_prefix).second) {
      return fmt::format("route {}: another route has host {} and prefix {}",
                         route.name, route.host, route.path_prefix);
    }
  }
  std::map<std::string, std::string> holders;  // by key digest
  for (const gateway_organisation& organisation : in.organisations) {
    for (const std::string& digest : organisation.key_digests) {
      const auto holder = holders.emplace(digest, organisation.name).first;
      if (holder->second != organisation.name) {
        return fmt::format("organisations {} and {} share a key",
                           holder->second, organisation.name);
      }
    }
  }
  return "";
}

routing_table::routing_table(gateway_configuration configuration)
    : configuration_(std::move(configuration)),
      organisations_(index_by_name(configuration_.organisations)),
      services_(index_by_name(configuration_.services)) {
  const auto& routes = configuration_.routes;
  for (std::size_t at = 0; at < routes.size(); ++at) {
    by_host_[absl::AsciiStrToLower(routes[at].host)].push_back(at);
  }
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [&routes](std::size_t lhs, std::size_t rhs) {
                       return routes[lhs].path_prefix.size() >
                              routes[rhs].path_prefix.size();
                     });
  }
  for (std::size_t at = 0; at < configuration_.organisations.size(); ++at) {
    for (const auto& digest : configuration_.organisations[at].key_digests) {
      by_key_.emplace(digest, at);
    }
  }
}

const gateway_route* routing_table::find_route(const std::string& host,
                                               const std::string& path) const {
  const auto routes = by_host_.find(absl::AsciiStrToLower(host));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  for (const std::size_t at : routes->second) {
    const gateway_route& route = configuration_.routes[at];
    if (absl::StartsWith(path, route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const gateway_organisation* routing_table::find_organisation(
    const std::string& key_digest) const {
  return find_in(by_key_, configuration_.organisations, key_digest);
}

const gateway_organisation* routing_table::organisation_named(
    const std::string& name) const {
  return find_in(organisations_, configuration_.organisations, name);
}

const gateway_service* routing_table::find_service(
    const std::string& name) const {
  return find_in(services_, configuration_.services, name);
}

}  // namespace citronwharf
