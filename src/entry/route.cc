#include "entry/route.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/decode.h"
#include "base/token_count.h"

namespace citronwharf {
namespace {

constexpr int bad_request_status = 400;
constexpr int not_found = 404;
constexpr int method_not_allowed = 405;
constexpr int content_too_large = 413;
constexpr int unprocessable = 422;

problem make_refusal(int status, const char* reason, const char* detail) {
  return problem{status, request_outcome::not_run, reason, detail, {}, false};
}

bool allows_method(const route& in, const std::string& method) {
  if (in.methods.empty()) {
    return method == "POST";
  }
  return std::find(in.methods.begin(), in.methods.end(), method) !=
         in.methods.end();
}

// Returns whether `in` is an integer from 1 to `upper_bound`.
bool is_integer_in_range(const nlohmann::json& in, std::int64_t upper_bound) {
  if (!in.is_number_integer()) {
    return false;
  }
  if (in.is_number_unsigned()) {
    const auto value = in.get<std::uint64_t>();
    return value >= 1 && value <= static_cast<std::uint64_t>(upper_bound);
  }
  return false;
}

value_or_problem<pools_call> parse_pools_call(const std::string& body,
                                              const route& to) {
  const auto document = parse_json(body);
  if (!document.ok()) {
    return make_refusal(bad_request_status, reasons::not_json,
                        "the body is not JSON");
  }
  if (!document->is_object()) {
    return make_refusal(unprocessable, reasons::wrong_type,
                        "the body is not an object");
  }
  const auto prompt = document->find("prompt");
  if (prompt == document->end() || !prompt->is_string() ||
      prompt->get_ref<const std::string&>().empty()) {
    return make_refusal(unprocessable, reasons::wrong_type,
                        "prompt must be a text that is not empty");
  }
  const std::int64_t max_tokens_limit = std::min<std::int64_t>(
      to.max_output_tokens, std::numeric_limits<std::int32_t>::max());
  pools_call call;
  call.max_tokens =
      static_cast<std::int32_t>(std::min(max_tokens_limit, default_max_tokens));
  if (const auto count = document->find("max_tokens");
      count != document->end()) {
    if (!is_integer_in_range(*count, max_tokens_limit)) {
      return make_refusal(
          unprocessable, reasons::wrong_type,
          "max_tokens must be a whole number from 1 to the route's "
          "limit");
    }
    call.max_tokens = count->get<std::int32_t>();
  }
  if (const auto stream = document->find("stream"); stream != document->end()) {
    if (!stream->is_boolean()) {
      return make_refusal(unprocessable, reasons::wrong_type,
                          "stream must be true or false");
    }
    call.stream = stream->get<bool>();
  }
  call.prompt = prompt->get<std::string>();
  call.prompt_tokens = token_count(call.prompt);
  return call;
}

}  // namespace

value_or_problem<routed_call> find_route(const caller_request& request,
                                         const configuration& current) {
  const auto found = std::find_if(
      current.routes.begin(), current.routes.end(),
      [&](const route& each) { return each.name == request.route; });
  if (found == current.routes.end()) {
    return make_refusal(not_found, reasons::unknown_route, "no such route");
  }
  if (!allows_method(*found, request.method)) {
    return make_refusal(method_not_allowed, reasons::wrong_method,
                        "the route does not take this method");
  }
  if (static_cast<std::int64_t>(request.body.size()) > found->max_body_bytes) {
    return make_refusal(content_too_large, reasons::body_too_large,
                        "the body is larger than the route takes");
  }
  if (found->kind == route_kind::plain) {
    return routed_call{
        *found, plain_call{request.method, request.route_target,
                           end_to_end_headers(request.headers), request.body}};
  }
  auto call = parse_pools_call(request.body, *found);
  if (auto* parse_problem = std::get_if<problem>(&call)) {
    return std::move(*parse_problem);
  }
  return routed_call{*found, std::get<pools_call>(std::move(call))};
}

double cost_of(const routed_call& in) {
  if (const auto* pools = std::get_if<pools_call>(&in.call)) {
    return static_cast<double>(pools->prompt_tokens) + pools->max_tokens;
  }
  return static_cast<double>(in.to.plain_cost_tokens);
}

}  // namespace citronwharf
