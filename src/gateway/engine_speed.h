/// Learns how fast each engine of a service is, for prefill and for streams.
#ifndef CITRONWHARF_GATEWAY_ENGINE_SPEED_H_
#define CITRONWHARF_GATEWAY_ENGINE_SPEED_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace citronwharf {

struct engine_speed_options {
  /// Engines count as unequal once the upper quartile of their times is above
  /// the lower quartile by this factor. Queues and neighbours moved the
  /// quartiles of equal engines apart by at most 1.30 for prefills and 1.17 for
  /// streams, in 48 plays with and without neighbours and overload
  /// (1.62 with 15 samples); the speeds 0.6, 1.0 and 1.6 are apart by 2.67.
  double min_spread = 1.6;
  /// They count as equal again below this factor.
  double max_equal_spread = 1.25;
  /// With fewer engines that have enough samples, chance moves the quartiles.
  std::size_t min_engines = 8;
  /// Samples of an engine that are kept, and needed before it is judged.
  std::size_t samples = 25;
  std::size_t min_samples = 8;
  /// Quantile of the samples that counts as the engine's usual time. It is
  /// below the median, since queues and busy neighbours only make times longer.
  double usual_quantile = 0.3;
};

/// Designed for this load: the VMs of a service have speeds of 0.6 to 1.6, and
/// a neighbour makes each of them 2.5 times slower for about 600 ms at a time,
/// for 15 in 100 of the time.
///
/// While the engines of the service are about equally fast, all slowdowns are
/// exactly 1. A few slow engines among many equal ones do not change that,
/// since quartiles are compared.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class engine_speed {
 public:
  explicit engine_speed(engine_speed_options options) : options_(options) {}

  /// Adds a prefill that was not queued; `ratio` is its time as a multiple of
  /// the shortest time for such a prompt. Precondition: positive.
  void add_prefill(const std::string& engine, double ratio);
  /// Adds a stream that ended on an engine with `batch` streams. Precondition:
  /// positive.
  void add_stream(const std::string& engine, double s_per_token,
                  std::size_t batch);
  void remove(const std::string& engine);

  bool prefills_differ() const { return prefill_.differ; }
  bool streams_differ() const { return stream_.differ; }
  /// Returns the usual time of a prefill as a multiple of the shortest time; at
  /// least 1. For an engine without samples the mean of the others.
  double prefill_slowdown(const std::string& engine) const;
  /// Returns the time that most prefills need, 95 in 100, as a multiple of the
  /// usual time of their engine: how much neighbours slow them down.
  double prefill_stretch() const;
  /// Returns the usual time per token as a multiple of the mean of the engines
  /// at the same batch.
  double stream_slowdown(const std::string& engine) const;
  /// Returns the slowdown of prefills beside streams, relative to the fastest
  /// engine; at least 1.
  double local_prefill_slowdown(const std::string& engine) const;
  /// Returns the usual time per token in a batch, in seconds; 0 while engines
  /// are equal.
  double s_per_token(const std::string& engine, std::size_t batch) const;

 private:
  struct engine_times {
    std::deque<double> samples;
    double usual = 0;  // 0: too few samples
  };
  struct times {
    std::map<std::string, engine_times> engines;
    bool differ = false;
    double mean = 0;  // over engines
    double min = 0;
  };
  // Moving averages, for how the time per token depends on the batch.
  struct batch_means {
    double batch = 0;
    double s_per_token = 0;
  };

  void add(times& to, const std::string& engine, double sample) const;
  void update(times& all) const;
  static double usual_time(const times& all, const std::string& engine);
  void learn_batch_effect(const std::string& engine, double s_per_token,
                          double batch);
  double batch_factor(double batch) const;

  engine_speed_options options_;
  times prefill_;
  times stream_;
  std::deque<double> stretches_;  // of recent prefills of all engines
  std::map<std::string, batch_means> batch_means_;
  double mean_batch_ = 0;
  double batch_variance_ = 0;
  double batch_covariance_ = 0;  // with the relative time per token
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ENGINE_SPEED_H_
