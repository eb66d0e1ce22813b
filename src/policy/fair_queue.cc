// Start-time fair queueing: each organisation has one start tag in virtual
// time, the lowest tag is served, and service moves the tag on by cost over
// weight. An organisation without items is kept only until virtual time has
// passed its tag, so idle ones cost nothing.
#include "policy/fair_queue.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace citronwharf {
namespace {

constexpr double least_weight = 1e-6;

// Orders the items of one organisation: class, then arrival.
struct item_place {
  service_class service;
  std::uint64_t arrival;
  bool operator<(const item_place& rhs) const {
    return std::tie(service, arrival) < std::tie(rhs.service, rhs.arrival);
  }
};

// Orders organisations that wait: virtual start, then arrival.
struct turn {
  double start;
  std::uint64_t arrival;
  std::string organisation;
  bool operator<(const turn& rhs) const {
    return std::tie(start, arrival) < std::tie(rhs.start, rhs.arrival);
  }
};

struct backlog {
  double start = 0;
  std::uint64_t arrival = 0;
  std::map<item_place, queue_item> items;
  double cost = 0;  // of the items
};

struct location {
  std::string organisation;
  item_place place;
};

}  // namespace

class fair_queue::impl {
 public:
  explicit impl(fair_queue_options options) : options_(options) {}

  absl::Status push(const queue_item& item) {
    if (locations_.count(item.id) != 0) {
      return absl::AlreadyExistsError("the request waits already");
    }
    if (locations_.size() >= options_.max_items) {
      return absl::ResourceExhaustedError("the queue is full");
    }
    if (size_of(item.organisation) >= options_.max_items_per_organisation) {
      return absl::ResourceExhaustedError("the organisation's queue is full");
    }
    const item_place place{item.service, ++arrivals_};
    backlog& waiting = activate(item.organisation);
    waiting.items.emplace(place, item);
    locations_.emplace(item.id, location{item.organisation, place});
    deadlines_.emplace(item.deadline, item.id);
    cost_ += item.cost;
    waiting.cost += item.cost;
    return absl::OkStatus();
  }

  const queue_item* peek() const {
    if (turns_.empty()) return nullptr;
    const auto waiting = backlogs_.find(turns_.begin()->organisation);
    return &waiting->second.items.begin()->second;
  }

  std::optional<queue_item> pop() {
    const queue_item* next = peek();
    if (next == nullptr) return std::nullopt;
    const queue_item item = *next;
    const double start = turns_.begin()->start;
    virtual_time_ = std::max(virtual_time_, start);
    remove(item.id);
    charge(item, start);
    forget_idle();
    return item;
  }

  std::optional<queue_item> remove(std::uint64_t id) {
    const auto found = locations_.find(id);
    if (found == locations_.end()) return std::nullopt;
    const location at = found->second;
    locations_.erase(found);
    backlog& waiting = backlogs_.at(at.organisation);
    const auto place = waiting.items.find(at.place);
    queue_item item = std::move(place->second);
    waiting.items.erase(place);
    waiting.cost = waiting.items.empty() ? 0 : waiting.cost - item.cost;
    if (waiting.items.empty()) rest(at.organisation, waiting);
    deadlines_.erase({item.deadline, id});
    cost_ = locations_.empty() ? 0 : cost_ - item.cost;
    return item;
  }

  std::vector<queue_item> expire(time_point now) {
    std::vector<queue_item> late;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      late.push_back(*remove(deadlines_.begin()->second));
    }
    return late;
  }

  std::size_t size() const { return locations_.size(); }
  std::size_t size_of(const std::string& organisation) const {
    const auto found = backlogs_.find(organisation);
    return found == backlogs_.end() ? 0 : found->second.items.size();
  }
  double cost() const { return cost_; }
  double cost_of(const std::string& organisation) const {
    const auto found = backlogs_.find(organisation);
    return found == backlogs_.end() ? 0 : found->second.cost;
  }
  double weight() const {
    double sum = 0;
    for (const turn& each : turns_) {
      sum += backlogs_.at(each.organisation).items.begin()->second.weight;
    }
    return sum;
  }

 private:
  // Makes the organisation wait for its turn, if it does not yet.
  backlog& activate(const std::string& organisation) {
    backlog& waiting = backlogs_[organisation];
    if (!waiting.items.empty()) return waiting;
    resting_.erase({waiting.start, organisation});
    waiting.start = std::max(waiting.start, virtual_time_);
    waiting.arrival = arrivals_;
    turns_.insert({waiting.start, waiting.arrival, organisation});
    return waiting;
  }

  // The organisation has nothing left; its tag counts until time passes it.
  void rest(const std::string& organisation, const backlog& waiting) {
    turns_.erase({waiting.start, waiting.arrival, organisation});
    resting_.insert({waiting.start, organisation});
  }

  // Moves the organisation's tag on for an item that was served.
  void charge(const queue_item& item, double start) {
    backlog& waiting = backlogs_.at(item.organisation);
    const bool idle = waiting.items.empty();
    if (idle) {
      resting_.erase({waiting.start, item.organisation});
    } else {
      turns_.erase({waiting.start, waiting.arrival, item.organisation});
    }
    const double weight = std::max(item.weight, least_weight);
    waiting.start = start + std::max(item.cost, 0.0) / weight;
    if (idle) {
      resting_.insert({waiting.start, item.organisation});
    } else {
      waiting.arrival = ++arrivals_;
      turns_.insert({waiting.start, waiting.arrival, item.organisation});
    }
  }

  void forget_idle() {
    while (!resting_.empty() && resting_.begin()->first <= virtual_time_) {
      backlogs_.erase(resting_.begin()->second);
      resting_.erase(resting_.begin());
    }
  }

  fair_queue_options options_;
  std::unordered_map<std::string, backlog> backlogs_;
  std::unordered_map<std::uint64_t, location> locations_;
  std::set<turn> turns_;
  std::set<std::pair<double, std::string>> resting_;
  std::set<std::pair<time_point, std::uint64_t>> deadlines_;
  double virtual_time_ = 0;
  double cost_ = 0;
  std::uint64_t arrivals_ = 0;
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
