/// Finds servers that serve worse than their peers, from what all gateways see.
/// Runs at the leader.
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

/// How requests at a server ended, as one gateway counted them for a while.
struct server_outcomes {
  std::string server;
  std::int64_t good = 0;
  std::int64_t errors = 0;   ///< the server's own failures
  std::int64_t lost = 0;     ///< silent, reset or unreachable
  std::int64_t refused = 0;  ///< stated that it ran nothing
};
CITRONWHARF_VALUE(server_outcomes, server, good, errors, lost, refused)

/// A gateway to the leader, a few times a second.
struct outcome_report {
  static constexpr const char* type_name = "outcome_report";
  std::vector<server_outcomes> servers;
};
CITRONWHARF_VALUE(outcome_report, servers)

/// The leader to all gateways: requests go elsewhere for a while.
struct outlier_notice {
  static constexpr const char* type_name = "outlier_notice";
  std::string server;
  std::string reason;
  std::int64_t span_ms = 0;
};
CITRONWHARF_VALUE(outlier_notice, server, reason, span_ms)

struct outlier_options {
  /// Outcomes count for so long.
  duration window = seconds(2);
  /// Fewer bad outcomes may be chance.
  std::int64_t min_errors = 4;
  std::int64_t min_lost = 3;
  std::int64_t min_refused = 8;
  /// Shares of a server's outcomes from which on it may be an outlier. It has
  /// to be worse than its peers, too: a request may fail everywhere.
  double min_error_share = 0.25;
  double min_lost_share = 0.25;
  double min_refused_share = 0.5;
  duration initial_span = milliseconds(1500);
  duration max_span = seconds(6);
  /// After this long without being one, a server starts with the initial span.
  duration forget_after = seconds(10);
};

/// Load it answers: one server of a few fails requests although it answers
/// health checks, and each gateway alone sees too little of it. Leaves more
/// than half of a service's servers in use. No I/O, no clock of its own. One
/// thread.
class outlier_detector {
 public:
  explicit outlier_detector(outlier_options options) : options_(options) {}

  void take(const outcome_report& in, time_point now);
  /// Returns the servers that are outliers as of now, given the directory.
  std::vector<outlier_notice> decide(const std::vector<listed_server>& listed,
                                     time_point now);
  /// Forgets everything, as when another process led meanwhile.
  void reset() { servers_.clear(); }

 private:
  struct sample {
    time_point at;
    server_outcomes counts;
  };
  struct server_state {
    std::deque<sample> samples;
    server_outcomes sum;
    time_point out_until{};
    duration span{};
  };

  void forget_old(time_point now);
  std::string fault_of(const server_outcomes& own,
                       const server_outcomes& peers) const;

  outlier_options options_;
  std::map<std::string, server_state> servers_;  // by id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_OUTLIER_DETECTOR_H_
