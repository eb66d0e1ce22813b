/// Access keys: generation, digests and constant-time comparison.
#ifndef CITRONWHARF_CONTROL_KEY_H_
#define CITRONWHARF_CONTROL_KEY_H_

#include <string>

namespace citronwharf {

/// Returns a new secret of 256 random bits from OpenSSL, as "cw_" followed by
/// hex digits.
/// Thread-safe.
std::string make_secret();

/// Returns the SHA-256 of `text` in hex, the only form in which a secret is
/// stored. Thread-safe. Example: api_key key{"k1", "importers", digest_of(s)};
std::string digest_of(const std::string& text);

/// Compares two digests in a time that does not depend on where they differ.
/// Thread-safe.
bool same_digest(const std::string& lhs, const std::string& rhs);

/// Returns 128 random bits in hex, for identifiers of operations. Thread-safe.
std::string make_operation_id();

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_KEY_H_
