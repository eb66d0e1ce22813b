// Start-time fair queueing: each organisation has one start tag in virtual
// time. The organisation with the lowest tag is served, which advances its tag
// by cost divided by weight. An organisation without items is kept only until
// virtual time has passed its tag, so idle ones use no memory.
#include "policy/fair_queue.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace citronwharf {
namespace {

constexpr double min_weight = 1e-6;

// Order of the items of one organisation: class, then arrival.
struct item_order {
  service_class service;
  std::uint64_t arrival;
  bool operator<(const item_order& rhs) const {
    return std::tie(service, arrival) < std::tie(rhs.service, rhs.arrival);
  }
};

// Order of the organisations with waiting items: start tag, then arrival.
struct service_order {
  double start_tag;
  std::uint64_t arrival;
  std::string organisation;
  bool operator<(const service_order& rhs) const {
    return std::tie(start_tag, arrival) < std::tie(rhs.start_tag, rhs.arrival);
  }
};

struct organisation_queue {
  double start_tag = 0;
  std::uint64_t arrival = 0;
  std::map<item_order, queue_item> items;
  double cost = 0;  // total of the items
};

struct location {
  std::string organisation;
  item_order order;
};

}  // namespace

class fair_queue::impl {
 public:
  explicit impl(fair_queue_options options) : options_(options) {}

  absl::Status push(const queue_item& item) {
    if (locations_.count(item.id) != 0) {
      return absl::AlreadyExistsError(
          "a request with this id is already waiting");
    }
    if (locations_.size() >= options_.max_items) {
      return absl::ResourceExhaustedError("the queue is full");
    }
    if (size_of(item.organisation) >= options_.max_items_per_organisation) {
      return absl::ResourceExhaustedError("the organisation's queue is full");
    }
    const item_order order{item.service, ++last_arrival_};
    organisation_queue& queue = activate(item.organisation);
    queue.items.emplace(order, item);
    locations_.emplace(item.id, location{item.organisation, order});
    deadlines_.emplace(item.deadline, item.id);
    total_cost_ += item.cost;
    queue.cost += item.cost;
    return absl::OkStatus();
  }

  const queue_item* peek() const {
    if (active_.empty()) return nullptr;
    const auto queue = queues_.find(active_.begin()->organisation);
    return &queue->second.items.begin()->second;
  }

  std::optional<queue_item> pop() {
    const queue_item* next = peek();
    if (next == nullptr) return std::nullopt;
    const queue_item item = *next;
    const double start_tag = active_.begin()->start_tag;
    virtual_time_ = std::max(virtual_time_, start_tag);
    remove(item.id);
    charge(item, start_tag);
    discard_idle();
    return item;
  }

  std::optional<queue_item> remove(std::uint64_t id) {
    const auto found = locations_.find(id);
    if (found == locations_.end()) return std::nullopt;
    const location at = found->second;
    locations_.erase(found);
    organisation_queue& queue = queues_.at(at.organisation);
    const auto position = queue.items.find(at.order);
    queue_item item = std::move(position->second);
    queue.items.erase(position);
    queue.cost = queue.items.empty() ? 0 : queue.cost - item.cost;
    if (queue.items.empty()) deactivate(at.organisation, queue);
    deadlines_.erase({item.deadline, id});
    total_cost_ = locations_.empty() ? 0 : total_cost_ - item.cost;
    return item;
  }

  std::vector<queue_item> expire(time_point now) {
    std::vector<queue_item> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      expired.push_back(*remove(deadlines_.begin()->second));
    }
    return expired;
  }

  std::size_t size() const { return locations_.size(); }
  std::size_t size_of(const std::string& organisation) const {
    const auto found = queues_.find(organisation);
    return found == queues_.end() ? 0 : found->second.items.size();
  }
  double cost() const { return total_cost_; }
  double cost_of(const std::string& organisation) const {
    const auto found = queues_.find(organisation);
    return found == queues_.end() ? 0 : found->second.cost;
  }
  double weight() const {
    double total = 0;
    for (const service_order& each : active_) {
      total += queues_.at(each.organisation).items.begin()->second.weight;
    }
    return total;
  }

 private:
  // Adds the organisation to the active set if it has no waiting items yet.
  organisation_queue& activate(const std::string& organisation) {
    organisation_queue& queue = queues_[organisation];
    if (!queue.items.empty()) return queue;
    idle_.erase({queue.start_tag, organisation});
    queue.start_tag = std::max(queue.start_tag, virtual_time_);
    queue.arrival = last_arrival_;
    active_.insert({queue.start_tag, queue.arrival, organisation});
    return queue;
  }

  // Moves an organisation without items to the idle set. Its tag still counts
  // until virtual time has passed it.
  void deactivate(const std::string& organisation,
                  const organisation_queue& queue) {
    active_.erase({queue.start_tag, queue.arrival, organisation});
    idle_.insert({queue.start_tag, organisation});
  }

  // Advances the organisation's tag by the cost of an item that was served.
  void charge(const queue_item& item, double start_tag) {
    organisation_queue& queue = queues_.at(item.organisation);
    const bool idle = queue.items.empty();
    if (idle) {
      idle_.erase({queue.start_tag, item.organisation});
    } else {
      active_.erase({queue.start_tag, queue.arrival, item.organisation});
    }
    const double weight = std::max(item.weight, min_weight);
    queue.start_tag = start_tag + std::max(item.cost, 0.0) / weight;
    if (idle) {
      idle_.insert({queue.start_tag, item.organisation});
    } else {
      queue.arrival = ++last_arrival_;
      active_.insert({queue.start_tag, queue.arrival, item.organisation});
    }
  }

  void discard_idle() {
    while (!idle_.empty() && idle_.begin()->first <= virtual_time_) {
      queues_.erase(idle_.begin()->second);
      idle_.erase(idle_.begin());
    }
  }

  fair_queue_options options_;
  std::unordered_map<std::string, organisation_queue> queues_;
  std::unordered_map<std::uint64_t, location> locations_;
  std::set<service_order> active_;
  std::set<std::pair<double, std::string>> idle_;
  std::set<std::pair<time_point, std::uint64_t>> deadlines_;
  double virtual_time_ = 0;
  double total_cost_ = 0;
  std::uint64_t last_arrival_ = 0;
};

fair_queue::fair_queue(fair_queue_options options)
    : impl_(std::make_unique<impl>(options)) {}
fair_queue::~fair_queue() = default;
fair_queue::fair_queue(fair_queue&&) noexcept = default;
fair_queue& fair_queue::operator=(fair_queue&&) noexcept = default;

absl::Status fair_queue::push(const queue_item& item) {
  return impl_->push(item);
}

std::optional<queue_item> fair_queue::peek() const {
  const queue_item* next = impl_->peek();
  if (next == nullptr) return std::nullopt;
  return *next;
}

std::optional<queue_item> fair_queue::pop() {
  return impl_->pop();
}

bool fair_queue::erase(std::uint64_t id) {
  return impl_->remove(id).has_value();
}

std::vector<queue_item> fair_queue::expire(time_point now) {
  return impl_->expire(now);
}

std::size_t fair_queue::size() const {
  return impl_->size();
}

std::size_t fair_queue::size_of(const std::string& organisation) const {
  return impl_->size_of(organisation);
}

double fair_queue::waiting_cost() const {
  return impl_->cost();
}

double fair_queue::waiting_cost_of(const std::string& organisation) const {
  return impl_->cost_of(organisation);
}

double fair_queue::waiting_weight() const {
  return impl_->weight();
}

}  // namespace citronwharf
