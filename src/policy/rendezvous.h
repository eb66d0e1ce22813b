/// Rendezvous hashing: every process ranks the same members in the same order
/// for a key, and adding or removing a member moves only the keys of that
/// member.
#ifndef CITRONWHARF_POLICY_RENDEZVOUS_H_
#define CITRONWHARF_POLICY_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronwharf {

/// Returns a 64-bit hash that is the same in every process and build. Not
/// cryptographic. Thread-safe.
std::uint64_t stable_hash(std::string_view bytes);

/// Returns the score of `member` for `key`; the highest score wins.
/// Thread-safe.
std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member);

/// Returns the members by descending score for `key`; equal scores are ordered
/// by name. Thread-safe.
std::vector<std::string> rendezvous_order(std::uint64_t key,
                                          std::vector<std::string> members);

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_RENDEZVOUS_H_
