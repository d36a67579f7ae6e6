#ifndef METRICS_METRICS_H
#define METRICS_METRICS_H

/// Public header of the metrics library: counters, gauges and latency
/// histograms that are exported in the Prometheus text format.
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Metrics {

/// Registry of all metrics of a process. Thread-safe.
class Registry {
public:
  Registry();
  ~Registry();

  /// Adds `n` to a counter. Labels are in Prometheus syntax, as `reason="x"`,
  /// or empty.
  void add(const std::string &name, const std::string &labels = "",
           uint64_t n = 1);

  /// Sets a gauge.
  void set(const std::string &name, double value,
           const std::string &labels = "");

  /// Records how long a stage of request processing took; a negative duration
  /// counts as 0.
  void observeStage(const std::string &stage,
                    std::chrono::duration<double> duration);

  /// Records a latency in a histogram.
  void observe(const std::string &name, double seconds,
               const std::string &labels = "");

  /// Exports all metrics in the Prometheus text format, version 0.0.4.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace Metrics

#endif // METRICS_METRICS_H
