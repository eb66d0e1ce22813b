/// Selects endpoints for the requests of one entry, by reported load, failure
/// domain and prefix affinity. Each entry uses only some endpoints of a pool.
#ifndef CITRONWHARF_POLICY_PLACEMENT_H_
#define CITRONWHARF_POLICY_PLACEMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "citronwharf/configuration.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// How candidate endpoints are ranked.
enum class placement_policy {
  round_robin,
  least_load,     ///< lowest reported load first
  two_choices,    ///< the less loaded of two random ones
  predicted_wait  ///< wait and run time, prefix affinity, domain
};

struct placement_options {
  placement_policy policy = placement_policy::predicted_wait;
  std::string region;
  std::string failure_domain;
  std::size_t subset_size = 16;  ///< endpoints of a pool that one entry uses
  std::string entry;             ///< process name, selects these endpoints
  duration report_lag = milliseconds(200);  ///< age of load on replies
  duration initial_suspension = milliseconds(200);
  duration max_suspension = seconds(10);
  std::uint64_t seed = 1;
};

/// Properties of a request that affect placement.
struct placement_query {
  std::string pool;
  std::string organisation;
  std::uint64_t prefix_hash = 0;  ///< of the prompt's prefix, 0: no affinity
  std::int32_t prompt_tokens = 0;
  std::int32_t max_tokens = 0;
  std::string preferred_domain;       ///< failure domain to prefer, or ""
  std::vector<std::string> excluded;  ///< endpoints already tried
};

/// One ranked candidate.
struct placement_choice {
  std::string endpoint;
  duration predicted_wait{};  ///< until a request sent now starts
  duration predicted_run{};   ///< of this request on the endpoint
};

/// Tracks the load, speed and health of endpoints and ranks them for requests.
/// Performs no I/O and reads no clock; the caller passes `now`. Random numbers
/// come from `placement_options::seed`. Not thread-safe.
class placement {
 public:
  explicit placement(placement_options options);
  ~placement();
  placement(placement&&) noexcept;
  placement& operator=(placement&&) noexcept;

  /// Applies a configuration; keeps the estimates of endpoints that remain.
  void configure(const configuration& next);
  /// Records the load that came with a reply of `endpoint`.
  void observe(const std::string& endpoint, const endpoint_load& load,
               time_point now);
  /// Record work that was sent to or ended at the endpoint since its last load
  /// report.
  void sent(const std::string& endpoint, std::int32_t tokens, time_point now);
  void ended(const std::string& endpoint, std::int32_t tokens, time_point now);
  /// Records that the session to the endpoint was established or lost.
  void reachable(const std::string& endpoint, bool is_up, time_point now);
  /// Records that a request failed or was slow. The endpoint is suspended with
  /// exponential back-off, at most `max_suspension`; afterwards it gets one
  /// request at a time until one succeeds.
  void failed(const std::string& endpoint, time_point now);
  void succeeded(const std::string& endpoint, time_point now);
  /// Records that a prefill of `prompt_tokens` took `run_time`.
  void measured(const std::string& endpoint, std::int32_t prompt_tokens,
                duration run_time);

  /// Returns up to `max_choices` endpoints of the pool, best first; empty when
  /// none is usable.
  std::vector<placement_choice> choose(const placement_query& query,
                                       std::size_t max_choices, time_point now);
  /// Returns the time until an endpoint of the pool is predicted to accept
  /// work.
  duration retry_after(const std::string& pool, time_point now) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_PLACEMENT_H_
