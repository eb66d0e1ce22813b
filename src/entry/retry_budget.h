/// Bounds retries to a share of fresh work, so that a fault is never
/// multiplied by the retries that it causes.
#ifndef CITRONWHARF_ENTRY_RETRY_BUDGET_H_
#define CITRONWHARF_ENTRY_RETRY_BUDGET_H_

namespace citronwharf {

struct retry_budget_options {
  double share = 0.2;      ///< retries earned by one fresh request
  double most_saved = 20;  ///< retries that can be saved up
};

/// Counts what may be retried in one process. No clock. One thread.
/// Example: budget.fresh(); if (budget.take()) { retry(); }
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options)
      : options_(options), saved_(options.most_saved) {}

  /// Counts a fresh request.
  void fresh();
  /// Takes one retry; false when the budget is used up.
  bool take();
  /// Returns the retries left.
  double saved() const { return saved_; }

 private:
  retry_budget_options options_;
  double saved_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_RETRY_BUDGET_H_
