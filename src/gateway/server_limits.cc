#include "gateway/server_limits.h"

#include <algorithm>
#include <iterator>

namespace citronwharf {
namespace {

constexpr double min_requests_per_second = 0.25;
// Servers bear short bursts: a generation takes two requests at once.
constexpr double min_burst = 2;
constexpr double burst_s = 0.25;

std::int64_t to_ms(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

}  // namespace

allowance to_server_allowance(double requests_per_second) {
  allowance out;
  out.tokens_per_second =
      std::max(requests_per_second, min_requests_per_second);
  out.burst_tokens = min_burst + out.tokens_per_second * burst_s;
  return out;
}

std::optional<server_limit_state> server_limits::heard(
    const std::string& server, response_kind kind, std::optional<double> rate,
    time_point sent_at, time_point now) {
  const auto found = limits_.find(server);
  if (!rate) {
    const bool lifts = found != limits_.end() && holds(found->second, now) &&
                       found->second.kinds.count(kind) != 0 &&
                       sent_at > found->second.named_at;
    if (!lifts) {
      return std::nullopt;
    }
    found->second.rate.reset();
    found->second.kinds.clear();
    found->second.lifted_at = sent_at;
    return server_limit_state{server, true, 0, kind, to_ms(now - sent_at)};
  }
  limit& of = limits_[server];
  const bool changed =
      !holds(of, now) || *of.rate != *rate || of.kinds.count(kind) == 0;
  of.rate = rate;
  of.kinds.insert(kind);
  of.named_at = now;
  if (!changed && now - of.shared_at < options_.share_interval) {
    return std::nullopt;
  }
  of.shared_at = now;
  return server_limit_state{server, false, *rate, kind, 0};
}

bool server_limits::merge(const server_limit_state& in, time_point now) {
  const time_point at = now - milliseconds(std::clamp<std::int64_t>(
                                  in.age_ms, 0, to_ms(options_.lifetime)));
  limit& of = limits_[in.server];
  const bool held = holds(of, now);
  if (in.lifted) {
    of.lifted_at = std::max(of.lifted_at, at);
    if (!held || at <= of.named_at) {
      return false;
    }
    of.rate.reset();
    of.kinds.clear();
    return true;
  }
  if (at <= of.lifted_at) {
    return false;
  }
  of.kinds.insert(in.kind);
  if (held && at < of.named_at) {
    return false;
  }
  const bool changed = !held || *of.rate != in.requests_per_second;
  of.rate = in.requests_per_second;
  of.named_at = at;
  return changed;
}

std::optional<double> server_limits::rate(const std::string& server,
                                          time_point now) const {
  const std::optional<double> named = named_rate(server, now);
  const std::optional<double> other =
      other_limit_ ? other_limit_(server, now) : std::nullopt;
  return named && other ? std::min(*named, *other) : named ? named : other;
}

std::optional<double> server_limits::named_rate(const std::string& server,
                                                time_point now) const {
  const auto found = limits_.find(server);
  return found != limits_.end() && holds(found->second, now)
             ? found->second.rate
             : std::nullopt;
}

std::size_t server_limits::limited(time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(limits_.begin(), limits_.end(),
                    [&](const auto& each) { return holds(each.second, now); }));
}

void server_limits::keep(const std::set<std::string>& servers) {
  for (auto each = limits_.begin(); each != limits_.end();) {
    each =
        servers.count(each->first) == 0 ? limits_.erase(each) : std::next(each);
  }
}

std::vector<server_limit_state> server_limits::state(time_point now) const {
  std::vector<server_limit_state> out;
  for (const auto& [server, each] : limits_) {
    if (!holds(each, now)) {
      continue;
    }
    for (const response_kind kind : each.kinds) {
      out.push_back(
          {server, false, *each.rate, kind, to_ms(now - each.named_at)});
    }
  }
  return out;
}

}  // namespace citronwharf
