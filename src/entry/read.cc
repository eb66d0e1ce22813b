#include "entry/read.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr const char* routes_path = "/v1/routes/";
constexpr std::size_t max_idempotency_key_bytes = 255;
constexpr int bad_request_status = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int header_fields_too_large = 431;

problem make_refusal(int status, const char* reason, const char* detail) {
  return problem{status, request_outcome::not_run, reason, detail, {}, false};
}

// Whether a field is never forwarded. Fields that Connection lists are not
// forwarded either.
bool is_never_forwarded(const std::string& name) {
  static const std::vector<std::string> never_forwarded{"authorization",
                                                        "proxy-authorization",
                                                        "idempotency-key",
                                                        "connection",
                                                        "keep-alive",
                                                        "proxy-authenticate",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade",
                                                        "proxy-connection",
                                                        "host",
                                                        "expect",
                                                        "content-length",
                                                        "traceparent"};
  return std::any_of(never_forwarded.begin(), never_forwarded.end(),
                     [&](const std::string& field_name) {
                       return absl::EqualsIgnoreCase(field_name, name);
                     });
}

bool parse_path(const std::string& target, caller_request& out) {
  absl::string_view path = target;
  if (!absl::ConsumePrefix(&path, routes_path)) {
    return false;
  }
  const std::size_t end = std::min(path.find_first_of("/?"), path.size());
  out.route = std::string(path.substr(0, end));
  out.route_target = std::string(path.substr(end));
  if (out.route_target.empty() || out.route_target[0] == '?') {
    out.route_target.insert(0, "/");
  }
  return !out.route.empty();
}

bool parse_bearer(const std::string& value, std::string& out) {
  const std::vector<std::string> parts =
      absl::StrSplit(value, ' ', absl::SkipEmpty());
  if (parts.size() != 2 || !absl::EqualsIgnoreCase(parts[0], "bearer")) {
    return false;
  }
  out = parts[1];
  return true;
}

}  // namespace

value_or_problem<caller_request> read_request(http_request in) {
  caller_request out;
  if (!parse_path(in.target, out)) {
    return make_refusal(not_found, reasons::unknown_route, "no such path");
  }
  if (in.headers.size() > max_header_fields) {
    return make_refusal(header_fields_too_large, reasons::too_many_headers,
                        "too many header fields");
  }
  if (count_header(in.headers, "Authorization") > 1) {
    return make_refusal(bad_request_status, reasons::doubled_key,
                        "more than one Authorization field");
  }
  const std::string authorization = find_header(in.headers, "Authorization");
  if (!authorization.empty() && !parse_bearer(authorization, out.bearer)) {
    return make_refusal(unauthorized, reasons::wrong_key,
                        "Authorization is not 'Bearer' and one key");
  }
  out.idempotency_key = find_header(in.headers, "Idempotency-Key");
  const int idempotency_key_count = count_header(in.headers, "Idempotency-Key");
  if (idempotency_key_count > 1 ||
      out.idempotency_key.size() > max_idempotency_key_bytes ||
      (idempotency_key_count == 1 && out.idempotency_key.empty())) {
    return make_refusal(bad_request_status, reasons::bad_request,
                        "Idempotency-Key is doubled, empty or too long");
  }
  out.traceparent = find_header(in.headers, "traceparent");
  out.method = std::move(in.method);
  out.headers = std::move(in.headers);
  out.body = std::move(in.body);
  return out;
}

std::vector<header_field> end_to_end_headers(
    const std::vector<header_field>& headers) {
  std::vector<std::string> hop_by_hop;
  for (const header_field& field : headers) {
    if (absl::EqualsIgnoreCase(field.name, "connection")) {
      for (const auto part : absl::StrSplit(field.value, ',')) {
        hop_by_hop.emplace_back(absl::StripAsciiWhitespace(part));
      }
    }
  }
  std::vector<header_field> forwarded;
  for (const header_field& field : headers) {
    const bool is_hop_by_hop = std::any_of(
        hop_by_hop.begin(), hop_by_hop.end(), [&](const std::string& name) {
          return absl::EqualsIgnoreCase(name, field.name);
        });
    if (!is_hop_by_hop && !is_never_forwarded(field.name)) {
      forwarded.push_back(field);
    }
  }
  return forwarded;
}

}  // namespace citronwharf
