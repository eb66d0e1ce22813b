#include "gateway/urgency_queue.h"

#include <algorithm>

namespace citronwharf {
namespace {

// The least that a level gets, as a part of its share of what waits: no kind of
// request may be served less than a quarter as often as all.
constexpr double guaranteed_share = 0.25;

}  // namespace

absl::Status urgency_queue::push(const queue_item& item, std::int64_t urgency) {
  const std::int64_t at = std::clamp<std::int64_t>(urgency, 0, max_urgency);
  return levels_[at].items.push(item);
}

std::map<std::int64_t, urgency_queue::level>::const_iterator
urgency_queue::next() const {
  const auto due =
      std::find_if(levels_.begin(), levels_.end(), [](const auto& entry) {
        const level& each = entry.second;
        const auto item = each.items.peek();
        return item && each.gained >= item->cost;
      });
  return due != levels_.end()
             ? due
             : std::find_if(levels_.begin(), levels_.end(),
                            [](const auto& entry) {
                              return entry.second.items.size() > 0;
                            });
}

std::optional<queue_item> urgency_queue::peek() const {
  const auto at = next();
  return at == levels_.end() ? std::nullopt : at->second.items.peek();
}

std::optional<queue_item> urgency_queue::pop() {
  const auto at = next();
  if (at == levels_.end()) {
    return std::nullopt;
  }
  const double waiting = waiting_cost();
  const std::int64_t urgency = at->first;
  level& from = levels_.at(urgency);
  auto out = from.items.pop();
  if (!out) {
    return out;
  }
  from.gained =
      from.items.size() == 0 ? 0 : std::max(0.0, from.gained - out->cost);
  for (auto& [other, each] : levels_) {
    if (other > urgency && waiting > 0) {
      each.gained +=
          guaranteed_share * out->cost * each.items.waiting_cost() / waiting;
    }
  }
  return out;
}

bool urgency_queue::erase(std::uint64_t id) {
  return std::any_of(levels_.begin(), levels_.end(), [id](auto& entry) {
    return entry.second.items.erase(id);
  });
}

double urgency_queue::waiting_cost() const {
  double out = 0;
  for (const auto& [urgency, each] : levels_) {
    out += each.items.waiting_cost();
  }
  return out;
}

double urgency_queue::cost_ahead(const std::string& organisation,
                                 std::int64_t urgency) const {
  const std::int64_t own = std::clamp<std::int64_t>(urgency, 0, max_urgency);
  double out = 0;
  for (const auto& [at, each] : levels_) {
    if (at < own) {
      out += each.items.waiting_cost();
    } else if (at == own) {
      out += std::min(each.items.waiting_cost(),
                      each.items.waiting_cost_of(organisation) *
                          each.items.waiting_weight());
    }
  }
  return out;
}

}  // namespace citronwharf
