/// Operators' configuration of a gateway: routes by host and path, services,
/// organisations and limits. A gateway does not interpret the requests that it
/// forwards to the servers listed in a directory.
#ifndef CITRONWHARF_GATEWAY_GATEWAY_CONFIGURATION_H_
#define CITRONWHARF_GATEWAY_GATEWAY_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/value.h"
#include "gateway/urgency.h"

namespace citronwharf {

/// Whether requests of a route may be repeated after a failed attempt.
enum class repeatability {
  idempotent,       ///< may be executed any number of times
  at_most_once,     ///< is executed once at most
  resumable_stream  ///< may be continued after the last event delivered
};
NLOHMANN_JSON_SERIALIZE_ENUM(repeatability,
                             {{repeatability::idempotent, "idempotent"},
                              {repeatability::at_most_once, "at_most_once"},
                              {repeatability::resumable_stream,
                               "resumable_stream"}})

struct weighted_service {
  std::string service;
  std::int64_t weight = 1;
};
CITRONWHARF_VALUE(weighted_service, service, weight)

struct gateway_route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  repeatability repeat = repeatability::at_most_once;
  bool stream = false;           ///< the response is a stream of events
  bool open = false;             ///< served without a key
  bool carries_prompt = false;   ///< requests declare prompt and tokens
  std::int64_t max_servers = 1;  ///< that may run one request
  std::int64_t timeout_ms = 0;
  std::int64_t objective_ms = 0;      ///< latency objective
  std::int64_t gap_objective_ms = 0;  ///< gap between events of a stream
  std::int64_t rank = 0;              ///< 0 is the most urgent
  std::vector<weighted_service> services;
};
CITRONWHARF_VALUE(gateway_route, name, host, path_prefix, repeat, stream, open,
                  carries_prompt, max_servers, timeout_ms, objective_ms,
                  gap_objective_ms, rank, services)

/// Capacities and timings of the model engines of a service.
struct engine_profile {
  std::int64_t slots = 0;
  std::int64_t kv_tokens = 0;
  std::int64_t kv_bytes_per_token = 0;
  std::int64_t export_lifetime_ms = 0;  ///< of a KV cache that isn't fetched
  std::int64_t max_hold_ms = 0;
  std::int64_t switch_ms = 0;         ///< duration of a change of stage
  std::int64_t tokens_per_event = 1;  ///< in a stream, except its last event
};
CITRONWHARF_VALUE(engine_profile, slots, kv_tokens, kv_bytes_per_token,
                  export_lifetime_ms, max_hold_ms, switch_ms, tokens_per_event)

struct gateway_service {
  std::string name;
  std::string health_path;
  std::int64_t max_connections = 0;      ///< that a server accepts in total
  std::optional<engine_profile> engine;  ///< for model services only
  /// For this long after its start a server is cold.
  std::int64_t cold_ms = 0;
  /// Requests that a cold server takes from all gateways; 0: no limit.
  double cold_requests_per_second = 0;
};
CITRONWHARF_VALUE(gateway_service, name, health_path, max_connections, engine,
                  cold_ms, cold_requests_per_second)

struct gateway_organisation {
  std::string name;
  std::vector<std::string> key_digests;
  std::int64_t rank = 0;
  double tokens_per_second = 0;  ///< 0: no limit
  double burst_tokens = 0;
  double tokens_per_plain_request = 1;  ///< of a request without token counts
};
CITRONWHARF_VALUE(gateway_organisation, name, key_digests, rank,
                  tokens_per_second, burst_tokens, tokens_per_plain_request)

/// Limits on callers' requests and connections.
struct caller_limits {
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 4194304;
  std::int64_t header_timeout_ms = 3000;
  std::int64_t idle_timeout_ms = 15000;
};
CITRONWHARF_VALUE(caller_limits, max_header_bytes, max_body_bytes,
                  header_timeout_ms, idle_timeout_ms)

/// A complete configuration of the gateways.
struct gateway_configuration {
  std::uint64_t version = 0;  ///< set by operators; 0: none yet
  std::vector<gateway_route> routes;
  std::vector<gateway_service> services;
  /// None: requests need no key. An empty list: no key is valid.
  std::optional<std::vector<gateway_organisation>> organisations;
  caller_limits limits;
};
CITRONWHARF_VALUE(gateway_configuration, version, routes, services,
                  organisations, limits)

/// Returns the first error of a configuration, or "" if it is valid. Errors
/// are: a route to an unknown service, two routes with the same host and
/// prefix, negative weights or a sum of weights of 0, a timeout of 0 or less,
/// and a key shared by two organisations. Thread-safe.
std::string find_fault(const gateway_configuration& in);

/// A configuration with indexes for look-ups by requests. Immutable, so that
/// requests in flight can share it.
class routing_table {
 public:
  explicit routing_table(gateway_configuration configuration);

  const gateway_configuration& configuration() const { return configuration_; }
  std::uint64_t version() const { return configuration_.version; }

  /// Returns the route of `host` with the longest prefix of `path`, or nullptr.
  const gateway_route* find_route(const std::string& host,
                                  const std::string& path) const;
  /// Returns the organisation that holds the key with this digest, or nullptr.
  const gateway_organisation* find_organisation(
      const std::string& key_digest) const;
  const gateway_organisation* find_organisation_by_name(
      const std::string& name) const;
  const gateway_service* find_service(const std::string& name) const;
  const urgency_table& urgencies() const { return urgencies_; }
  /// Returns whether requests need the key of an organisation, except on open
  /// routes. Also true if the list of organisations is empty.
  bool requires_keys() const {
    return configuration_.organisations.has_value();
  }

 private:
  /// Returns the list of organisations, empty if there is none.
  const std::vector<gateway_organisation>& organisations() const;

  gateway_configuration configuration_;
  // Indexes into the routes by host in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> organisations_by_key_digest_;
  std::unordered_map<std::string, std::size_t> organisations_by_name_;
  std::unordered_map<std::string, std::size_t> services_by_name_;
  urgency_table urgencies_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_GATEWAY_CONFIGURATION_H_
