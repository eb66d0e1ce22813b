/// Estimates how long requests take, for a process that will end soon.
#ifndef CITRONWHARF_GATEWAY_SERVING_TIME_H_
#define CITRONWHARF_GATEWAY_SERVING_TIME_H_

#include <cstdint>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/gateway_configuration.h"

namespace citronwharf {

/// Returns the output tokens that a generation is expected to have, at least
/// one: the caller's estimate, or a share of the output limit. Thread-safe.
std::int64_t expected_output_tokens(const caller_request& caller);

/// Returns the time that a request is expected to take: its latency objective
/// and, if it is a stream, the expected output at the usual pace. Thread-safe.
duration expected_serving_time(const gateway_route& route,
                               const gateway_service& service,
                               const caller_request& caller);

/// Returns the time that a request takes at most while its server keeps the
/// objectives: as above, but for a stream with the whole output limit and the
/// longest pauses allowed. Thread-safe.
duration max_serving_time(const gateway_route& route,
                          const gateway_service& service,
                          const caller_request& caller);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_SERVING_TIME_H_
