/// Messages between gateways and the leader, which assigns generations to
/// engines: requests and grants, observations of engines, and the generations
/// that gateways already run.
#ifndef CITRONWHARF_WIRE_PLACEMENT_MESSAGES_H_
#define CITRONWHARF_WIRE_PLACEMENT_MESSAGES_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// Priority of a waiting generation.
enum class placement_class {
  under_way,  ///< its stream has begun or an engine refused its grant
  fresh,      ///< can still meet its latency objective
  returned    ///< retried after a refusal, and late
};
NLOHMANN_JSON_SERIALIZE_ENUM(placement_class,
                             {{placement_class::under_way, "under_way"},
                              {placement_class::fresh, "fresh"},
                              {placement_class::returned, "returned"}})

/// Gateway to leader: requests engines for a generation.
struct placement_ask {
  static constexpr const char* type_name = "placement_ask";
  std::uint64_t id = 0;  ///< counter of the sender
  std::string service;
  std::string organisation;
  std::string prompt;  ///< id shared by all attempts of the caller, or ""
  placement_class turn = placement_class::fresh;  ///< priority
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;  ///< expected
  bool split = false;              ///< a prefill engine may process the prompt
  std::int64_t max_wait_us = 0;    ///< until the first event
  std::int64_t gap_us = 0;         ///< objective between two events; 0: none
  std::set<std::string> excluded;  ///< ids of engines that failed this one
  /// Software version of the decode engine; "": any. A stream that has begun
  /// must not go on at another one.
  std::string software_version;
  std::int64_t urgency = 0;  ///< 0 is the most urgent
};
CITRONWHARF_VALUE_ADDING(placement_ask, urgency, id, service, organisation,
                         prompt, turn, prompt_tokens, output_tokens, split,
                         max_wait_us, gap_us, excluded, software_version)

/// An engine assigned by a grant.
struct granted_engine {
  std::string id;  ///< "": no engine
  std::string address;
  std::string failure_domain;
  std::string software_version;
};
CITRONWHARF_VALUE(granted_engine, id, address, failure_domain, software_version)

enum class placement_outcome {
  placed,
  queued,      ///< a grant or a refusal follows
  refused,     ///< memory would be released too late
  not_leading  ///< not the leader: the gateway decides by itself
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
  std::int64_t wait_us = 0;   ///< predicted wait for prefill or for memory
  std::uint64_t waiting = 0;  ///< waiting requests of the service
  /// How long the prefill may take, from the grant on, if its VM is slowed down
  /// by a neighbour; 0: as predicted, as from a leader that doesn't know this.
  std::int64_t late_us = 0;
};
CITRONWHARF_VALUE_WITH_DEFAULTS(placement_grant, id, outcome, decode, prefill,
                                turn, wait_us, waiting, late_us)

/// Leader to gateways with waiting requests: the requests are still queued.
struct placement_alive {
  static constexpr const char* type_name = "placement_alive";
};
CITRONWHARF_EMPTY_VALUE(placement_alive)

/// Gateway to leader: the generation has ended, or its grant is not used.
struct placement_release {
  static constexpr const char* type_name = "placement_release";
  std::uint64_t id = 0;
  std::int64_t output_tokens = 0;  ///< generated
  std::int64_t span_us = 0;        ///< from the first event to the last
  bool unused = false;             ///< nothing was sent to the granted engines
};
CITRONWHARF_VALUE(placement_release, id, output_tokens, span_us, unused)

/// Kind of observation that a gateway made of an engine.
enum class engine_signal {
  prefilled,    ///< processed a prompt
  paced,        ///< generated the first events of a stream
  answers,      ///< started a response
  full,         ///< refused a grant for lack of memory
  failed,       ///< reset the connection or broke off a response
  silent,       ///< did not answer in time
  unreachable,  ///< no connection, or a different server answers
  export_gone,  ///< lost a KV cache well before the end of its lifetime
  exports_full  ///< refused a prompt for lack of memory
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
  engine_signal sign = engine_signal::answers;  ///< kind of observation
  std::int64_t tokens = 0;        ///< tokens processed or generated
  std::int64_t span_us = 0;       ///< time taken for them
  std::int64_t predicted_us = 0;  ///< time predicted by the grant
};
CITRONWHARF_VALUE(engine_observation, server, sign, tokens, span_us,
                  predicted_us)

/// A running generation that was granted by an earlier leader or started
/// without a grant.
struct placement_claim {
  std::uint64_t id = 0;
  std::string service;
  std::string server;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;  ///< expected
  std::int64_t age_us = 0;         ///< since the placement
};
CITRONWHARF_VALUE(placement_claim, id, service, server, prompt_tokens,
                  output_tokens, age_us)

/// Gateway to a leader that is new to it: the generations that the gateway
/// runs.
struct placement_claims {
  static constexpr const char* type_name = "placement_claims";
  std::vector<placement_claim> claims;
};
CITRONWHARF_VALUE(placement_claims, claims)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_PLACEMENT_MESSAGES_H_
