/// The first filter: reads a caller's HTTP request.
#ifndef CITRONWHARF_ENTRY_READ_H_
#define CITRONWHARF_ENTRY_READ_H_

#include <string>
#include <vector>

#include "entry/outcome.h"
#include "net/http.h"

namespace citronwharf {

/// Header fields that one request may carry.
constexpr std::size_t max_header_fields = 64;

/// A request as it was read; nothing in it is trusted yet.
struct caller_request {
  std::string method;
  std::string route;   ///< name from the path
  std::string rest;    ///< path and query below the route, "/" at least
  std::string bearer;  ///< secret of the key, "" when none was sent
  std::string idempotency_key;  ///< "" when none was sent
  std::string traceparent;
  std::vector<header_field> headers;  ///< as sent
  std::string body;
};

/// Reads a request below /v1/routes/; a problem is a 4xx. Thread-safe.
value_or_problem<caller_request> read_request(http_request in);

/// Returns the headers that a plain endpoint may see: neither keys nor
/// hop-by-hop fields nor those that its own call sets. Thread-safe.
std::vector<header_field> end_to_end_headers(
    const std::vector<header_field>& headers);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_READ_H_
