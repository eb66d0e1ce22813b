/// Detects servers that fail more requests than their peers, from the outcomes
/// that all gateways report. Runs at the leader.
#ifndef CITRONWHARF_GATEWAY_OUTLIER_DETECTOR_H_
#define CITRONWHARF_GATEWAY_OUTLIER_DETECTOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/value.h"
#include "gateway/codec.h"

namespace citronwharf {

/// Outcomes of requests at a server, as counted by one gateway since its last
/// report.
struct server_outcomes {
  std::string server;
  std::int64_t good = 0;
  std::int64_t errors = 0;   ///< the server's own failures
  std::int64_t lost = 0;     ///< silent, reset or unreachable
  std::int64_t refused = 0;  ///< the server stated that it ran nothing
};
CITRONWHARF_VALUE(server_outcomes, server, good, errors, lost, refused)

/// Sent by each gateway to the leader, a few times per second.
struct outcome_report {
  static constexpr const char* type_name = "outcome_report";
  std::vector<server_outcomes> servers;
};
CITRONWHARF_VALUE(outcome_report, servers)

/// Sent by the leader to all gateways: requests avoid the server for a while.
struct outlier_notice {
  static constexpr const char* type_name = "outlier_notice";
  std::string server;
  std::string reason;
  std::int64_t span_ms = 0;
};
CITRONWHARF_VALUE(outlier_notice, server, reason, span_ms)

struct outlier_options {
  /// How long outcomes count.
  duration window = seconds(2);
  /// With fewer bad outcomes a server is no outlier, since they may be chance.
  std::int64_t min_errors = 4;
  std::int64_t min_lost = 3;
  std::int64_t min_refused = 8;
  /// Smallest shares of bad outcomes with which a server may be an outlier. It
  /// has to be worse than its peers, too, as some requests fail at any server.
  double min_error_share = 0.25;
  double min_lost_share = 0.25;
  double min_refused_share = 0.5;
  duration initial_span = milliseconds(1500);
  duration max_span = seconds(6);
  /// A server that has not been an outlier for this long starts with the
  /// initial span again.
  duration reset_after = seconds(10);
};

/// Designed for this load: one of a few servers fails requests although it
/// passes health checks, and a single gateway sees too few of them to tell.
/// Keeps more than half of a service's servers in use. Performs no I/O and
/// reads no clock; the caller passes `now`. Not thread-safe.
class outlier_detector {
 public:
  explicit outlier_detector(outlier_options options) : options_(options) {}

  void record(const outcome_report& in, time_point now);
  /// Returns a notice for each listed server that has become an outlier.
  std::vector<outlier_notice> find_outliers(
      const std::vector<listed_server>& listed, time_point now);
  /// Forgets all outcomes, for use when another process led meanwhile.
  void reset() { servers_.clear(); }

 private:
  struct sample {
    time_point at;
    server_outcomes counts;
  };
  struct server_state {
    std::deque<sample> samples;
    server_outcomes totals;
    time_point ejected_until{};
    duration ejection_span{};
  };

  void expire_samples(time_point now);
  std::string outlier_reason(const server_outcomes& own,
                             const server_outcomes& peers) const;

  outlier_options options_;
  std::map<std::string, server_state> servers_;  // by id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_OUTLIER_DETECTOR_H_
