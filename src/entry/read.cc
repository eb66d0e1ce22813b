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

problem refused(int status, const char* reason, const char* detail) {
  return problem{status, request_outcome::not_run, reason, detail, {}, false};
}

// Fields that never leave the entry, besides those named by Connection.
bool stays_here(const std::string& name) {
  static const std::vector<std::string> names{"authorization",
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
  return std::any_of(names.begin(), names.end(), [&](const std::string& known) {
    return absl::EqualsIgnoreCase(known, name);
  });
}

bool read_path(const std::string& target, caller_request& out) {
  absl::string_view path = target;
  if (!absl::ConsumePrefix(&path, routes_path)) {
    return false;
  }
  const std::size_t end = std::min(path.find_first_of("/?"), path.size());
  out.route = std::string(path.substr(0, end));
  out.rest = std::string(path.substr(end));
  if (out.rest.empty() || out.rest[0] == '?') {
    out.rest.insert(0, "/");
  }
  return !out.route.empty();
}

bool read_bearer(const std::string& value, std::string& out) {
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
  if (!read_path(in.target, out)) {
    return refused(not_found, reasons::unknown_route, "no such path");
  }
  if (in.headers.size() > max_header_fields) {
    return refused(header_fields_too_large, reasons::too_many_headers,
                   "too many header fields");
  }
  if (count_header(in.headers, "Authorization") > 1) {
    return refused(bad_request_status, reasons::doubled_key,
                   "more than one Authorization field");
  }
  const std::string authorization = find_header(in.headers, "Authorization");
  if (!authorization.empty() && !read_bearer(authorization, out.bearer)) {
    return refused(unauthorized, reasons::wrong_key,
                   "Authorization is not 'Bearer' and one key");
  }
  out.idempotency_key = find_header(in.headers, "Idempotency-Key");
  const int claims = count_header(in.headers, "Idempotency-Key");
  if (claims > 1 || out.idempotency_key.size() > max_idempotency_key_bytes ||
      (claims == 1 && out.idempotency_key.empty())) {
    return refused(bad_request_status, reasons::bad_request,
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
  std::vector<std::string> named;
  for (const header_field& field : headers) {
    if (absl::EqualsIgnoreCase(field.name, "connection")) {
      for (const auto part : absl::StrSplit(field.value, ',')) {
        named.emplace_back(absl::StripAsciiWhitespace(part));
      }
    }
  }
  std::vector<header_field> kept;
  for (const header_field& field : headers) {
    const bool hop =
        std::any_of(named.begin(), named.end(), [&](const std::string& name) {
          return absl::EqualsIgnoreCase(name, field.name);
        });
    if (!hop && !stays_here(field.name)) {
      kept.push_back(field);
    }
  }
  return kept;
}

}  // namespace citronwharf
