#include "control/stream_version_machine.h"

#include <algorithm>

#include "base/decode.h"

namespace citronwharf {
namespace {

// Interval between searches for expired records.
constexpr std::int64_t sweep_interval_ms = 1000;

}  // namespace

nlohmann::json empty_stream_versions() {
  return stream_version_machine().snapshot();
}

nlohmann::json stream_version_machine::make_command(
    const stream_version_command& in) {
  nlohmann::json out = in;
  out["kind"] = kind;
  return out;
}

nlohmann::json stream_version_machine::apply(std::uint64_t /*index*/,
                                             const nlohmann::json& command) {
  const auto in = decode_value<stream_version_command>(command);
  if (!in.ok()) {
    return {{"error", in.status().ToString()}};
  }
  now_ms_ += std::max<std::int64_t>(0, in->elapsed_ms);
  remove_expired();
  for (const auto& [service, change] : in->bases) {
    if (base(service) == change.from) {
      bases_[service] = change.to;
    }
  }
  stream_version_result out;
  for (const stream_version& each : in->stored) {
    out.stored.push_back(store(each));
  }
  for (const resumed_stream& each : in->wanted) {
    out.versions.push_back(find(each));
  }
  return out;
}

bool stream_version_machine::store(const stream_version& in) {
  const std::int64_t expires_ms =
      now_ms_ + std::max<std::int64_t>(0, in.lifetime_ms);
  const auto found = streams_.find(in.stream);
  if (found == streams_.end()) {
    if (streams_.size() >= max_streams) {
      return false;
    }
    streams_[in.stream] = {
        in.request, in.number, index_of({in.service, in.version}),
        expires_ms, false,     false};
    return true;
  }
  stream& held = found->second;
  if (held.request == in.request && !held.shared) {
    // A record that arrives late must not replace a later one.
    if (in.number > held.number) {
      held.number = in.number;
      held.began_at = index_of({in.service, in.version});
      held.expires_ms = std::max(held.expires_ms, expires_ms);
    }
    return true;
  }
  const service_version held_at = began_at_[held.began_at];
  held.shared = true;
  held.ambiguous =
      held.ambiguous || held_at != service_version{in.service, in.version};
  held.request = in.request;
  held.number = in.number;
  held.expires_ms = std::max(held.expires_ms, expires_ms);
  return true;
}

std::string stream_version_machine::find(const resumed_stream& in) const {
  if (!in.identified) {
    const std::string out = base(in.service);
    const bool other_version =
        std::any_of(streams_.begin(), streams_.end(), [&](const auto& each) {
          const auto& [service, version] = began_at_[each.second.began_at];
          return service == in.service &&
                 (each.second.ambiguous || version != out);
        });
    return other_version ? "" : out;
  }
  const auto found = streams_.find(in.stream);
  if (found == streams_.end()) {
    return base(in.service);
  }
  const auto& [service, version] = began_at_[found->second.began_at];
  return found->second.ambiguous || service != in.service ? "" : version;
}

std::string stream_version_machine::base(const std::string& service) const {
  const auto found = bases_.find(service);
  return found == bases_.end() ? "" : found->second;
}

std::size_t stream_version_machine::index_of(const service_version& in) {
  const auto found = std::find(began_at_.begin(), began_at_.end(), in);
  if (found != began_at_.end()) {
    return static_cast<std::size_t>(found - began_at_.begin());
  }
  began_at_.push_back(in);
  return began_at_.size() - 1;
}

void stream_version_machine::remove_expired() {
  if (now_ms_ - swept_ms_ < sweep_interval_ms) {
    return;
  }
  swept_ms_ = now_ms_;
  for (auto each = streams_.begin(); each != streams_.end();) {
    each = each->second.expires_ms <= now_ms_ ? streams_.erase(each)
                                              : std::next(each);
  }
  if (streams_.empty()) {
    began_at_.clear();
  }
}

nlohmann::json stream_version_machine::snapshot() const {
  nlohmann::json streams = nlohmann::json::array();
  for (const auto& [hash, each] : streams_) {
    streams.push_back({hash, each.request, each.number, each.began_at,
                       each.expires_ms, each.shared, each.ambiguous});
  }
  return {{"now_ms", now_ms_},
          {"swept_ms", swept_ms_},
          {"bases", bases_},
          {"began_at", began_at_},
          {"streams", std::move(streams)}};
}

void stream_version_machine::restore(const nlohmann::json& state) {
  state.at("now_ms").get_to(now_ms_);
  state.at("swept_ms").get_to(swept_ms_);
  state.at("bases").get_to(bases_);
  state.at("began_at").get_to(began_at_);
  streams_.clear();
  for (const nlohmann::json& each : state.at("streams")) {
    streams_[each.at(0)] = {each.at(1), each.at(2), each.at(3),
                            each.at(4), each.at(5), each.at(6)};
  }
}

}  // namespace citronwharf
