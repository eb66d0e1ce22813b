/// Mutual authentication of two processes by the deployment's shared secret: an
/// HMAC-SHA256 over both hellos, each with a fresh nonce.
#ifndef CITRONWHARF_NET_HANDSHAKE_H_
#define CITRONWHARF_NET_HANDSHAKE_H_

#include <absl/status/statusor.h>

#include <string>

#include "base/value.h"

namespace citronwharf {

/// The first frame that each end sends.
struct session_hello {
  static constexpr const char* type_name = "hello";
  std::string name;
  std::uint64_t incarnation = 0;
  std::string deployment;
  std::string nonce;  ///< 32 hex digits, fresh for each session
};
CITRONWHARF_VALUE(session_hello, name, incarnation, deployment, nonce)

/// The second frame that each end sends.
struct session_proof {
  static constexpr const char* type_name = "proof";
  std::string mac;  ///< 64 hex digits
};
CITRONWHARF_VALUE(session_proof, mac)

/// Sent when no other frame was sent within the heartbeat interval.
struct session_heartbeat {
  static constexpr const char* type_name = "heartbeat";
};
CITRONWHARF_EMPTY_VALUE(session_heartbeat)

/// Returns a fresh nonce from the cryptographic random number generator.
std::string make_nonce();

/// Returns the HMAC-SHA256 of a text, 64 hex digits. Thread-safe.
std::string make_mac(const std::string& secret, const std::string& text);

/// Returns the proof of the end that sent the hello `own`. `dialled` tells the
/// two ends apart, so that neither can replay the other's proof. Returns
/// InvalidArgument if a hello is not UTF-8. Thread-safe.
absl::StatusOr<session_proof> make_proof(const std::string& secret,
                                         bool dialled, const session_hello& own,
                                         const session_hello& peer);

/// Compares two proofs in constant time. Thread-safe.
bool same_proof(const session_proof& lhs, const session_proof& rhs);

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HANDSHAKE_H_
