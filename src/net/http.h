/// HTTP request and response types.
#ifndef CITRONWHARF_NET_HTTP_H_
#define CITRONWHARF_NET_HTTP_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "wire/request_messages.h"

namespace citronwharf {

struct http_request {
  std::string method;
  std::string target;  ///< path and query
  std::vector<header_field> headers;
  std::string body;
  std::string remote;  ///< "ip:port" of the client
  /// Replaces `body` if it is set, for a long body that several calls send.
  /// Known to http_pool only; see body_of().
  std::shared_ptr<const std::string> shared_body{};
};
CITRONWHARF_VALUE(http_request, method, target, headers, body, remote)

struct http_response {
  int status = 200;
  std::vector<header_field> headers;
  std::string body;
};
CITRONWHARF_VALUE(http_response, status, headers, body)

/// Returns the body of a request, shared or not.
inline const std::string& body_of(const http_request& request) {
  return request.shared_body ? *request.shared_body : request.body;
}

/// Returns the bytes of the heap that a string takes beside the object itself.
/// Thread-safe.
std::size_t memory_of(const std::string& text);
/// The same of a request, `shared_body` included. Thread-safe.
std::size_t memory_of(const http_request& request);

/// Returns the value of the first header `name`, or "". Case-insensitive.
std::string find_header(const std::vector<header_field>& headers,
                        const std::string& name);
/// Returns the number of headers `name`. Case-insensitive.
int count_header(const std::vector<header_field>& headers,
                 const std::string& name);

/// Makes a JSON response. Example: json_response(200, "{}")
http_response json_response(int status, std::string body);

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HTTP_H_
