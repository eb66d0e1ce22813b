#include "net/http.h"

#include <absl/strings/match.h>

#include <utility>

namespace citronwharf {
namespace {

// Size field and alignment of a block.
constexpr std::size_t block_overhead = 16;

}  // namespace

std::size_t memory_of(const std::string& text) {
  static const std::size_t inside_object = std::string().capacity();
  return text.capacity() <= inside_object
             ? 0
             : text.capacity() + 1 + block_overhead;
}

std::size_t memory_of(const http_request& request) {
  std::size_t out = memory_of(request.method) + memory_of(request.target) +
                    memory_of(request.body) + memory_of(request.remote) +
                    request.headers.capacity() * sizeof(header_field) +
                    block_overhead;
  for (const header_field& field : request.headers) {
    out += memory_of(field.name) + memory_of(field.value);
  }
  if (request.shared_body) {
    out += memory_of(*request.shared_body);
  }
  return out;
}

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
