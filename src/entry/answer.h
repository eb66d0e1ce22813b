/// The last filter: how a caller's answer looks. docs/API.md describes it.
#ifndef CITRONWHARF_ENTRY_ANSWER_H_
#define CITRONWHARF_ENTRY_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "entry/outcome.h"
#include "net/http.h"

namespace citronwharf {

/// Returns the RFC 9457 answer to a request that ended with a problem.
http_response problem_response(const std::string& request_id,
                               const problem& why);
/// Returns the whole answer of a pools route that does not stream.
http_response whole_response(const std::string& request_id,
                             const std::string& text, std::int32_t tokens);
/// Returns the answer of a plain service with the entry's own fields added.
http_response plain_response(const std::string& request_id, int status,
                             const std::vector<header_field>& headers,
                             std::string body);
/// Returns the head of a stream. Its outcome is "unknown": only the last event
/// tells it.
http_response stream_head(const std::string& request_id);
/// Returns the event that carries tokens from `offset` on.
std::string tokens_event(std::int32_t offset,
                         const std::vector<std::string>& tokens);
/// Returns the event that ends a whole stream.
std::string end_event(const std::string& request_id, std::int32_t tokens);
/// Returns the event that ends a stream which broke off.
std::string error_event(const std::string& request_id, const problem& why,
                        std::int32_t tokens);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_ANSWER_H_
