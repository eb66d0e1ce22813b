#include "gateway/urgency.h"

#include <algorithm>

#include "gateway/gateway_configuration.h"

namespace citronwharf {
namespace {

// Callers honour a Retry-After of up to this share of their remaining time.
constexpr double max_retry_share = 1.0 / 3;

// Bounds of the wait for an allowance, as shares of the objective. Large
// prompts that miss their objective in any case also get the lower one, so that
// they have a chance of being served.
constexpr double min_wait_share = 0.42;
constexpr double max_wait_share = 0.65;
// Time for other prompts at the engine and for transfers, as a share of the
// objective.
constexpr double queue_share = 0.1;

void make_distinct(std::vector<std::int64_t>& ranks) {
  std::sort(ranks.begin(), ranks.end());
  ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
}

std::int64_t position(const std::vector<std::int64_t>& ranks,
                      std::int64_t rank) {
  return std::lower_bound(ranks.begin(), ranks.end(), rank) - ranks.begin();
}

}  // namespace

urgency_table::urgency_table(const gateway_configuration& in) {
  for (const gateway_route& route : in.routes) {
    for (const weighted_service& each : route.services) {
      route_ranks_[each.service].push_back(route.rank);
    }
  }
  for (auto& [service, ranks] : route_ranks_) {
    make_distinct(ranks);
  }
  if (in.organisations) {
    for (const gateway_organisation& each : *in.organisations) {
      organisation_ranks_.push_back(each.rank);
    }
  }
  make_distinct(organisation_ranks_);
}

std::int64_t urgency_table::of_route(const std::string& service,
                                     const gateway_route& route) const {
  const auto found = route_ranks_.find(service);
  return found == route_ranks_.end() ? 0 : position(found->second, route.rank);
}

bool urgency_table::has_ranks(const std::string& service) const {
  const auto found = route_ranks_.find(service);
  return found != route_ranks_.end() && found->second.size() > 1;
}

std::int64_t urgency_table::of_request(
    const std::string& service, const gateway_route& route,
    const gateway_organisation* organisation) const {
  const auto found = route_ranks_.find(service);
  const auto route_levels = static_cast<std::int64_t>(
      found == route_ranks_.end() ? 1 : found->second.size());
  const std::int64_t owner = position(
      organisation_ranks_, organisation == nullptr ? 0 : organisation->rank);
  return owner * route_levels + of_route(service, route);
}

std::int64_t urgency_table::levels(const std::string& service) const {
  const auto found = route_ranks_.find(service);
  const std::size_t route_levels =
      found == route_ranks_.end() ? 1 : found->second.size();
  return static_cast<std::int64_t>(
      route_levels * std::max<std::size_t>(1, organisation_ranks_.size()));
}

duration max_generation_wait(duration objective, duration first_event) {
  const auto share = [objective](double of) {
    return std::chrono::duration_cast<duration>(objective * of);
  };
  return std::clamp(objective - first_event - share(queue_share),
                    share(min_wait_share), share(max_wait_share));
}

duration spread_retry_wait(duration wait, duration time_left, double draw) {
  const auto honoured =
      std::chrono::duration_cast<duration>(time_left * max_retry_share);
  if (wait <= honoured) {
    return wait;
  }
  constexpr double least = 0.5;
  return std::max(duration{}, std::chrono::duration_cast<duration>(
                                  honoured * (least + (1 - least) * draw)));
}

}  // namespace citronwharf
