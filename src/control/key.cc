#include "control/key.h"

#include <absl/strings/escaping.h>
#include <absl/strings/string_view.h>
#include <glog/logging.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <cstddef>

namespace citronwharf {
namespace {

constexpr std::size_t secret_bytes = 32;
constexpr std::size_t operation_id_bytes = 16;

template <std::size_t Size>
std::string to_hex(const std::array<unsigned char, Size>& bytes) {
  return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

template <std::size_t Size>
std::string random_hex() {
  std::array<unsigned char, Size> bytes{};
  CHECK_EQ(RAND_bytes(bytes.data(), static_cast<int>(Size)), 1);
  return to_hex(bytes);
}

}  // namespace

std::string make_secret() {
  return "cw_" + random_hex<secret_bytes>();
}

std::string make_operation_id() {
  return random_hex<operation_id_bytes>();
}

std::string digest_of(const std::string& text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return to_hex(digest);
}

bool same_digest(const std::string& lhs, const std::string& rhs) {
  return lhs.size() == rhs.size() &&
         CRYPTO_memcmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

}  // namespace citronwharf
