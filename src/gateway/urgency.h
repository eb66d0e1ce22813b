/// Urgency of requests, derived from the ranks of routes and organisations.
#ifndef CITRONWHARF_GATEWAY_URGENCY_H_
#define CITRONWHARF_GATEWAY_URGENCY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace citronwharf {

struct gateway_configuration;
struct gateway_organisation;
struct gateway_route;

/// The distinct ranks of a configuration. Designed for this load: one service
/// has routes of several ranks and more requests than can be served, so the
/// less urgent ones are delayed or refused first. An urgency is the position of
/// a rank among the distinct ranks that compete: 0 is the most urgent, and the
/// only one where all ranks are equal. Immutable; thread-safe.
class urgency_table {
 public:
  urgency_table() = default;
  explicit urgency_table(const gateway_configuration& in);

  /// Returns the position of a route's rank among the ranks of the routes of
  /// `service`. It orders the requests of one organisation.
  std::int64_t of_route(const std::string& service,
                        const gateway_route& route) const;
  /// Returns whether the routes of `service` differ in rank.
  bool has_ranks(const std::string& service) const;
  /// Returns the urgency among the requests of all organisations: an
  /// organisation's rank takes precedence over its route's. `organisation` may
  /// be null; it then has the rank 0.
  std::int64_t of_request(const std::string& service,
                          const gateway_route& route,
                          const gateway_organisation* organisation) const;
  /// Returns the number of urgencies that of_request() distinguishes for
  /// `service`, at least 1.
  std::int64_t levels(const std::string& service) const;

 private:
  // Sorted distinct ranks.
  std::unordered_map<std::string, std::vector<std::int64_t>> route_ranks_;
  std::vector<std::int64_t> organisation_ranks_;
};

/// Returns how long a generation may wait for its allowance, so that its first
/// event, `first_event` after the grant if no other prompt is ahead, comes
/// within the latency objective.
duration max_generation_wait(duration objective, duration first_event);

/// Returns a time after which a refused caller should retry: `wait`, or if the
/// caller has too little time left to honour it, a time spread over the later
/// half of what it honours. `draw` is a random number from [0, 1).
duration spread_retry_wait(duration wait, duration time_left, double draw);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_URGENCY_H_
