/// Weighted fair queue over organisations, with a bound for each of them.
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

/// A waiting request. `cost` is in tokens of the scarce resource.
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

/// Serves organisations in proportion to their weights, independently of how
/// much they send. Within an organisation, items are ordered by service class,
/// then by arrival. Idle organisations use no memory. Performs no I/O and reads
/// no clock; the caller passes `now`. Not thread-safe.
class fair_queue {
 public:
  explicit fair_queue(fair_queue_options options);
  ~fair_queue();
  fair_queue(fair_queue&&) noexcept;
  fair_queue& operator=(fair_queue&&) noexcept;

  /// Adds an item. Returns ResourceExhausted when a limit is reached and
  /// AlreadyExists if an item with this id is waiting.
  absl::Status push(const queue_item& item);
  /// Returns the item that pop() would return, or nothing when empty.
  std::optional<queue_item> peek() const;
  /// Removes and returns the next item.
  std::optional<queue_item> pop();
  /// Removes an item without charging its cost; returns whether it was waiting.
  bool erase(std::uint64_t id);
  /// Removes and returns the items whose deadline is at or before `now`.
  std::vector<queue_item> expire(time_point now);
  std::size_t size() const;
  std::size_t size_of(const std::string& organisation) const;
  /// Returns the total cost of the waiting items.
  double waiting_cost() const;
  /// Returns the total cost of an organisation's waiting items.
  double waiting_cost_of(const std::string& organisation) const;
  /// Returns the total weight of the organisations with waiting items.
  double waiting_weight() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_FAIR_QUEUE_H_
