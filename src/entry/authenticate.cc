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
// Entries renew the freshness of their configuration about once a second.
constexpr duration stale_retry_after = seconds(2);

problem make_refusal(const char* reason, const char* detail) {
  return problem{unauthorized, request_outcome::not_run, reason, detail, {},
                 false};
}

problem make_stale_problem() {
  return problem{unavailable,
                 request_outcome::not_run,
                 reasons::stale_configuration,
                 "this entry does not know whether keys still stand",
                 stale_retry_after,
                 true};
}

bool digests_equal(const std::string& lhs, const std::string& rhs) {
  return lhs.size() == rhs.size() &&
         CRYPTO_memcmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

// Compares every key even after a match, so that the time taken reveals nothing
// about the keys.
const api_key* find_key(const configuration& in, const std::string& digest) {
  const api_key* found = nullptr;
  for (const api_key& key : in.keys) {
    if (digests_equal(key.digest, digest)) {
      found = &key;
    }
  }
  return found;
}

bool is_open_route(const configuration& in, const std::string& name) {
  return std::any_of(
      in.routes.begin(), in.routes.end(), [&](const route& each) {
        return each.name == name && each.access == route_access::open;
      });
}

}  // namespace

std::string key_digest(const std::string& secret) {
  constexpr const char* hex_digits = "0123456789abcdef";
  constexpr unsigned digit_mask = 15;
  constexpr unsigned bits_per_digit = 4;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
  SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
         bytes.data());
  std::string hex;
  for (const unsigned char byte : bytes) {
    hex += hex_digits[byte >> bits_per_digit];
    hex += hex_digits[byte & digit_mask];
  }
  return hex;
}

value_or_problem<caller_identity> authenticate(const caller_request& request,
                                               const configuration_view& view,
                                               time_point now) {
  const auto current = view.current();
  if (is_open_route(*current, request.route)) {
    return caller_identity{};
  }
  if (request.bearer.empty()) {
    return make_refusal(reasons::no_key, "this route needs a key");
  }
  if (!view.fresh(now)) {
    return make_stale_problem();
  }
  const api_key* key = find_key(*current, key_digest(request.bearer));
  if (key == nullptr) {
    return make_refusal(reasons::wrong_key, "the key is not known");
  }
  if (key->withdrawn) {
    return make_refusal(reasons::key_withdrawn, "the key was withdrawn");
  }
  caller_identity caller{true, key->id, key->organisation, 1.0};
  for (const organisation& each : current->organisations) {
    if (each.name == caller.organisation) {
      caller.weight = each.weight;
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
  const auto key = std::find_if(
      current->keys.begin(), current->keys.end(),
      [&](const api_key& each) { return each.id == caller.key_id; });
  const bool is_valid = key != current->keys.end() && !key->withdrawn &&
                        key->organisation == caller.organisation;
  if (!is_valid) {
    return make_refusal(reasons::key_withdrawn, "the key was withdrawn");
  }
  if (!view.fresh(now)) {
    return make_stale_problem();
  }
  return std::nullopt;
}

}  // namespace citronwharf
