#include "gateway/serving_time.h"

#include <algorithm>

namespace citronwharf {
namespace {

// Expected output as a share of the output limit when the caller gives no
// estimate. Most answers end long before the limit.
constexpr double expected_output_share = 0.4;
// The gap objective limits the longest pause between two events; most pauses
// are well below it.
constexpr double usual_gap_share = 0.5;

duration stream_time(const gateway_route& route, const gateway_service& service,
                     std::int64_t tokens) {
  const std::int64_t per_event =
      service.engine
          ? std::max<std::int64_t>(1, service.engine->tokens_per_event)
          : 1;
  // Larger outputs outlast every process; the limit prevents an overflow.
  constexpr std::int64_t max_events = 1000000;
  const std::int64_t events = std::min(max_events, tokens / per_event);
  return events * milliseconds(route.gap_objective_ms);
}

}  // namespace

std::int64_t expected_output_tokens(const caller_request& caller) {
  const std::int64_t limit = caller.max_output_tokens.value_or(0);
  const auto default_output = static_cast<std::int64_t>(
      expected_output_share * static_cast<double>(limit));
  const std::int64_t expected = std::max<std::int64_t>(
      1, caller.expected_output_tokens.value_or(default_output));
  return limit > 0 ? std::min(limit, expected) : expected;
}

duration expected_serving_time(const gateway_route& route,
                               const gateway_service& service,
                               const caller_request& caller) {
  const duration objective = milliseconds(route.objective_ms);
  if (!route.stream) {
    return objective;
  }
  return objective +
         std::chrono::duration_cast<duration>(
             usual_gap_share *
             stream_time(route, service, expected_output_tokens(caller)));
}

duration max_serving_time(const gateway_route& route,
                          const gateway_service& service,
                          const caller_request& caller) {
  const duration objective = milliseconds(route.objective_ms);
  if (!route.stream) {
    return objective;
  }
  const std::int64_t tokens = std::max(expected_output_tokens(caller),
                                       caller.max_output_tokens.value_or(0));
  return objective + stream_time(route, service, tokens);
}

}  // namespace citronwharf
