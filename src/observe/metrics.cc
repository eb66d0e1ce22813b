#include "observe/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <boost/histogram.hpp>
#include <cmath>
#include <utility>
#include <vector>

namespace citronwharf {
namespace {

namespace histogram = boost::histogram;

// Buckets from 1 ms to 65 s, each twice the one before.
constexpr int bucket_count = 16;
constexpr double first_bound_seconds = 0.001;
constexpr double last_bound_seconds = 65.536;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log,
                             histogram::axis::null_type,
                             histogram::axis::option::bitset<
                                 histogram::axis::option::underflow_t::value |
                                 histogram::axis::option::overflow_t::value>>;
using span_histogram = decltype(histogram::make_histogram(
    log_axis(bucket_count, first_bound_seconds, last_bound_seconds)));

struct timed_series {
  span_histogram counts = histogram::make_histogram(
      log_axis(bucket_count, first_bound_seconds, last_bound_seconds));
  double sum = 0;
};

template <typename Series>
using family = std::map<metric_labels, Series>;

prometheus::ClientMetric labelled(const metric_labels& labels) {
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : labels) {
    prometheus::ClientMetric::Label label;
    label.name = name;
    label.value = value;
    metric.label.push_back(label);
  }
  return metric;
}

// Prometheus wants cumulative counts with upper bounds.
void fill(const timed_series& from, prometheus::ClientMetric::Histogram& to) {
  double total = 0;
  for (int index = -1; index <= bucket_count; ++index) {
    total += from.counts.at(index);
    const double bound = index == bucket_count
                             ? std::numeric_limits<double>::infinity()
                             : from.counts.axis().bin(index).upper();
    prometheus::ClientMetric::Bucket bucket;
    bucket.cumulative_count = static_cast<std::uint64_t>(total);
    bucket.upper_bound = bound;
    to.bucket.push_back(bucket);
  }
  to.sample_count = static_cast<std::uint64_t>(total);
  to.sample_sum = from.sum;
}

}  // namespace

class metric_registry::impl {
 public:
  std::map<std::string, family<double>> counters;
  std::map<std::string, family<double>> gauges;
  std::map<std::string, family<timed_series>> spans;
  std::vector<std::function<void(metric_registry&)>> refreshers;

  std::vector<prometheus::MetricFamily> collect() const {
    std::vector<prometheus::MetricFamily> all;
    for (const auto& [name, series] : counters) {
      auto& to = add(all, name, prometheus::MetricType::Counter);
      for (const auto& [labels, value] : series) {
        to.metric.push_back(labelled(labels));
        to.metric.back().counter.value = value;
      }
    }
    for (const auto& [name, series] : gauges) {
      auto& to = add(all, name, prometheus::MetricType::Gauge);
      for (const auto& [labels, value] : series) {
        to.metric.push_back(labelled(labels));
        to.metric.back().gauge.value = value;
      }
    }
    for (const auto& [name, series] : spans) {
      auto& to = add(all, name, prometheus::MetricType::Histogram);
      for (const auto& [labels, value] : series) {
        to.metric.push_back(labelled(labels));
        fill(value, to.metric.back().histogram);
      }
    }
    return all;
  }

 private:
  static prometheus::MetricFamily& add(
      std::vector<prometheus::MetricFamily>& all, const std::string& name,
      prometheus::MetricType type) {
    prometheus::MetricFamily made;
    made.name = name;
    made.type = type;
    all.push_back(std::move(made));
    return all.back();
  }
};

metric_registry::metric_registry() : impl_(std::make_unique<impl>()) {}
metric_registry::~metric_registry() = default;

void metric_registry::add(const std::string& name, const metric_labels& labels,
                          double amount) {
  impl_->counters[name][labels] += amount;
}

void metric_registry::set(const std::string& name, const metric_labels& labels,
                          double value) {
  impl_->gauges[name][labels] = value;
}

void metric_registry::observe(const std::string& name,
                              const metric_labels& labels, double seconds) {
  timed_series& series = impl_->spans[name][labels];
  series.counts(seconds);
  series.sum += seconds;
}

void metric_registry::before_page(
    std::function<void(metric_registry&)> refresh) {
  impl_->refreshers.push_back(std::move(refresh));
}

std::string metric_registry::page() {
  for (const auto& refresh : impl_->refreshers) {
    refresh(*this);
  }
  return prometheus::TextSerializer().Serialize(impl_->collect());
}

}  // namespace citronwharf
