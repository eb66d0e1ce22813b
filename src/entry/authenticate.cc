#include "entry/authenticate.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <utility>

namespace citronwharf {
namespace {

constexpr int unauthorized = 401;
constexpr int unavailable = 503;
// Freshness is asked for about once a second.
constexpr duration stale_retry = seconds(2);

problem refused(const char* reason, const char* detail) {
  return problem{unauthorized, request_outcome::not_run, reason, detail, {},
                 false};
}

problem stale() {
  return problem{unavailable,
                 request_outcome::not_run,
                 reasons::stale_configuration,
                 "this entry does not know whether keys still stand",
                 stale_retry,
                 true};
}

bool same_digest(const std::string& lhs, const std::string& rhs) {
  return lhs.size() == rhs.size() &&
         CRYPTO_memcmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

// Looks at every key, so that the time taken tells nothing.
const api_key* find_key(const configuration& in, const std::string& digest) {
  const api_key* found = nullptr;
  for (const api_key& key : in.keys) {
    if (same_digest(key.digest, digest)) {
      found = &key;
    }
  }
  return found;
}

bool is_open(const configuration& in, const std::string& name) {
  return std::any_of(in.routes.begin(), in.routes.end(), [&](const route& one) {
    return one.name == name && one.access == route_access::open;
  });
}

}  // namespace

std::string key_digest(const std::string& secret) {
  constexpr const char* digits = "0123456789abcdef";
  constexpr unsigned low_bits = 15;
  constexpr unsigned half_byte = 4;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
  SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
         bytes.data());
  std::string hex;
  for (const unsigned char byte : bytes) {
    hex += digits[byte >> half_byte];
    hex += digits[byte & low_bits];
  }
  return hex;
}

value_or_problem<caller_identity> authenticate(const caller_request& request,
                                               const configuration_view& view,
                                               time_point now) {
  const auto current = view.current();
  if (is_open(*current, request.route)) {
    return caller_identity{};
  }
  if (request.bearer.empty()) {
    return refused(reasons::no_key, "this route needs a key");
  }
  if (!view.fresh(now)) {
    return stale();
  }
  const api_key* key = find_key(*current, key_digest(request.bearer));
  if (key == nullptr) {
    return refused(reasons::wrong_key, "the key is not known");
  }
  if (key->withdrawn) {
    return refused(reasons::key_withdrawn, "the key was withdrawn");
  }
  caller_identity caller{true, key->id, key->organisation, 1.0};
  for (const organisation& one : current->organisations) {
    if (one.name == caller.organisation) {
      caller.weight = one.weight;
    }
  }
  return caller;
}

std::optional<problem> permitted(const caller_identity& caller,
                                 const configuration_view& view,
                                 time_point now) {
  if (!caller.keyed) {
    return std::nullopt;
  }
  const auto current = view.current();
  const auto key =
      std::find_if(current->keys.begin(), current->keys.end(),
                   [&](const api_key& one) { return one.id == caller.key_id; });
  const bool stands = key != current->keys.end() && !key->withdrawn &&
                      key->organisation == caller.organisation;
  if (!stands) {
    return refused(reasons::key_withdrawn, "the key was withdrawn");
  }
  if (!view.fresh(now)) {
    return stale();
  }
  return std::nullopt;
}

}  // namespace citronwharf
