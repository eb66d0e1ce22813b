/// Rendezvous hashing: every process ranks the same members for a key in the
/// same order, and a change of one member moves only that member's keys.
#ifndef CITRONWHARF_POLICY_RENDEZVOUS_H_
#define CITRONWHARF_POLICY_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronwharf {

/// Returns a 64-bit hash that is the same in every process and build; not for
/// secrets. Thread-safe.
std::uint64_t stable_hash(std::string_view bytes);

/// Returns the rank of `member` for `key`; the highest wins. Thread-safe.
std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member);

/// Returns the members in order of their rank for `key`, best first; equal
/// ranks are ordered by name. Thread-safe.
std::vector<std::string> rendezvous_order(std::uint64_t key,
                                          std::vector<std::string> members);

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_RENDEZVOUS_H_
