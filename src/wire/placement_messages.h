/// Messages between gateways and the leader, which places generations on
/// engines: asks and grants, what gateways see of engines, and what they hold.
#ifndef CITRONWHARF_WIRE_PLACEMENT_MESSAGES_H_
#define CITRONWHARF_WIRE_PLACEMENT_MESSAGES_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// Which of the generations that wait goes first.
enum class placement_class {
  under_way,  ///< its stream has begun, or an engine refused its grant
  fresh,      ///< can still meet its latency objective
  returned    ///< was refused before, and comes back late
};
NLOHMANN_JSON_SERIALIZE_ENUM(placement_class,
                             {{placement_class::under_way, "under_way"},
                              {placement_class::fresh, "fresh"},
                              {placement_class::returned, "returned"}})

/// A gateway asks the leader for engines.
struct placement_ask {
  static constexpr const char* type_name = "placement_ask";
  std::uint64_t id = 0;  ///< counted by the sender
  std::string service;
  std::string organisation;
  std::string prompt;  ///< id that a caller's next attempt has too, or ""
  placement_class turn = placement_class::fresh;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;  ///< expected
  bool split = false;              ///< a prefill engine may read the prompt
  std::int64_t max_wait_us = 0;    ///< for the first event
  std::int64_t gap_us = 0;         ///< objective between events; 0: none
  std::set<std::string> excluded;  ///< ids of engines that failed it
};
CITRONWHARF_VALUE(placement_ask, id, service, organisation, prompt, turn,
                  prompt_tokens, output_tokens, split, max_wait_us, gap_us,
                  excluded)

/// An engine as a grant names it.
struct granted_engine {
  std::string id;  ///< "": none
  std::string address;
  std::string failure_domain;
};
CITRONWHARF_VALUE(granted_engine, id, address, failure_domain)

enum class placement_outcome {
  placed,
  queued,      ///< a grant or a refusal follows
  refused,     ///< memory would come free too late
  not_leading  ///< the sender decides alone
};
NLOHMANN_JSON_SERIALIZE_ENUM(placement_outcome,
                             {{placement_outcome::placed, "placed"},
                              {placement_outcome::queued, "queued"},
                              {placement_outcome::refused, "refused"},
                              {placement_outcome::not_leading, "not_leading"}})

struct placement_grant {
  static constexpr const char* type_name = "placement_grant";
  std::uint64_t id = 0;
  placement_outcome outcome = placement_outcome::not_leading;
  granted_engine decode;
  granted_engine prefill;
  placement_class turn = placement_class::fresh;
  std::int64_t wait_us = 0;   ///< predicted: for the prompt, or for memory
  std::uint64_t waiting = 0;  ///< requests for the service that wait
};
CITRONWHARF_VALUE(placement_grant, id, outcome, decode, prefill, turn, wait_us,
                  waiting)

/// The leader to the gateways whose requests wait there: it still counts them.
struct placement_alive {
  static constexpr const char* type_name = "placement_alive";
};
CITRONWHARF_EMPTY_VALUE(placement_alive)

/// The generation has ended, or its grant isn't used.
struct placement_release {
  static constexpr const char* type_name = "placement_release";
  std::uint64_t id = 0;
  std::int64_t output_tokens = 0;  ///< generated
  std::int64_t span_us = 0;        ///< from the first event to the last
  bool unused = false;             ///< nothing was sent to its engines
};
CITRONWHARF_VALUE(placement_release, id, output_tokens, span_us, unused)

/// What a gateway saw of an engine.
enum class engine_signal {
  prefilled,    ///< read a prompt
  paced,        ///< made the first events of a stream
  answers,      ///< began a response
  full,         ///< has no memory for a grant
  failed,       ///< reset or broke off
  silent,       ///< no answer in time
  unreachable,  ///< no connection, or another server answers there
  export_gone,  ///< a KV cache was lost well within its lifetime
  exports_full  ///< has no memory for another prompt
};
NLOHMANN_JSON_SERIALIZE_ENUM(engine_signal,
                             {{engine_signal::prefilled, "prefilled"},
                              {engine_signal::paced, "paced"},
                              {engine_signal::answers, "answers"},
                              {engine_signal::full, "full"},
                              {engine_signal::failed, "failed"},
                              {engine_signal::silent, "silent"},
                              {engine_signal::unreachable, "unreachable"},
                              {engine_signal::export_gone, "export_gone"},
                              {engine_signal::exports_full, "exports_full"}})

struct engine_observation {
  static constexpr const char* type_name = "engine_observation";
  std::string server;
  engine_signal sign = engine_signal::answers;
  std::int64_t tokens = 0;        ///< that it read or made
  std::int64_t span_us = 0;       ///< that this took
  std::int64_t predicted_us = 0;  ///< that the grant said
};
CITRONWHARF_VALUE(engine_observation, server, sign, tokens, span_us,
                  predicted_us)

/// A generation that runs under an earlier leader's grant, or under none.
struct placement_claim {
  std::uint64_t id = 0;
  std::string service;
  std::string server;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;  ///< expected
  std::int64_t age_us = 0;         ///< since it was placed
};
CITRONWHARF_VALUE(placement_claim, id, service, server, prompt_tokens,
                  output_tokens, age_us)

/// A gateway tells a leader that is new to it what runs.
struct placement_claims {
  static constexpr const char* type_name = "placement_claims";
  std::vector<placement_claim> claims;
};
CITRONWHARF_VALUE(placement_claims, claims)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_PLACEMENT_MESSAGES_H_
