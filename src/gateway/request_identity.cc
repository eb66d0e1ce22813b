#include "gateway/request_identity.h"

#include <absl/strings/numbers.h>
#include <glog/logging.h>

namespace citronwharf {
namespace {

constexpr const char* marker = "r:";
// 96 bits each.
constexpr std::size_t hash_digits = 24;

}  // namespace

std::string identity_prefix(const keyed_hash& hash,
                            const caller_request& request,
                            const std::string& organisation) {
  // None of these contains a line break.
  const std::string text = organisation + "\n" + request.host + "\n" +
                           request.message.method + "\n" +
                           request.message.target;
  return marker + hash(text).substr(0, hash_digits);
}

std::string identify_request(const keyed_hash& hash,
                             const caller_request& request,
                             const std::string& organisation) {
  return identity_prefix(hash, request, organisation) +
         hash(body_of(request.message)).substr(0, hash_digits);
}

bool is_request_identity(const std::string& id) {
  return id.rfind(marker, 0) == 0;
}

std::uint64_t hash_stream(const keyed_hash& hash,
                          const std::string& organisation,
                          const std::string& attempt) {
  constexpr std::size_t digits = 16;  // of 64 bits
  std::uint64_t out = 0;
  const bool read = absl::SimpleHexAtoi(
      hash("stream\n" + organisation + "\n" + attempt).substr(0, digits), &out);
  CHECK(read);
  return out;
}

}  // namespace citronwharf
