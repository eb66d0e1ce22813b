/// Messages between entry processes and endpoint processes. Times are durations
/// in microseconds, never time points, since clocks differ between VMs.
#ifndef CITRONWHARF_WIRE_REQUEST_MESSAGES_H_
#define CITRONWHARF_WIRE_REQUEST_MESSAGES_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// Identifies one attempt of one request of one incarnation of an entry
/// process. All resources held by an endpoint are held for such a key.
struct attempt_key {
  std::string entry;              ///< process name of the entry
  std::uint64_t incarnation = 0;  ///< of the entry process
  std::uint64_t request = 0;      ///< counter of that incarnation
  std::uint32_t attempt = 0;      ///< counter of that request, from 1
};
CITRONWHARF_VALUE(attempt_key, entry, incarnation, request, attempt)
inline bool operator<(const attempt_key& lhs, const attempt_key& rhs) {
  return std::tie(lhs.entry, lhs.incarnation, lhs.request, lhs.attempt) <
         std::tie(rhs.entry, rhs.incarnation, rhs.request, rhs.attempt);
}
/// Returns "entry/incarnation/request/attempt", the request id that engines
/// receive.
std::string to_string(const attempt_key& key);

/// Load of an endpoint, sent with every reply. A piece is the unit in which an
/// engine allocates KV cache memory.
struct endpoint_load {
  std::uint64_t incarnation = 0;  ///< of the endpoint process
  std::int32_t pieces_total = 0;
  std::int32_t piece_tokens = 0;       ///< capacity of one piece
  std::int32_t pieces_free = 0;        ///< neither in use nor reserved
  std::int32_t running = 0;            ///< requests in the engine
  std::int32_t waiting = 0;            ///< requests in the endpoint's queue
  std::int64_t queue_delay_us = 0;     ///< predicted for a new request
  double tokens_per_second = 0;        ///< prefill: prompt; decode: output
  std::int64_t token_interval_us = 0;  ///< decode: current time between tokens
  bool leaving = false;                ///< accepts no new requests
};
CITRONWHARF_VALUE(endpoint_load, incarnation, pieces_total, piece_tokens,
                  pieces_free, running, waiting, queue_delay_us,
                  tokens_per_second, token_interval_us, leaving)

/// Why an endpoint did not complete a request.
enum class failure_reason {
  none,
  wrong_incarnation,  ///< addressed to an earlier incarnation: not run
  leaving,            ///< draining: not run
  no_memory,          ///< no memory became free in time: not run
  too_large,          ///< exceeds the total memory of the engine: not run
  queue_full,         ///< the limit of the queue is reached: not run
  deadline,           ///< the deadline cannot be met or has passed
  export_expired,     ///< the exported KV cache has expired
  transfer_failed,
  engine_refused,  ///< the engine reported an error before running it
  engine_lost,     ///< the engine broke off or sent an invalid response
  cancelled,
  duplicate  ///< this attempt has already been run
};
NLOHMANN_JSON_SERIALIZE_ENUM(
    failure_reason, {{failure_reason::none, "none"},
                     {failure_reason::wrong_incarnation, "wrong_incarnation"},
                     {failure_reason::leaving, "leaving"},
                     {failure_reason::no_memory, "no_memory"},
                     {failure_reason::too_large, "too_large"},
                     {failure_reason::queue_full, "queue_full"},
                     {failure_reason::deadline, "deadline"},
                     {failure_reason::export_expired, "export_expired"},
                     {failure_reason::transfer_failed, "transfer_failed"},
                     {failure_reason::engine_refused, "engine_refused"},
                     {failure_reason::engine_lost, "engine_lost"},
                     {failure_reason::cancelled, "cancelled"},
                     {failure_reason::duplicate, "duplicate"}})

/// Common header of the requests from an entry to an endpoint.
struct work_header {
  attempt_key key;
  std::uint64_t endpoint_incarnation = 0;  ///< 0 if not yet known
  std::string organisation;                ///< "" on open routes
  double weight = 1.0;                     ///< of the organisation
  std::string service;                     ///< name of a service_class
  std::int64_t deadline_us = 0;  ///< time left until the caller's deadline
  std::string traceparent;       ///< W3C trace context, "" if not sampled
};
CITRONWHARF_VALUE(work_header, key, endpoint_incarnation, organisation, weight,
                  service, deadline_us, traceparent)

/// Entry to decode endpoint: reserves pieces, to be free by the predicted end
/// of prefill.
struct reserve_request {
  static constexpr const char* type_name = "reserve";
  work_header header;
  std::int32_t prompt_tokens = 0;
  std::int32_t max_tokens = 0;
  std::int64_t ready_in_us = 0;  ///< predicted arrival of the KV cache
};
CITRONWHARF_VALUE(reserve_request, header, prompt_tokens, max_tokens,
                  ready_in_us)

/// Decode endpoint to entry. A reservation that is not used within its lease is
/// released.
struct reserve_reply {
  static constexpr const char* type_name = "reserve_reply";
  attempt_key key;
  failure_reason reason = failure_reason::none;  ///< none: reserved
  std::int32_t pieces = 0;
  std::int64_t available_in_us = 0;  ///< predicted, until the pieces are free
  std::int64_t lease_us = 0;
  std::int64_t retry_after_us = 0;  ///< if refused
  endpoint_load load;
};
CITRONWHARF_VALUE(reserve_reply, key, reason, pieces, available_in_us, lease_us,
                  retry_after_us, load)

