/// The filters that a request passes before it is sent anywhere: route,
/// organisation, freshness of what is known.
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
  bool come_back = false;  ///< the caller may try again soon
};
bool operator==(const filter_refusal& lhs, const filter_refusal& rhs);

/// What the filters found.
struct filter_result {
  const gateway_route* route = nullptr;
  const gateway_organisation* organisation = nullptr;  ///< null on open routes
  std::optional<filter_refusal> refusal;
};

/// Finds the route and the organisation of a request. `fresh` says whether the
/// table was surely the newest a moment ago: if not, a missing route or key
/// may be new, a present key may be withdrawn, and the request is refused for
/// now. Pure; thread-safe.
filter_result pass_filters(const routing_table& table,
                           const caller_request& request, bool fresh);

/// Returns the tokens that a request counts for its organisation.
double allowance_tokens(const gateway_organisation& organisation,
                        const caller_request& request);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ADMISSION_FILTER_H_
