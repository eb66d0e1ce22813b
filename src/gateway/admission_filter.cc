#include "gateway/admission_filter.h"

#include "control/key.h"

namespace citronwharf {
namespace {

constexpr int status_unauthorised = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

filter_refusal stale_configuration(const std::string& reason) {
  return {status_unavailable, reason, true};
}

}  // namespace

bool operator==(const filter_refusal& lhs, const filter_refusal& rhs) {
  return lhs.status == rhs.status && lhs.reason == rhs.reason &&
         lhs.retryable == rhs.retryable;
}

filter_result apply_filters(const routing_table& table,
                            const caller_request& request, bool fresh) {
  filter_result out;
  if (table.version() == 0) {
    out.refusal = stale_configuration("no_configuration");
    return out;
  }
  out.route = table.find_route(request.host, request.path);
  if (out.route == nullptr) {
    out.refusal = fresh ? filter_refusal{status_not_found, "no_route", false}
                        : stale_configuration("configuration_not_fresh");
    return out;
  }
  if (out.route->open || !table.requires_keys()) {
    return out;
  }
  if (!fresh) {
    out.refusal = stale_configuration("configuration_not_fresh");
    return out;
  }
  if (!request.key.empty()) {
    out.organisation = table.find_organisation(digest_of(request.key));
  }
  if (out.organisation == nullptr) {
    out.refusal = filter_refusal{status_unauthorised, "unknown_key", false};
  }
  return out;
}

double allowance_tokens(const gateway_organisation& organisation,
                        const caller_request& request) {
  if (!request.prompt_tokens || !request.max_output_tokens) {
    return organisation.tokens_per_plain_request;
  }
  return static_cast<double>(*request.prompt_tokens +
                             *request.max_output_tokens);
}

}  // namespace citronwharf
