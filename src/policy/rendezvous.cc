#include "policy/rendezvous.h"

#include <algorithm>

namespace citronwharf {
namespace {

// FNV-1a, 64 bits.
constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
constexpr std::uint64_t fnv_prime = 0x100000001b3U;

// The finaliser of splitmix64; makes every bit of the hash depend on all bytes.
std::uint64_t mix(std::uint64_t value) {
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9U;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebU;
  value ^= value >> 31U;
  return value;
}

}  // namespace

std::uint64_t stable_hash(std::string_view bytes) {
  std::uint64_t hash = fnv_offset;
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= fnv_prime;
  }
  return mix(hash);
}

std::uint64_t rendezvous_score(std::uint64_t key, std::string_view member) {
  return mix(key ^ stable_hash(member));
}

std::vector<std::string> rendezvous_order(std::uint64_t key,
                                          std::vector<std::string> members) {
  std::sort(members.begin(), members.end(),
            [key](const std::string& lhs, const std::string& rhs) {
              const std::uint64_t left = rendezvous_score(key, lhs);
              const std::uint64_t right = rendezvous_score(key, rhs);
              return left != right ? left > right : lhs < rhs;
            });
  return members;
}

}  // namespace citronwharf
