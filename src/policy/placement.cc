#include "policy/placement.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <utility>

#include "policy/endpoint_estimate.h"
#include "policy/rendezvous.h"

namespace citronwharf {
namespace {

// Cost of leaving the near failure domain: a longer way over a shared link.
constexpr duration far_cost = milliseconds(4);
// Share of a prefill's time that a cached prefix is expected to save. It is
// also the load bound of affinity: a longer wait sends the prompt elsewhere.
constexpr double affinity_saving = 0.5;
// Told when no endpoint of the pool is known to come back.
constexpr duration unknown_return = seconds(1);

using domain_members = std::map<std::string, std::deque<std::string>>;

// Takes members of each failure domain in turn, so that a subset holds some of
// every domain; empties `domains`.
std::vector<std::string> spread(domain_members& domains, std::size_t most) {
  std::vector<std::string> taken;
  bool any = true;
  while (any && taken.size() < most) {
    any = false;
    for (auto& [domain, members] : domains) {
      if (members.empty() || taken.size() >= most) continue;
      taken.push_back(members.front());
      members.pop_front();
      any = true;
    }
  }
  return taken;
}

struct candidate {
  placement_choice choice;
  duration score{};
  std::int32_t reported = 0;
};

struct known_endpoint {
  endpoint_estimate estimate;
  std::string domain;
};

}  // namespace

class placement::impl {
 public:
  explicit impl(placement_options options)
      : options_(std::move(options)),
        entry_hash_(stable_hash(options_.entry)),
        random_(options_.seed) {}

  void configure(const configuration& next) {
    std::map<std::string, known_endpoint> kept;
    std::map<std::string, domain_members> pools;
    std::map<std::string, std::vector<std::string>> names;
    for (const endpoint& each : next.endpoints) {
      kept.emplace(each.name, known(each));
      if (!each.draining) names[each.pool].push_back(each.name);
    }
    endpoints_ = std::move(kept);
    pools_.clear();
    for (auto& [pool, members] : names) {
      domain_members domains;
      for (auto& name : rendezvous_order(entry_hash_, std::move(members))) {
        domains[endpoints_.at(name).domain].push_back(name);
      }
      pools_[pool] = spread(domains, options_.subset);
    }
  }

  endpoint_estimate* find(const std::string& name) {
    const auto found = endpoints_.find(name);
    return found == endpoints_.end() ? nullptr : &found->second.estimate;
  }

  std::vector<placement_choice> choose(const placement_query& query,
                                       std::size_t most, time_point now) {
    std::vector<candidate> found = candidates(query, now);
    rank(query, found);
    if (found.size() > most) found.resize(most);
    std::vector<placement_choice> ranked;
    ranked.reserve(found.size());
    for (candidate& each : found) ranked.push_back(std::move(each.choice));
    return ranked;
  }

  duration retry_after(const std::string& pool, time_point now) const {
    const auto members = pools_.find(pool);
    if (members == pools_.end()) return unknown_return;
    duration soonest = unknown_return;
    for (const std::string& name : members->second) {
      const endpoint_estimate& each = endpoints_.at(name).estimate;
      if (each.usable(now)) {
        soonest = std::min(soonest, each.predicted_wait(now));
      } else if (each.suspended_until() > now) {
        soonest = std::min(soonest, each.suspended_until() - now);
      }
    }
    return soonest;
  }

  suspension_limits limits() const {
    return {options_.first_suspension, options_.longest_suspension};
  }

 private:
  // Keeps what was learned of an endpoint.
  known_endpoint known(const endpoint& each) const {
    const auto found = endpoints_.find(each.name);
    if (found == endpoints_.end()) {
      return {endpoint_estimate(each.role, options_.report_lag),
              each.failure_domain};
    }
    known_endpoint same = found->second;
    same.estimate.set_role(each.role);
    same.domain = each.failure_domain;
    return same;
  }

  std::vector<candidate> candidates(const placement_query& query,
                                    time_point now) const {
    std::vector<candidate> found;
    const auto members = pools_.find(query.pool);
    if (members == pools_.end()) return found;
    for (const std::string& name : members->second) {
      const bool excluded =
          std::find(query.excluded.begin(), query.excluded.end(), name) !=
          query.excluded.end();
      const known_endpoint& each = endpoints_.at(name);
      if (excluded || !each.estimate.usable(now)) continue;
      found.push_back(weigh(name, each, query, now));
    }
    return found;
  }

