#include "base/configuration_json.h"

#include "base/value.h"

// Defines out-of-line equality and JSON conversion. Members absent from the
// JSON get the type's defaults.
#define CITRONWHARF_DEFINE_VALUE(type, ...)                                    \
  void to_json(nlohmann::json& nlohmann_json_j, const type& nlohmann_json_t) { \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))   \
  }                                                                            \
  void from_json(const nlohmann::json& nlohmann_json_j,                        \
                 type& nlohmann_json_t) {                                      \
    const type nlohmann_json_default_obj;                                      \
    NLOHMANN_JSON_EXPAND(                                                      \
        NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM_WITH_DEFAULT, __VA_ARGS__))     \
  }                                                                            \
  bool operator==(const type& lhs, const type& rhs) {                          \
    return true NLOHMANN_JSON_EXPAND(                                          \
        NLOHMANN_JSON_PASTE(CITRONWHARF_EQUAL_MEMBER, __VA_ARGS__));           \
  }                                                                            \
  bool operator!=(const type& lhs, const type& rhs) {                          \
    return !(lhs == rhs);                                                      \
  }

namespace citronwharf {

CITRONWHARF_DEFINE_VALUE(allowance, tokens_per_second, burst_tokens)
CITRONWHARF_DEFINE_VALUE(organisation, name, weight, limit)
CITRONWHARF_DEFINE_VALUE(api_key, id, organisation, digest, withdrawn)
CITRONWHARF_DEFINE_VALUE(route, name, kind, access, service, idempotent, model,
                         prefill_pool, decode_pool, plain_pool, methods,
                         first_token_target_ms, between_tokens_target_ms,
                         deadline_ms, max_body_bytes, max_output_tokens,
                         plain_cost_tokens)
CITRONWHARF_DEFINE_VALUE(endpoint, name, address, pool, role, model, adapter,
                         model_version, region, failure_domain, checks_fencing,
                         draining)
CITRONWHARF_DEFINE_VALUE(entry_member, name, address, failure_domain)
CITRONWHARF_DEFINE_VALUE(configuration, version, organisations, keys, routes,
                         endpoints, entries)

}  // namespace citronwharf
