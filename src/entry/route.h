/// The third filter: which route is called, and with what.
#ifndef CITRONWHARF_ENTRY_ROUTE_H_
#define CITRONWHARF_ENTRY_ROUTE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "citronwharf/configuration.h"
#include "entry/outcome.h"
#include "entry/read.h"

namespace citronwharf {

/// The body of a request to a pools route.
struct pools_call {
  std::string prompt;
  std::int32_t prompt_tokens = 0;
  std::int32_t max_tokens = 0;
  bool stream = false;
};

/// A call that goes to a plain service as it is.
struct plain_call {
  std::string method;
  std::string target;
  std::vector<header_field> headers;
  std::string body;
};

struct routed_call {
  route to;
  std::variant<pools_call, plain_call> call;
};

/// Tokens of an answer when the caller names no limit, or the route's most.
constexpr std::int64_t default_max_tokens = 256;

/// Finds the route and reads the body for it; a problem is a 4xx.
/// Thread-safe.
value_or_problem<routed_call> find_route(const caller_request& request,
                                         const configuration& current);

/// Returns the tokens that the call is charged at most. Thread-safe.
double cost_of(const routed_call& in);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ROUTE_H_
