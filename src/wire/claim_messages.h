/// Messages between entries and control replicas about claims of idempotency
/// keys. Times are durations in microseconds.
#ifndef CITRONWHARF_WIRE_CLAIM_MESSAGES_H_
#define CITRONWHARF_WIRE_CLAIM_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/value.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// Identifies a claim. The caller's Idempotency-Key itself never leaves the
/// entry; only its digest does.
struct claim_name {
  std::string organisation;
  std::string key_digest;  ///< SHA-256 of the Idempotency-Key, hex
};
CITRONWHARF_VALUE(claim_name, organisation, key_digest)
inline bool operator<(const claim_name& lhs, const claim_name& rhs) {
  return std::tie(lhs.organisation, lhs.key_digest) <
         std::tie(rhs.organisation, rhs.key_digest);
}

/// Stored response of a completed request.
struct claimed_answer {
  std::int32_t status = 0;  ///< HTTP status on plain routes; 0 on pools routes
  std::vector<header_field> headers;
  std::string body;         ///< on pools routes: the generated text
  std::int32_t tokens = 0;  ///< on pools routes: generated tokens
};
CITRONWHARF_VALUE(claimed_answer, status, headers, body, tokens)

/// State of a claim as seen by the requester.
enum class claim_state {
  granted,      ///< held by the requester, which may send the request
  in_progress,  ///< another attempt of the same request is in progress
  done,         ///< completed; the stored response is attached
  unknown,      ///< the outcome of an earlier attempt is not known
  conflict,     ///< the key was used for another request
  full,         ///< the limit of claims is reached: nothing was claimed
  not_leader,   ///< ask the process in `leader`: nothing was claimed
  unavailable   ///< not known whether it was claimed; ask again
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

/// Control replica to an entry on each new session: this replica accepts
/// claims.
struct claim_hello {
  static constexpr const char* type_name = "claim_hello";
  std::string leader;  ///< process name, "" when unknown
};
CITRONWHARF_VALUE(claim_hello, leader)

/// Entry to control replica: claims a key. A repeated claim by the same owner
/// is granted again.
struct claim_request {
  static constexpr const char* type_name = "claim";
  std::uint64_t id = 0;  ///< counter of the entry process
  claim_name name;
  std::string request_digest;  ///< SHA-256 of the request, hex
  std::string owner;           ///< entry, incarnation and request id
  /// Time after which the owner has ended for certain.
  std::int64_t life_us = 0;
};
CITRONWHARF_VALUE(claim_request, id, name, request_digest, owner, life_us)

/// Outcome of a claimed request.
enum class claim_end { done, not_run, unknown };
NLOHMANN_JSON_SERIALIZE_ENUM(claim_end, {{claim_end::unknown, "unknown"},
                                         {claim_end::done, "done"},
                                         {claim_end::not_run, "not_run"}})

/// Entry to control replica: the claimed request has ended. `not_run` releases
/// the key for another attempt.
struct claim_finish {
  static constexpr const char* type_name = "claim_finish";
  std::uint64_t id = 0;
  claim_name name;
  std::string owner;
  claim_end end = claim_end::unknown;
  claimed_answer answer;
};
CITRONWHARF_VALUE(claim_finish, id, name, owner, end, answer)

/// Control replica to entry: answers claim_request and claim_finish. The state
/// of an accepted claim_finish is `granted`.
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
