/// Formats the responses and stream events that callers receive, as described
/// in docs/API.md.
#ifndef CITRONWHARF_ENTRY_ANSWER_H_
#define CITRONWHARF_ENTRY_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "entry/outcome.h"
#include "net/http.h"

namespace citronwharf {

/// Returns the RFC 9457 response to a request that ended with a problem.
http_response problem_response(const std::string& request_id,
                               const problem& failure);
/// Returns the response of a pools route without streaming.
http_response pools_response(const std::string& request_id,
                             const std::string& text, std::int32_t tokens);
/// Returns the response of a plain service with the entry's headers added.
http_response plain_response(const std::string& request_id, int status,
                             const std::vector<header_field>& headers,
                             std::string body);
/// Returns the response head of a stream. Its outcome header says "unknown",
/// because only the last event carries the outcome.
http_response stream_response_head(const std::string& request_id);
/// Returns the event that carries tokens starting at `offset`.
std::string tokens_event(std::int32_t offset,
                         const std::vector<std::string>& tokens);
/// Returns the event that ends a complete stream.
std::string end_event(const std::string& request_id, std::int32_t tokens);
/// Returns the event that ends an interrupted stream.
std::string error_event(const std::string& request_id, const problem& failure,
                        std::int32_t tokens);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ANSWER_H_
