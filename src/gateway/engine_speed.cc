#include "gateway/engine_speed.h"

#include <algorithm>
#include <vector>

namespace citronwharf {
namespace {

// Upper bound; a slower engine is no better than one that does not answer.
constexpr double max_slowdown = 8;
constexpr std::size_t max_stretches = 100;
constexpr double stretch_quantile = 0.95;
// Bounds of the stretch: too few samples may show no neighbour at all, and
// queueing may show more than neighbours do.
constexpr double min_stretch = 1.5;
constexpr double max_stretch = 4;
// Weight of the newest sample in moving averages.
constexpr double batch_weight = 0.05;
// Bounds of the growth of the time per token with each further stream, as a
// share of the time at the mean batch. No engine is slowed by more than that of
// a batch whose streams take turns.
constexpr double min_batch_effect = 0.02;
constexpr double max_batch_effect = 0.15;
// Lower bound of the factor for small batches, where the line would go below.
constexpr double min_batch_factor = 0.4;

double quantile(std::vector<double> values, double share) {
  const auto at = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

}  // namespace

void engine_speed::add(times& to, const std::string& engine,
                       double sample) const {
  engine_times& of = to.engines[engine];
  of.samples.push_back(sample);
  if (of.samples.size() > options_.samples) {
    of.samples.pop_front();
  }
  if (of.samples.size() >= options_.min_samples) {
    of.usual = quantile({of.samples.begin(), of.samples.end()},
                        options_.usual_quantile);
  }
  update(to);
}

void engine_speed::update(times& all) const {
  std::vector<double> usual;
  for (const auto& [id, each] : all.engines) {
    if (each.usual > 0) {
      usual.push_back(each.usual);
    }
  }
  if (usual.size() < options_.min_engines) {
    all.differ = false;
    return;
  }
  std::sort(usual.begin(), usual.end());
  const std::size_t quarter = usual.size() / 4;
  const double spread = usual[usual.size() - 1 - quarter] / usual[quarter];
  all.differ =
      spread > (all.differ ? options_.max_equal_spread : options_.min_spread);
  all.min = usual.front();
  all.mean = 0;
  for (const double each : usual) {
    all.mean += each / static_cast<double>(usual.size());
  }
}

double engine_speed::usual_time(const times& all, const std::string& engine) {
  const auto found = all.engines.find(engine);
  return found == all.engines.end() || found->second.usual <= 0
             ? all.mean
             : found->second.usual;
}

void engine_speed::add_prefill(const std::string& engine, double ratio) {
  add(prefill_, engine, ratio);
  stretches_.push_back(ratio / usual_time(prefill_, engine));
  if (stretches_.size() > max_stretches) {
    stretches_.pop_front();
  }
}

void engine_speed::add_stream(const std::string& engine, double s_per_token,
                              std::size_t batch) {
  const auto streams = static_cast<double>(batch);
  learn_batch_effect(engine, s_per_token, streams);
  add(stream_, engine, s_per_token / batch_factor(streams));
}

void engine_speed::remove(const std::string& engine) {
  batch_means_.erase(engine);
  for (times* each : {&prefill_, &stream_}) {
    if (each->engines.erase(engine) != 0) {
      update(*each);
    }
  }
}

// Compares the streams of one engine with each other. Fast engines have larger
// batches than slow ones, so a comparison across engines would hide the effect.
void engine_speed::learn_batch_effect(const std::string& engine,
                                      double s_per_token, double batch) {
  const auto [found, is_new] =
      batch_means_.try_emplace(engine, batch_means{batch, s_per_token});
  if (mean_batch_ == 0) {
    mean_batch_ = batch;
  }
  mean_batch_ += batch_weight * (batch - mean_batch_);
  if (is_new) {
    return;
  }
  batch_means& means = found->second;
  const double deviation = batch - means.batch;
  const double relative =
      std::clamp(s_per_token / means.s_per_token - 1, -1.0, 1.0);
  batch_variance_ += batch_weight * (deviation * deviation - batch_variance_);
  batch_covariance_ +=
      batch_weight * (deviation * relative - batch_covariance_);
  means.batch += batch_weight * deviation;
  means.s_per_token += batch_weight * (s_per_token - means.s_per_token);
}

double engine_speed::batch_factor(double batch) const {
  const double effect = batch_variance_ > 0
                            ? std::clamp(batch_covariance_ / batch_variance_,
                                         min_batch_effect, max_batch_effect)
                            : min_batch_effect;
  return std::max(min_batch_factor, 1 + effect * (batch - mean_batch_));
}

double engine_speed::prefill_slowdown(const std::string& engine) const {
  return prefill_.differ
             ? std::clamp(usual_time(prefill_, engine), 1.0, max_slowdown)
             : 1;
}

double engine_speed::prefill_stretch() const {
  return stretches_.empty()
             ? min_stretch
             : std::clamp(quantile({stretches_.begin(), stretches_.end()},
                                   stretch_quantile),
                          min_stretch, max_stretch);
}

double engine_speed::stream_slowdown(const std::string& engine) const {
  return stream_.differ ? usual_time(stream_, engine) / stream_.mean : 1;
}

double engine_speed::local_prefill_slowdown(const std::string& engine) const {
  return stream_.differ ? std::clamp(usual_time(stream_, engine) / stream_.min,
                                     1.0, max_slowdown)
                        : 1;
}

double engine_speed::s_per_token(const std::string& engine,
                                 std::size_t batch) const {
  return stream_.differ ? usual_time(stream_, engine) *
                              batch_factor(static_cast<double>(batch))
                        : 0;
}

}  // namespace citronwharf
