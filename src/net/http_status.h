/// Status codes of HTTP responses.
#ifndef CITRONWHARF_NET_HTTP_STATUS_H_
#define CITRONWHARF_NET_HTTP_STATUS_H_

namespace citronwharf {

/// Returns whether a status is one that HTTP defines, from 100 to 599. A client
/// treats a response with another one as broken. Thread-safe.
constexpr bool is_valid_status(int status) {
  constexpr int min_status = 100;
  constexpr int max_status = 599;
  return status >= min_status && status <= max_status;
}

/// Returns whether a status says that the request succeeded, from 200 to 299.
/// Thread-safe.
constexpr bool is_success(int status) {
  constexpr int first_success = 200;
  constexpr int first_redirect = 300;
  return status >= first_success && status < first_redirect;
}

/// Returns whether a response with this status never has a body. Thread-safe.
constexpr bool has_no_body(int status) {
  constexpr int first_final = 200;
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  return status < first_final || status == no_content || status == not_modified;
}

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HTTP_STATUS_H_
