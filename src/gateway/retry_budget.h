/// How many sends beyond the first of each request a service may get from this
/// process, so that retries can't multiply an overload.
#ifndef CITRONWHARF_GATEWAY_RETRY_BUDGET_H_
#define CITRONWHARF_GATEWAY_RETRY_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace citronwharf {

struct retry_budget_options {
  double ratio = 0.2;  ///< share of the requests
  double slack = 60;   ///< beyond the share, over all processes
  duration window = seconds(10);
};

/// The bound holds for the fleet without any exchange: each process keeps to
/// the share of its own requests and to its part of the slack. No clock of its
/// own. One thread.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options);

  /// A request for the service was received.
  void request(const std::string& service, time_point now);
  /// Takes one send beyond the first, if the budget has one. `processes` share
  /// the slack.
  bool take(const std::string& service, std::size_t processes, time_point now);
  /// Returns whether take() would succeed.
  bool has(const std::string& service, std::size_t processes, time_point now);
  /// Gives back what was taken at a time and was no send beyond the first after
  /// all. Precondition: take() succeeded then.
  void put_back(const std::string& service, time_point taken);

 private:
  struct counts {
    std::deque<time_point> requests;
    std::deque<time_point> extras;
  };
  void forget_old(counts& of, time_point now) const;

  retry_budget_options options_;
  std::map<std::string, counts> services_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_RETRY_BUDGET_H_
