/// The first filter: reads the path and headers of a caller's HTTP request.
#ifndef CITRONWHARF_ENTRY_READ_H_
#define CITRONWHARF_ENTRY_READ_H_

#include <string>
#include <vector>

#include "entry/outcome.h"
#include "net/http.h"

namespace citronwharf {

/// Limit of header fields per request.
constexpr std::size_t max_header_fields = 64;

/// A request as read from the connection; nothing in it is authenticated yet.
struct caller_request {
  std::string method;
  std::string route;  ///< route name from the path
  std::string
      route_target;    ///< path and query after the route name; starts with "/"
  std::string bearer;  ///< secret of the API key, "" if none was sent
  std::string idempotency_key;  ///< "" if none was sent
  std::string traceparent;
  std::vector<header_field> headers;  ///< as sent
  std::string body;
};

/// Reads a request below /v1/routes/; every problem has a 4xx status.
/// Thread-safe.
value_or_problem<caller_request> read_request(http_request in);

/// Returns the headers that are forwarded to a plain endpoint: all but keys,
/// hop-by-hop fields and fields that the forwarded call sets itself.
/// Thread-safe.
std::vector<header_field> end_to_end_headers(
    const std::vector<header_field>& headers);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_READ_H_
