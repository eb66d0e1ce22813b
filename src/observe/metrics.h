/// Counters, gauges and histograms of one process.
#ifndef CITRONWHARF_OBSERVE_METRICS_H_
#define CITRONWHARF_OBSERVE_METRICS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace citronwharf {

/// Label names and values. Keep values few: never a request, key or caller.
using metric_labels = std::map<std::string, std::string>;

/// Holds the metrics of a process by name and labels. Histograms are
/// Boost.Histogram's, over seconds. Loop's thread only.
/// Example: metrics.add("citronwharf_refusals_total", {{"reason", "rate"}});
class metric_registry {
 public:
  metric_registry();
  ~metric_registry();
  metric_registry(const metric_registry&) = delete;
  metric_registry& operator=(const metric_registry&) = delete;

  /// Adds to a counter. Precondition: amount >= 0.
  void add(const std::string& name, const metric_labels& labels,
           double amount = 1);
  /// Sets a gauge.
  void set(const std::string& name, const metric_labels& labels, double value);
  /// Records a span of time in a histogram.
  void observe(const std::string& name, const metric_labels& labels,
               double seconds);
  /// Calls `refresh` before each page, to set gauges that are read on demand.
  void before_page(std::function<void(metric_registry&)> refresh);

  /// Returns the Prometheus text exposition.
  std::string page();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_OBSERVE_METRICS_H_