/// Entry to prefill endpoint: runs the prompt and exports its KV cache.
struct prefill_request {
  static constexpr const char* type_name = "prefill";
  work_header header;
  std::string model;
  std::string prompt;
  std::int32_t prompt_tokens = 0;
};
CITRONWHARF_VALUE(prefill_request, header, model, prompt, prompt_tokens)

/// Prefill endpoint to entry: the exported KV cache, or why there is none.
struct prefill_reply {
  static constexpr const char* type_name = "prefill_reply";
  attempt_key key;
  failure_reason reason = failure_reason::none;
  bool ran = false;            ///< whether the engine may have run the prompt
  std::string export_id;       ///< identifies the exported KV cache
  std::string engine_address;  ///< "ip:port" of the engine to import from
  std::int64_t expires_in_us = 0;
  std::int64_t kv_bytes = 0;
  std::int64_t queued_us = 0;
  std::int64_t run_us = 0;
  std::int64_t retry_after_us = 0;
  endpoint_load load;
};
CITRONWHARF_VALUE(prefill_reply, key, reason, ran, export_id, engine_address,
                  expires_in_us, kv_bytes, queued_us, run_us, retry_after_us,
                  load)

/// Entry to decode endpoint: imports the KV cache and generates tokens. Uses
/// the reservation with the same key if there is one.
struct decode_request {
  static constexpr const char* type_name = "decode";
  work_header header;
  std::string model;
  std::string export_id;
  std::string engine_address;
  std::int64_t expires_in_us = 0;
  std::int32_t prompt_tokens = 0;
  std::int32_t max_tokens = 0;
  std::int32_t offset = 0;  ///< tokens that the caller already has
};
CITRONWHARF_VALUE(decode_request, header, model, export_id, engine_address,
                  expires_in_us, prompt_tokens, max_tokens, offset)

/// Decode endpoint to entry: generated tokens, starting at `offset`.
struct tokens_message {
  static constexpr const char* type_name = "tokens";
  attempt_key key;
  std::int32_t offset = 0;
  std::vector<std::string> tokens;
};
CITRONWHARF_VALUE(tokens_message, key, offset, tokens)

/// Decode endpoint to entry: the stream has ended.
struct decode_finished {
  static constexpr const char* type_name = "decode_finished";
  attempt_key key;
  failure_reason reason = failure_reason::none;  ///< none: complete
  bool ran = false;               ///< whether any token was generated
  std::int32_t total_tokens = 0;  ///< counted from offset 0, if complete
  std::int64_t transfer_us = 0;
  std::int64_t retry_after_us = 0;
  endpoint_load load;
};
CITRONWHARF_VALUE(decode_finished, key, reason, ran, total_tokens, transfer_us,
                  retry_after_us, load)

/// Entry to decode endpoint: resumes the stream of an attempt at `offset` after
/// the session was lost. Answered by tokens_message or decode_finished.
struct resume_request {
  static constexpr const char* type_name = "resume";
  attempt_key key;
  std::uint64_t endpoint_incarnation = 0;
  std::int32_t offset = 0;
};
CITRONWHARF_VALUE(resume_request, key, endpoint_incarnation, offset)

/// Entry to any endpoint: cancels an attempt and releases its resources.
struct cancel_request {
  static constexpr const char* type_name = "cancel";
  attempt_key key;
};
CITRONWHARF_VALUE(cancel_request, key)

/// Entry to any endpoint, every second: the attempts that the entry still
/// needs. Other attempts held for this entry end when their lease expires.
struct wanted_attempts {
  static constexpr const char* type_name = "claims";
  std::string entry;
  std::uint64_t incarnation = 0;
  std::vector<attempt_key> wanted;
};
CITRONWHARF_VALUE(wanted_attempts, entry, incarnation, wanted)

/// Endpoint to entry: its load, on a new session and whenever its state
/// changes.
struct endpoint_hello {
  static constexpr const char* type_name = "endpoint_hello";
  std::string endpoint;
  endpoint_load load;
};
CITRONWHARF_VALUE(endpoint_hello, endpoint, load)

/// An HTTP header field.
struct header_field {
  std::string name;
  std::string value;
};
CITRONWHARF_VALUE(header_field, name, value)

/// Entry to plain endpoint: one HTTP call, which is sent to the service at most
/// once.
struct plain_request {
  static constexpr const char* type_name = "plain";
  work_header header;
  std::string method;
  std::string target;
  std::vector<header_field> headers;
  std::string body;
};
CITRONWHARF_VALUE(plain_request, header, method, target, headers, body)

/// Plain endpoint to entry: the response of the service.
struct plain_reply {
  static constexpr const char* type_name = "plain_reply";
  attempt_key key;
  failure_reason reason = failure_reason::none;
  bool ran = false;  ///< whether the service may have run the call
  std::int32_t status = 0;
  std::vector<header_field> headers;
  std::string body;
  std::int64_t retry_after_us = 0;
  endpoint_load load;
};
CITRONWHARF_VALUE(plain_reply, key, reason, ran, status, headers, body,
                  retry_after_us, load)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_REQUEST_MESSAGES_H_
