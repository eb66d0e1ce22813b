/// Limits retries to a fraction of first attempts, so that the retries that a
/// fault causes cannot multiply its load.
#ifndef CITRONWHARF_ENTRY_RETRY_BUDGET_H_
#define CITRONWHARF_ENTRY_RETRY_BUDGET_H_

namespace citronwharf {

struct retry_budget_options {
  double ratio = 0.2;         ///< retries added per new request
  double max_available = 20;  ///< upper limit of available retries
};

/// Token bucket for the retries of one process. Reads no clock.
/// Not thread-safe.
///
/// Example: budget.record_request(); if (budget.try_spend()) { retry(); }
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options)
      : options_(options), available_(options.max_available) {}

  /// Records a new request, which adds `ratio` retries.
  void record_request();
  /// Spends one retry; returns false when none is available.
  bool try_spend();
  double available() const { return available_; }

 private:
  retry_budget_options options_;
  double available_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_RETRY_BUDGET_H_
