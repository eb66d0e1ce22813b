/// Routing: the filter that finds the called route and parses the body for it.
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

/// A call that is value_or_problem to a plain service unchanged.
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

/// Limit of an answer's tokens if the caller sets none; the route's limit
/// applies if it is lower.
constexpr std::int64_t default_max_tokens = 256;

/// Finds the route and parses the body for it; every problem has a 4xx status.
/// Thread-safe.
value_or_problem<routed_call> find_route(const caller_request& request,
                                         const configuration& current);

/// Returns the tokens that are charged for the call in advance, which is the
/// most that it can use. Thread-safe.
double cost_of(const routed_call& in);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ROUTE_H_
