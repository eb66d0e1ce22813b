/// Admission filters that run before a request is sent anywhere: route,
/// organisation, freshness of the configuration.
#ifndef CITRONWHARF_GATEWAY_ADMISSION_FILTER_H_
#define CITRONWHARF_GATEWAY_ADMISSION_FILTER_H_

#include <optional>
#include <string>

#include "gateway/codec.h"

namespace citronwharf {

/// Why a request is refused before it is sent anywhere.
struct filter_refusal {
  int status = 0;
  std::string reason;
  bool retryable = false;  ///< the caller may retry soon
};
bool operator==(const filter_refusal& lhs, const filter_refusal& rhs);

/// Result of the admission filters.
struct filter_result {
  const gateway_route* route = nullptr;
  const gateway_organisation* organisation = nullptr;  ///< null on open routes
  std::optional<filter_refusal> refusal;
};

/// Finds the route and the organisation of a request. `fresh` states whether
/// the table was confirmed to be the newest a moment ago. If it was not, a
/// missing route or key may be new and a present key may have been withdrawn,
/// so the request is refused with a retryable error. Pure; thread-safe.
filter_result apply_filters(const routing_table& table,
                            const caller_request& request, bool fresh);

/// Returns the tokens that a request is charged to its organisation.
double allowance_tokens(const gateway_organisation& organisation,
                        const caller_request& request);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ADMISSION_FILTER_H_
