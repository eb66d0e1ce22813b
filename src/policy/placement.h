/// Choice of endpoints on an entry: by sample of the known, affinity of the
/// prompt's prefix, failure domain, and what replies told.
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

/// How endpoints are ranked.
enum class placement_policy {
  round_robin,
  least_load,     ///< least reported load
  two_choices,    ///< the better of two by reported load
  predicted_wait  ///< predicted wait with affinity and failure domains
};

struct placement_options {
  placement_policy policy = placement_policy::predicted_wait;
  std::string region;
  std::string failure_domain;
  std::size_t subset = 16;  ///< endpoints of a pool that one entry uses
  std::string entry;        ///< process name, seeds the subset
  duration report_lag = milliseconds(200);  ///< of load on replies
  duration first_suspension = milliseconds(200);
  duration longest_suspension = seconds(10);
  std::uint64_t seed = 1;
};

/// What placement needs to know of a request.
struct placement_query {
  std::string pool;
  std::string organisation;
  std::uint64_t prefix_hash = 0;  ///< of the prompt's head, 0: no affinity
  std::int32_t prompt_tokens = 0;
  std::int32_t max_tokens = 0;
  std::string near_domain;            ///< failure domain to be near to, or ""
  std::vector<std::string> excluded;  ///< endpoints already tried
};

/// One candidate, best first.
struct placement_choice {
  std::string endpoint;
  duration predicted_wait{};  ///< until work sent now would start
  duration predicted_run{};   ///< prefill time of this prompt there
};

/// Keeps what this entry learned of endpoints. No I/O, no clock of its own;
/// random numbers from its seed. One thread.
class placement {
 public:
  explicit placement(placement_options options);
  ~placement();
  placement(placement&&) noexcept;
  placement& operator=(placement&&) noexcept;

  /// Takes a new configuration; what was learned of kept endpoints stays.
  void configure(const configuration& next);
  /// Takes the load on a reply of `endpoint`.
  void observe(const std::string& endpoint, const endpoint_load& load,
               time_point now);
  /// Marks work sent to or ended at the endpoint, between load reports.
  void sent(const std::string& endpoint, std::int32_t tokens, time_point now);
  void ended(const std::string& endpoint, std::int32_t tokens, time_point now);
  /// A session to the endpoint came up or was lost.
  void reachable(const std::string& endpoint, bool up, time_point now);
  /// Work failed or was slow there: out of choice for a bounded, growing time,
  /// then tried with one request at a time until one succeeds.
  void failed(const std::string& endpoint, time_point now);
  void succeeded(const std::string& endpoint, time_point now);
  /// A prefill of `prompt_tokens` took `run` there.
  void measured(const std::string& endpoint, std::int32_t prompt_tokens,
                duration run);

  /// Ranks up to `most` endpoints of the pool; empty when none may be asked.
  std::vector<placement_choice> choose(const placement_query& query,
                                       std::size_t most, time_point now);
  /// Returns when an endpoint of the pool is predicted to take work.
  duration retry_after(const std::string& pool, time_point now) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_PLACEMENT_H_
