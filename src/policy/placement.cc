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

// Added to the score of endpoints outside the preferred failure domain, since
// transfers to them take a longer path over a shared link.
constexpr duration cross_domain_cost = milliseconds(4);
// Fraction of the prefill time that a cached prefix is expected to save. It
// also bounds affinity: when the wait is longer than the saving, the prompt
// goes to another endpoint.
constexpr double cached_prefix_saving = 0.5;
// Used when no endpoint of the pool has a known time of return.
constexpr duration default_retry_after = seconds(1);

using domain_members = std::map<std::string, std::deque<std::string>>;

// Takes members of the failure domains in round-robin order, so that the
// selection covers every domain. Consumes `domains`.
std::vector<std::string> select_across_domains(domain_members& domains,
                                               std::size_t max_members) {
  std::vector<std::string> selected;
  bool progress = true;
  while (progress && selected.size() < max_members) {
    progress = false;
    for (auto& [domain, members] : domains) {
      if (members.empty() || selected.size() >= max_members) continue;
      selected.push_back(members.front());
      members.pop_front();
      progress = true;
    }
  }
  return selected;
}

struct candidate {
  placement_choice choice;
  duration score{};
  std::int32_t reported = 0;
};

struct tracked_endpoint {
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
    std::map<std::string, tracked_endpoint> next_endpoints;
    std::map<std::string, domain_members> pools;
    std::map<std::string, std::vector<std::string>> names;
    for (const endpoint& each : next.endpoints) {
      next_endpoints.emplace(each.name, estimate_for(each));
      if (!each.draining) names[each.pool].push_back(each.name);
    }
    endpoints_ = std::move(next_endpoints);
    pools_.clear();
    for (auto& [pool, members] : names) {
      domain_members domains;
      for (auto& name : rendezvous_order(entry_hash_, std::move(members))) {
        domains[endpoints_.at(name).domain].push_back(name);
      }
      pools_[pool] = select_across_domains(domains, options_.subset_size);
    }
  }

  endpoint_estimate* find(const std::string& name) {
    const auto found = endpoints_.find(name);
    return found == endpoints_.end() ? nullptr : &found->second.estimate;
  }

  std::vector<placement_choice> choose(const placement_query& query,
                                       std::size_t max_choices,
                                       time_point now) {
    std::vector<candidate> matches = candidates(query, now);
    rank(query, matches);
    if (matches.size() > max_choices) matches.resize(max_choices);
    std::vector<placement_choice> ranked;
    ranked.reserve(matches.size());
    for (candidate& each : matches) ranked.push_back(std::move(each.choice));
    return ranked;
  }

  duration retry_after(const std::string& pool, time_point now) const {
    const auto members = pools_.find(pool);
    if (members == pools_.end()) return default_retry_after;
    duration earliest = default_retry_after;
    for (const std::string& name : members->second) {
      const endpoint_estimate& each = endpoints_.at(name).estimate;
      if (each.usable(now)) {
        earliest = std::min(earliest, each.predicted_wait(now));
      } else if (each.suspended_until() > now) {
        earliest = std::min(earliest, each.suspended_until() - now);
      }
    }
    return earliest;
  }

  suspension_limits limits() const {
    return {options_.initial_suspension, options_.max_suspension};
  }

 private:
  // Returns the existing estimate of an endpoint with its configured role and
  // failure domain, or a new one.
  tracked_endpoint estimate_for(const endpoint& each) const {
    const auto found = endpoints_.find(each.name);
    if (found == endpoints_.end()) {
      return {endpoint_estimate(each.role, options_.report_lag),
              each.failure_domain};
    }
    tracked_endpoint updated = found->second;
    updated.estimate.set_role(each.role);
    updated.domain = each.failure_domain;
    return updated;
  }

  std::vector<candidate> candidates(const placement_query& query,
                                    time_point now) const {
    std::vector<candidate> matches;
    const auto members = pools_.find(query.pool);
    if (members == pools_.end()) return matches;
    for (const std::string& name : members->second) {
      const bool excluded =
          std::find(query.excluded.begin(), query.excluded.end(), name) !=
          query.excluded.end();
      const tracked_endpoint& each = endpoints_.at(name);
      if (excluded || !each.estimate.usable(now)) continue;
      matches.push_back(score_candidate(name, each, query, now));
    }
    return matches;
  }

  static candidate score_candidate(const std::string& name,
                                   const tracked_endpoint& each,
                                   const placement_query& query,
                                   time_point now) {
    candidate scored;
    scored.choice.endpoint = name;
    scored.choice.predicted_wait = each.estimate.predicted_wait(now);
    scored.choice.predicted_run =
        each.estimate.predicted_run(query.prompt_tokens, query.max_tokens);
    scored.reported = each.estimate.reported_load();
    scored.score = scored.choice.predicted_wait + scored.choice.predicted_run;
    const bool other_domain = !query.preferred_domain.empty() &&
                              each.domain != query.preferred_domain;
    if (other_domain) scored.score += cross_domain_cost;
    return scored;
  }

  void rank(const placement_query& query, std::vector<candidate>& matches) {
    if (matches.empty()) return;
    switch (options_.policy) {
      case placement_policy::round_robin:
        rotate(query.pool, matches);
        break;
      case placement_policy::least_load:
        std::shuffle(matches.begin(), matches.end(), random_);
        sort_by_report(matches.begin(), matches.end());
        break;
      case placement_policy::two_choices:
        std::shuffle(matches.begin(), matches.end(), random_);
        sort_by_report(
            matches.begin(),
            matches.begin() +
                std::min<std::ptrdiff_t>(2, std::ptrdiff_t(matches.size())));
        break;
      case placement_policy::predicted_wait:
        prefer_cached(query, matches);
        std::shuffle(matches.begin(), matches.end(), random_);
        std::stable_sort(matches.begin(), matches.end(),
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

  void rotate(const std::string& pool, std::vector<candidate>& matches) {
    const std::size_t offset = round_robin_counters_[pool]++ % matches.size();
    std::rotate(matches.begin(), matches.begin() + std::ptrdiff_t(offset),
                matches.end());
  }

  // Lowers the score of the prefix's rendezvous endpoint by the time that its
  // cache is expected to save.
  static void prefer_cached(const placement_query& query,
                            std::vector<candidate>& matches) {
    if (query.prefix_hash == 0) return;
    const auto preferred = std::max_element(
        matches.begin(), matches.end(),
        [&query](const candidate& lhs, const candidate& rhs) {
          return rendezvous_score(query.prefix_hash, lhs.choice.endpoint) <
                 rendezvous_score(query.prefix_hash, rhs.choice.endpoint);
        });
    const auto run =
        static_cast<double>(preferred->choice.predicted_run.count());
    preferred->score -=
        duration(static_cast<duration::rep>(run * cached_prefix_saving));
  }

  placement_options options_;
  std::uint64_t entry_hash_;
  std::mt19937_64 random_;
  std::map<std::string, tracked_endpoint> endpoints_;
  std::map<std::string, std::vector<std::string>> pools_;
  std::map<std::string, std::size_t> round_robin_counters_;
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
  if (auto* tracked = impl_->find(endpoint)) tracked->observe(load, now);
}

void placement::sent(const std::string& endpoint, std::int32_t tokens,
                     time_point now) {
  if (auto* tracked = impl_->find(endpoint)) tracked->sent(tokens, now);
}

void placement::ended(const std::string& endpoint, std::int32_t tokens,
                      time_point /*now*/) {
  if (auto* tracked = impl_->find(endpoint)) tracked->ended(tokens);
}

void placement::reachable(const std::string& endpoint, bool is_up,
                          time_point /*now*/) {
  if (auto* tracked = impl_->find(endpoint)) tracked->set_reachable(is_up);
}

void placement::failed(const std::string& endpoint, time_point now) {
  if (auto* tracked = impl_->find(endpoint))
    tracked->failed(impl_->limits(), now);
}

void placement::succeeded(const std::string& endpoint, time_point /*now*/) {
  if (auto* tracked = impl_->find(endpoint)) tracked->succeeded();
}

void placement::measured(const std::string& endpoint,
                         std::int32_t prompt_tokens, duration run_time) {
  if (auto* tracked = impl_->find(endpoint))
    tracked->measured(prompt_tokens, run_time);
}

std::vector<placement_choice> placement::choose(const placement_query& query,
                                                std::size_t max_choices,
                                                time_point now) {
  return impl_->choose(query, max_choices, now);
}

duration placement::retry_after(const std::string& pool, time_point now) const {
  return impl_->retry_after(pool, now);
}

}  // namespace citronwharf
