/// Weighted fair queueing over organisations, bounded for each of them.
#ifndef CITRONWHARF_POLICY_FAIR_QUEUE_H_
#define CITRONWHARF_POLICY_FAIR_QUEUE_H_

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "citronwharf/configuration.h"

namespace citronwharf {

/// A waiting request. `cost` is in tokens of the scarce thing.
struct queue_item {
  std::uint64_t id = 0;
  std::string organisation;
  double weight = 1.0;
  service_class service = service_class::summary;
  double cost = 1.0;
  time_point deadline{};
};

struct fair_queue_options {
  std::size_t max_items = 1024;
  std::size_t max_items_per_organisation = 256;
};

/// Serves organisations in proportion to their weights, whatever they send;
/// within an organisation urgent classes first, then first come. Idle
/// organisations cost nothing. No I/O, no clock of its own. One thread.
class fair_queue {
 public:
  explicit fair_queue(fair_queue_options options);
  ~fair_queue();
  fair_queue(fair_queue&&) noexcept;
  fair_queue& operator=(fair_queue&&) noexcept;

  /// Adds an item. ResourceExhausted when a bound is reached, AlreadyExists
  /// for an id that waits.
  absl::Status push(const queue_item& item);
  /// Returns the item that pop() would give, or nothing when empty.
  std::optional<queue_item> peek() const;
  /// Takes the next item.
  std::optional<queue_item> pop();
  /// Removes an item; returns whether it waited here. Its cost isn't charged.
  bool erase(std::uint64_t id);
  /// Removes and returns the items whose deadline is at or before `now`.
  std::vector<queue_item> expire(time_point now);
  std::size_t size() const;
  std::size_t size_of(const std::string& organisation) const;
  /// Returns the summed cost of what waits.
  double waiting_cost() const;
  /// Returns the cost of what waits for one organisation.
  double waiting_cost_of(const std::string& organisation) const;
  /// Returns the summed weight of the organisations that wait.
  double waiting_weight() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_FAIR_QUEUE_H_