  static candidate weigh(const std::string& name, const known_endpoint& each,
                         const placement_query& query, time_point now) {
    candidate weighed;
    weighed.choice.endpoint = name;
    weighed.choice.predicted_wait = each.estimate.predicted_wait(now);
    weighed.choice.predicted_run =
        each.estimate.predicted_run(query.prompt_tokens, query.max_tokens);
    weighed.reported = each.estimate.reported_load();
    weighed.score =
        weighed.choice.predicted_wait + weighed.choice.predicted_run;
    const bool far =
        !query.near_domain.empty() && each.domain != query.near_domain;
    if (far) weighed.score += far_cost;
    return weighed;
  }

  void rank(const placement_query& query, std::vector<candidate>& found) {
    if (found.empty()) return;
    switch (options_.policy) {
      case placement_policy::round_robin:
        rotate(query.pool, found);
        break;
      case placement_policy::least_load:
        std::shuffle(found.begin(), found.end(), random_);
        sort_by_report(found.begin(), found.end());
        break;
      case placement_policy::two_choices:
        std::shuffle(found.begin(), found.end(), random_);
        sort_by_report(found.begin(),
                       found.begin() + std::min<std::ptrdiff_t>(
                                           2, std::ptrdiff_t(found.size())));
        break;
      case placement_policy::predicted_wait:
        prefer_cached(query, found);
        std::shuffle(found.begin(), found.end(), random_);
        std::stable_sort(found.begin(), found.end(),
                         [](const candidate& lhs, const candidate& rhs) {
                           return lhs.score < rhs.score;
                         });
        break;
    }
  }

  using iterator = std::vector<candidate>::iterator;
  static void sort_by_report(iterator first, iterator last) {
    std::stable_sort(first, last,
                     [](const candidate& lhs, const candidate& rhs) {
                       return lhs.reported < rhs.reported;
                     });
  }

  void rotate(const std::string& pool, std::vector<candidate>& found) {
    const std::size_t turn = turns_[pool]++ % found.size();
    std::rotate(found.begin(), found.begin() + std::ptrdiff_t(turn),
                found.end());
  }

  // Gives the prefix's rendezvous endpoint the time that its cache may save.
  static void prefer_cached(const placement_query& query,
                            std::vector<candidate>& found) {
    if (query.prefix_hash == 0) return;
    const auto home = std::max_element(
        found.begin(), found.end(),
        [&query](const candidate& lhs, const candidate& rhs) {
          return rendezvous_score(query.prefix_hash, lhs.choice.endpoint) <
                 rendezvous_score(query.prefix_hash, rhs.choice.endpoint);
        });
    const auto run = static_cast<double>(home->choice.predicted_run.count());
    home->score -= duration(static_cast<duration::rep>(run * affinity_saving));
  }

  placement_options options_;
  std::uint64_t entry_hash_;
  std::mt19937_64 random_;
  std::map<std::string, known_endpoint> endpoints_;
  std::map<std::string, std::vector<std::string>> pools_;
  std::map<std::string, std::size_t> turns_;
};

placement::placement(placement_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}
placement::~placement() = default;
placement::placement(placement&&) noexcept = default;
placement& placement::operator=(placement&&) noexcept = default;

void placement::configure(const configuration& next) {
  impl_->configure(next);
}

void placement::observe(const std::string& endpoint, const endpoint_load& load,
                        time_point now) {
  if (auto* known = impl_->find(endpoint)) known->observe(load, now);
}

void placement::sent(const std::string& endpoint, std::int32_t tokens,
                     time_point now) {
  if (auto* known = impl_->find(endpoint)) known->sent(tokens, now);
}

void placement::ended(const std::string& endpoint, std::int32_t tokens,
                      time_point /*now*/) {
  if (auto* known = impl_->find(endpoint)) known->ended(tokens);
}

void placement::reachable(const std::string& endpoint, bool up,
                          time_point /*now*/) {
  if (auto* known = impl_->find(endpoint)) known->set_reachable(up);
}

void placement::failed(const std::string& endpoint, time_point now) {
  if (auto* known = impl_->find(endpoint)) known->failed(impl_->limits(), now);
}

void placement::succeeded(const std::string& endpoint, time_point /*now*/) {
  if (auto* known = impl_->find(endpoint)) known->succeeded();
}

void placement::measured(const std::string& endpoint,
                         std::int32_t prompt_tokens, duration run) {
  if (auto* known = impl_->find(endpoint)) known->measured(prompt_tokens, run);
}

std::vector<placement_choice> placement::choose(const placement_query& query,
                                                std::size_t most,
                                                time_point now) {
  return impl_->choose(query, most, now);
}

duration placement::retry_after(const std::string& pool, time_point now) const {
  return impl_->retry_after(pool, now);
}

}  // namespace citronwharf
