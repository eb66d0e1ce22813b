/// The second filter: whose request it is.
#ifndef CITRONWHARF_ENTRY_AUTHENTICATE_H_
#define CITRONWHARF_ENTRY_AUTHENTICATE_H_

#include <optional>
#include <string>

#include "base/configuration_view.h"
#include "entry/outcome.h"
#include "entry/read.h"

namespace citronwharf {

/// Who sent a request.
struct caller_identity {
  bool keyed = false;        ///< false on open routes
  std::string key_id;        ///< "" on open routes
  std::string organisation;  ///< "" on open routes
  double weight = 1.0;
};

/// Returns the SHA-256 of `secret` in lower-case hex, as keys are stored.
/// Thread-safe. Example: key_digest("secret")
std::string key_digest(const std::string& secret);

/// Finds the organisation by the key that came along. Requests to unknown
/// routes are taken as keyed, so that names of routes stay unknown to
/// strangers. Keyed requests fail while the view is not fresh.
value_or_problem<caller_identity> authenticate(const caller_request& request,
                                               const configuration_view& view,
                                               time_point now);

/// Checks again, just before work is sent, that the key still stands and that
/// this is known. Returns the problem, or nothing when it may go on.
std::optional<problem> permitted(const caller_identity& caller,
                                 const configuration_view& view,
                                 time_point now);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_AUTHENTICATE_H_
