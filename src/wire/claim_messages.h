/// Messages between entries and control replicas about claims of idempotency
/// keys. Times are spans in microseconds.
#ifndef CITRONWHARF_WIRE_CLAIM_MESSAGES_H_
#define CITRONWHARF_WIRE_CLAIM_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/value.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// Names a claim. The caller's Idempotency-Key itself never leaves the entry.
struct claim_name {
  std::string organisation;
  std::string key_digest;  ///< SHA-256 of the Idempotency-Key, hex
};
CITRONWHARF_VALUE(claim_name, organisation, key_digest)
inline bool operator<(const claim_name& lhs, const claim_name& rhs) {
  return std::tie(lhs.organisation, lhs.key_digest) <
         std::tie(rhs.organisation, rhs.key_digest);
}

/// The stored answer of a request that is done.
struct claimed_answer {
  std::int32_t status = 0;  ///< of plain calls; 0 for pools routes
  std::vector<header_field> headers;
  std::string body;         ///< of pools routes: the text
  std::int32_t tokens = 0;  ///< of pools routes
};
CITRONWHARF_VALUE(claimed_answer, status, headers, body, tokens)

/// What a claim's state is to the one who asked.
enum class claim_state {
  granted,      ///< yours: send the request
  in_progress,  ///< another try of the same request is under way
  done,         ///< the stored answer comes along
  unknown,      ///< an earlier try's outcome is not known
  conflict,     ///< the key was used for another request
  full,         ///< no room for another claim: nothing was claimed
  not_leader,   ///< ask the process named by `leader`: nothing was claimed
  unavailable   ///< whether it was claimed is not known; ask again
};
NLOHMANN_JSON_SERIALIZE_ENUM(claim_state,
                             {{claim_state::unavailable, "unavailable"},
                              {claim_state::granted, "granted"},
                              {claim_state::in_progress, "in_progress"},
                              {claim_state::done, "done"},
                              {claim_state::unknown, "unknown"},
                              {claim_state::conflict, "conflict"},
                              {claim_state::full, "full"},
                              {claim_state::not_leader, "not_leader"}})

/// Control replica to an entry on each new session: claims are taken here.
struct claim_hello {
  static constexpr const char* type_name = "claim_hello";
  std::string leader;  ///< process name, "" when unknown
};
CITRONWHARF_VALUE(claim_hello, leader)

/// Entry to control replica. A repeat by the same owner is granted again.
struct claim_request {
  static constexpr const char* type_name = "claim";
  std::uint64_t id = 0;  ///< counted by the entry process
  claim_name name;
  std::string request_digest;  ///< SHA-256 of the request, hex
  std::string owner;           ///< entry, incarnation and request
  std::int64_t life_us = 0;    ///< after this the owner has surely ended
};
CITRONWHARF_VALUE(claim_request, id, name, request_digest, owner, life_us)

/// How a claimed request ended.
enum class claim_end { done, not_run, unknown };
NLOHMANN_JSON_SERIALIZE_ENUM(claim_end, {{claim_end::unknown, "unknown"},
                                         {claim_end::done, "done"},
                                         {claim_end::not_run, "not_run"}})

/// Entry to control replica: the claimed request has ended. "Not run" frees
/// the key for another try.
struct claim_finish {
  static constexpr const char* type_name = "claim_finish";
  std::uint64_t id = 0;
  claim_name name;
  std::string owner;
  claim_end end = claim_end::unknown;
  claimed_answer answer;
};
CITRONWHARF_VALUE(claim_finish, id, name, owner, end, answer)

/// Control replica to entry, for both. A finish that was taken is "granted".
struct claim_reply {
  static constexpr const char* type_name = "claim_reply";
  std::uint64_t id = 0;
  claim_state state = claim_state::unavailable;
  std::string leader;
  claimed_answer answer;
};
CITRONWHARF_VALUE(claim_reply, id, state, leader, answer)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_CLAIM_MESSAGES_H_
