#include "net/http.h"

#include <absl/strings/match.h>

#include <utility>

namespace citronwharf {

std::string find_header(const std::vector<header_field>& headers,
                        const std::string& name) {
  for (const header_field& field : headers) {
    if (absl::EqualsIgnoreCase(field.name, name)) {
      return field.value;
    }
  }
  return "";
}

int count_header(const std::vector<header_field>& headers,
                 const std::string& name) {
  int count = 0;
  for (const header_field& field : headers) {
    count += absl::EqualsIgnoreCase(field.name, name) ? 1 : 0;
  }
  return count;
}

http_response json_response(int status, std::string body) {
  return http_response{
      status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace citronwharf
