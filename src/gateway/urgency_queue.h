/// Queue of requests that are ordered by urgency, then fairly.
#ifndef CITRONWHARF_GATEWAY_URGENCY_QUEUE_H_
#define CITRONWHARF_GATEWAY_URGENCY_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "policy/fair_queue.h"

namespace citronwharf {

/// Orders requests by urgency, and within one urgency by fair_queue between
/// organisations. Designed for this load: a burst of all urgencies that exceeds
/// the engines' memory for some seconds. Each less urgent level that is passed
/// over gains a quarter of its share of the waiting cost, and goes first when
/// this suffices for its next request, so that none is starved. With one
/// urgency it is the same as a fair_queue. Performs no I/O and reads no clock.
/// Not thread-safe.
class urgency_queue {
 public:
  /// Larger urgencies count as this one.
  static constexpr std::int64_t max_urgency = 9;

  /// Adds an item. Errors are those of fair_queue::push.
  absl::Status push(const queue_item& item, std::int64_t urgency);
  /// Returns the item that pop() would return, or nothing when empty.
  std::optional<queue_item> peek() const;
  /// Removes and returns the next item.
  std::optional<queue_item> pop();
  /// Removes an item without charging its cost; returns whether it was waiting.
  bool erase(std::uint64_t id);
  /// Returns the total cost of the waiting items.
  double waiting_cost() const;
  /// Returns the cost of what is served before the last item of an organisation
  /// at an urgency, that item included.
  double cost_ahead(const std::string& organisation,
                    std::int64_t urgency) const;

 private:
  struct level {
    fair_queue items{fair_queue_options{}};
    double gained = 0;  // cost of requests that may go first
  };
  std::map<std::int64_t, level>::const_iterator next() const;

  std::map<std::int64_t, level> levels_;  // by urgency
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_URGENCY_QUEUE_H_
