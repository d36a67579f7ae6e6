#ifndef METRICS_METRICS_H
#define METRICS_METRICS_H

/// Public header of the metrics library: counters and latency histograms in the
/// Prometheus text format.
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Metrics {

/// All metrics of one process. Thread-safe.
class Registry {
public:
  Registry();
  ~Registry();

  /// Adds to a counter; labels as in `reason="x"`, or empty.
  void add(const std::string &name, const std::string &labels = "",
           uint64_t n = 1);

  /// Sets a gauge.
  void set(const std::string &name, double value,
           const std::string &labels = "");

  /// Records a latency; negative ones count as 0.
  void observeStage(const std::string &stage, std::chrono::duration<double> it);

  /// Records a latency in seconds.
  void observe(const std::string &name, double seconds,
               const std::string &labels = "");

  /// Everything in the Prometheus text format, version 0.0.4.
  std::string text() const;

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

} // namespace Metrics

#endif // METRICS_METRICS_H
