/// JSON conversion of the configuration, as used by the administration API and
/// stored in the replicated log.
#ifndef CITRONWHARF_BASE_CONFIGURATION_JSON_H_
#define CITRONWHARF_BASE_CONFIGURATION_JSON_H_

#include <nlohmann/json.hpp>

#include "citronwharf/configuration.h"

namespace citronwharf {

NLOHMANN_JSON_SERIALIZE_ENUM(route_kind, {{route_kind::pools, "pools"},
                                          {route_kind::plain, "plain"}})
NLOHMANN_JSON_SERIALIZE_ENUM(route_access, {{route_access::keyed, "keyed"},
                                            {route_access::open, "open"}})
NLOHMANN_JSON_SERIALIZE_ENUM(service_class,
                             {{service_class::commit, "commit"},
                              {service_class::lookup, "lookup"},
                              {service_class::summary, "summary"}})
NLOHMANN_JSON_SERIALIZE_ENUM(endpoint_role,
                             {{endpoint_role::prefill, "prefill"},
                              {endpoint_role::decode, "decode"},
                              {endpoint_role::plain, "plain"}})

// Members absent from the JSON keep their default. Names and types are
// validated in control/validate.h.
void to_json(nlohmann::json& out, const allowance& value);
void from_json(const nlohmann::json& in, allowance& value);
void to_json(nlohmann::json& out, const organisation& value);
void from_json(const nlohmann::json& in, organisation& value);
void to_json(nlohmann::json& out, const api_key& value);
void from_json(const nlohmann::json& in, api_key& value);
void to_json(nlohmann::json& out, const route& value);
void from_json(const nlohmann::json& in, route& value);
void to_json(nlohmann::json& out, const endpoint& value);
void from_json(const nlohmann::json& in, endpoint& value);
void to_json(nlohmann::json& out, const entry_member& value);
void from_json(const nlohmann::json& in, entry_member& value);
void to_json(nlohmann::json& out, const configuration& value);
void from_json(const nlohmann::json& in, configuration& value);

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_CONFIGURATION_JSON_H_
