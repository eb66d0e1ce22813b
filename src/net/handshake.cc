#include "net/handshake.h"

#include <absl/strings/escaping.h>
#include <glog/logging.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace citronwharf {
namespace {

constexpr std::size_t nonce_bytes = 16;

std::string to_hex(const unsigned char* data, std::size_t size) {
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(data), size));
}

}  // namespace

std::string make_nonce() {
  std::array<unsigned char, nonce_bytes> bytes{};
  CHECK_EQ(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())), 1);
  return to_hex(bytes.data(), bytes.size());
}

std::string make_mac(const std::string& secret, const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  return to_hex(digest.data(), size);
}

absl::StatusOr<session_proof> make_proof(const std::string& secret,
                                         bool dialled, const session_hello& own,
                                         const session_hello& peer) {
  std::string text;
  try {
    text = nlohmann::json{dialled ? "dialled" : "accepted", own, peer}.dump();
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return session_proof{make_mac(secret, text)};
}

bool same_proof(const session_proof& lhs, const session_proof& rhs) {
  return lhs.mac.size() == rhs.mac.size() &&
         CRYPTO_memcmp(lhs.mac.data(), rhs.mac.data(), lhs.mac.size()) == 0;
}

}  // namespace citronwharf
