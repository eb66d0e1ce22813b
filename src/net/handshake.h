/// How two processes prove to each other that they hold the deployment's
/// secret: an HMAC-SHA256 over both ends' fresh nonces.
#ifndef CITRONWHARF_NET_HANDSHAKE_H_
#define CITRONWHARF_NET_HANDSHAKE_H_

#include <string>

#include "base/value.h"

namespace citronwharf {

/// The first frame of each end.
struct session_hello {
  static constexpr const char* type_name = "hello";
  std::string name;
  std::uint64_t incarnation = 0;
  std::string deployment;
  std::string nonce;  ///< 32 hex digits, fresh for each session
};
CITRONWHARF_VALUE(session_hello, name, incarnation, deployment, nonce)

/// The second frame of each end.
struct session_proof {
  static constexpr const char* type_name = "proof";
  std::string mac;  ///< 64 hex digits
};
CITRONWHARF_VALUE(session_proof, mac)

/// Sent when nothing else was.
struct session_heartbeat {
  static constexpr const char* type_name = "heartbeat";
};
CITRONWHARF_EMPTY_VALUE(session_heartbeat)

/// Returns a fresh nonce from the system's secure random source.
std::string make_nonce();

/// Returns the proof of the end that said `own`. `dialled` says which end it
/// is, so that one end's proof is never the other's. Thread-safe.
session_proof make_proof(const std::string& secret, bool dialled,
                         const session_hello& own, const session_hello& peer);

/// Compares in constant time. Thread-safe.
bool same_proof(const session_proof& lhs, const session_proof& rhs);

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_HANDSHAKE_H_
