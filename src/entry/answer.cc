#include "entry/answer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/decode.h"
#include "entry/read.h"

namespace citronwharf {
namespace {

constexpr int unauthorized = 401;

nlohmann::json problem_document(const std::string& request_id,
                                const problem& failure) {
  return {{"type", "urn:citronwharf:problem:" + failure.reason},
          {"title", failure.reason},
          {"status", failure.status},
          {"detail", failure.detail},
          {"outcome", to_string(failure.outcome)},
          {"request_id", request_id}};
}

std::vector<header_field> outcome_headers(const std::string& request_id,
                                          request_outcome outcome,
                                          const char* content_type) {
  return {{"Content-Type", content_type},
          {"X-Request-Id", request_id},
          {"X-Outcome", to_string(outcome)}};
}

std::string format_event(const char* name, const nlohmann::json& data) {
  return std::string("event: ") + name + "\ndata: " + write_json(data) + "\n\n";
}

std::string retry_after_seconds(duration span) {
  const auto rounded = std::chrono::ceil<seconds>(span).count();
  return std::to_string(std::max<std::int64_t>(rounded, 1));
}

}  // namespace

http_response problem_response(const std::string& request_id,
                               const problem& failure) {
  http_response out;
  out.status = failure.status;
  out.headers =
      outcome_headers(request_id, failure.outcome, "application/problem+json");
  if (failure.retry_after > duration{}) {
    out.headers.push_back(
        {"Retry-After", retry_after_seconds(failure.retry_after)});
  }
  if (failure.status == unauthorized) {
    out.headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  out.body = write_json(problem_document(request_id, failure));
  return out;
}

http_response pools_response(const std::string& request_id,
                             const std::string& text, std::int32_t tokens) {
  http_response out;
  out.headers =
      outcome_headers(request_id, request_outcome::done, "application/json");
  out.body =
      write_json({{"text", text}, {"tokens", tokens}, {"outcome", "done"}});
  return out;
}

http_response plain_response(const std::string& request_id, int status,
                             const std::vector<header_field>& headers,
                             std::string body) {
  http_response out;
  out.status = status;
  for (const header_field& field : end_to_end_headers(headers)) {
    if (count_header({field}, "X-Request-Id") == 0 &&
        count_header({field}, "X-Outcome") == 0) {
      out.headers.push_back(field);
    }
  }
  out.headers.push_back({"X-Request-Id", request_id});
  out.headers.push_back({"X-Outcome", to_string(request_outcome::done)});
  out.body = std::move(body);
  return out;
}

http_response stream_response_head(const std::string& request_id) {
  http_response out;
  out.headers = outcome_headers(request_id, request_outcome::unknown,
                                "text/event-stream");
  out.headers.push_back({"Cache-Control", "no-store"});
  return out;
}

std::string tokens_event(std::int32_t offset,
                         const std::vector<std::string>& tokens) {
  return format_event("tokens", {{"offset", offset}, {"tokens", tokens}});
}

std::string end_event(const std::string& request_id, std::int32_t tokens) {
  return format_event(
      "end",
      {{"outcome", "done"}, {"tokens", tokens}, {"request_id", request_id}});
}

std::string error_event(const std::string& request_id, const problem& failure,
                        std::int32_t tokens) {
  nlohmann::json document = problem_document(request_id, failure);
  document["tokens"] = tokens;
  if (failure.retry_after > duration{}) {
    document["retry_after"] = retry_after_seconds(failure.retry_after);
  }
  return format_event("error", document);
}

}  // namespace citronwharf
