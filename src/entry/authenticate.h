/// Authentication: the filter that determines the caller's organisation.
#ifndef CITRONWHARF_ENTRY_AUTHENTICATE_H_
#define CITRONWHARF_ENTRY_AUTHENTICATE_H_

#include <optional>
#include <string>

#include "base/configuration_view.h"
#include "entry/outcome.h"
#include "entry/read.h"

namespace citronwharf {

/// The authenticated sender of a request.
struct caller_identity {
  bool keyed = false;  ///< whether a key was checked; false on open routes
  std::string key_id;  ///< "" on open routes
  std::string organisation;  ///< "" on open routes
  double weight = 1.0;
};

/// Returns the SHA-256 of `secret` in lower-case hex, as keys are stored.
/// Thread-safe. Example: key_digest("secret")
std::string key_digest(const std::string& secret);

/// Finds the caller's organisation by the API key of the request. Requests to
/// unknown routes need a key too, so that callers without one cannot probe for
/// route names. Requests that need a key fail while the view is not fresh.
value_or_problem<caller_identity> authenticate(const caller_request& request,
                                               const configuration_view& view,
                                               time_point now);

/// Checks again, just before work is sent, that the key is still valid and that
/// the configuration is fresh. Returns the problem, or nothing if the request
/// may continue.
std::optional<problem> permitted(const caller_identity& caller,
                                 const configuration_view& view,
                                 time_point now);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_AUTHENTICATE_H_
