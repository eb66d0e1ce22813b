#include "gateway/retry_budget.h"

#include <algorithm>

namespace citronwharf {
namespace {

// Requests and sends are counted at slightly different moments by others.
constexpr double margin = 0.8;

void drop_until(std::deque<time_point>& times, time_point start) {
  while (!times.empty() && times.front() <= start) {
    times.pop_front();
  }
}

}  // namespace

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

void retry_budget::forget_old(counts& of, time_point now) const {
  drop_until(of.requests, now - options_.window);
  drop_until(of.extras, now - options_.window);
}

void retry_budget::request(const std::string& service, time_point now) {
  counts& of = services_[service];
  forget_old(of, now);
  of.requests.push_back(now);
}

bool retry_budget::has(const std::string& service, std::size_t processes,
                       time_point now) {
  counts& of = services_[service];
  forget_old(of, now);
  const double part =
      options_.slack / static_cast<double>(std::max<std::size_t>(1, processes));
  const double allowed =
      margin *
      (options_.ratio * static_cast<double>(of.requests.size()) + part);
  return static_cast<double>(of.extras.size()) + 1 <= allowed;
}

bool retry_budget::take(const std::string& service, std::size_t processes,
                        time_point now) {
  if (!has(service, processes, now)) {
    return false;
  }
  services_[service].extras.push_back(now);
  return true;
}

void retry_budget::put_back(const std::string& service, time_point taken) {
  std::deque<time_point>& extras = services_[service].extras;
  const auto found = std::lower_bound(extras.begin(), extras.end(), taken);
  if (found != extras.end() && *found == taken) {
    extras.erase(found);
  }
}

}  // namespace citronwharf
