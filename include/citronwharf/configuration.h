/// The configuration that operators apply: organisations, keys, routes and
/// endpoints, as immutable value types.
#ifndef CITRONWHARF_CONFIGURATION_H_
#define CITRONWHARF_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

namespace citronwharf {

/// How many tokens an organisation may use over the whole fleet.
/// Tokens are counted over prompt and output.
struct allowance {
  double tokens_per_second = 0;
  double burst_tokens = 0;
};

/// A customer of the system. Example: {"importers", 1.0, {1000, 20000}}
struct organisation {
  std::string name;
  double weight = 1.0;  ///< share where the scarce thing is, > 0
  allowance limit;
};

/// An access key. Only the SHA-256 of the secret is kept, in hex.
struct api_key {
  std::string id;
  std::string organisation;
  std::string digest;
  bool withdrawn = false;
};

/// What kind of back end serves a route.
enum class route_kind { pools, plain };
/// Who may call a route: callers with a key, or all.
enum class route_access { keyed, open };
/// Classes of requests, most urgent first; the class is the engine's priority.
enum class service_class { commit, lookup, summary };

/// A path that callers use. Pools routes name a prefill and a decode pool;
/// plain routes name one pool of plain endpoints.
struct route {
  std::string name;
  route_kind kind = route_kind::pools;
  route_access access = route_access::keyed;
  service_class service = service_class::summary;
  bool idempotent = true;
  std::string model;                 ///< pools routes only
  std::string prefill_pool;          ///< pools routes only
  std::string decode_pool;           ///< pools routes only
  std::string plain_pool;            ///< plain routes only
  std::vector<std::string> methods;  ///< allowed HTTP methods
  std::int64_t first_token_target_ms = 580;
  std::int64_t between_tokens_target_ms = 32;
  std::int64_t deadline_ms = 30000;  ///< longest life of a request
  std::int64_t max_body_bytes = 1 << 20;
  std::int64_t max_output_tokens = 4096;
  std::int64_t plain_cost_tokens = 1;  ///< charge for one plain call
};

/// What an endpoint does.
enum class endpoint_role { prefill, decode, plain };

/// One back end and the endpoint process beside it.
struct endpoint {
  std::string name;     ///< also the process name of its endpoint process
  std::string address;  ///< "ip:port" of the endpoint process
  std::string pool;
  endpoint_role role = endpoint_role::plain;
  std::string model;  ///< "" for plain services
  std::string adapter;
  std::string model_version;
  std::string region;
  std::string failure_domain;
  bool checks_fencing = false;
  bool draining = false;
};

/// An entry process, member of the fleet that homes allowances.
struct entry_member {
  std::string name;
  std::string address;  ///< "ip:port" for peers
  std::string failure_domain;
};

/// The whole configuration. Names are unique within each list, and the lists
/// are sorted by name (keys by id) once accepted.
struct configuration {
  std::uint64_t version = 0;  ///< only ever goes up
  std::vector<organisation> organisations;
  std::vector<api_key> keys;
  std::vector<route> routes;
  std::vector<endpoint> endpoints;
  std::vector<entry_member> entries;
};

bool operator==(const allowance& lhs, const allowance& rhs);
bool operator!=(const allowance& lhs, const allowance& rhs);
bool operator==(const organisation& lhs, const organisation& rhs);
bool operator!=(const organisation& lhs, const organisation& rhs);
bool operator==(const api_key& lhs, const api_key& rhs);
bool operator!=(const api_key& lhs, const api_key& rhs);
bool operator==(const route& lhs, const route& rhs);
bool operator!=(const route& lhs, const route& rhs);
bool operator==(const endpoint& lhs, const endpoint& rhs);
bool operator!=(const endpoint& lhs, const endpoint& rhs);
bool operator==(const entry_member& lhs, const entry_member& rhs);
bool operator!=(const entry_member& lhs, const entry_member& rhs);
bool operator==(const configuration& lhs, const configuration& rhs);
bool operator!=(const configuration& lhs, const configuration& rhs);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONFIGURATION_H_
