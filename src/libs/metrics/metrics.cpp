#include "metrics/metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <limits>
#include <map>
#include <mutex>
#include <sstream>

namespace Metrics {

namespace {

namespace Bh = boost::histogram;
using LogAxis = Bh::axis::regular<double, Bh::axis::transform::log>;
using LogBuckets = decltype(Bh::make_histogram(LogAxis()));

/// Histogram buckets are spaced logarithmically from 100 us to 100 s.
constexpr unsigned BucketCount = 36;
constexpr double LowestBoundS = 1e-4;
constexpr double HighestBoundS = 1e2;

struct Histogram {
  LogBuckets Buckets =
      Bh::make_histogram(LogAxis(BucketCount, LowestBoundS, HighestBoundS));
  double Sum = 0;
  uint64_t Count = 0;
};

/// Metric name and labels.
using SeriesKey = std::pair<std::string, std::string>;

std::string seriesName(const std::string &name, const std::string &labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

void writeBucket(std::ostream &out, const SeriesKey &key,
                 const std::string &bound, uint64_t n) {
  std::string labels = key.second + (key.second.empty() ? "" : ",");
  out << key.first << "_bucket{" << labels << "le=\"" << bound << "\"} " << n
      << '\n';
}

void writeHistogram(std::ostream &out, const SeriesKey &key,
                    const Histogram &histogram) {
  const auto &axis = histogram.Buckets.axis();
  auto cumulative = static_cast<uint64_t>(histogram.Buckets.at(-1));
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += static_cast<uint64_t>(histogram.Buckets.at(i));
    std::ostringstream bound;
    bound << axis.bin(i).upper();
    writeBucket(out, key, bound.str(), cumulative);
  }
  writeBucket(out, key, "+Inf", histogram.Count);
  out << seriesName(key.first + "_sum", key.second) << ' ' << histogram.Sum
      << '\n'
      << seriesName(key.first + "_count", key.second) << ' ' << histogram.Count
      << '\n';
}

/// Writes the TYPE line before the first series of each metric.
void writeType(std::ostream &out, std::string &lastName,
               const std::string &name, const char *type) {
  if (name == lastName)
    return;
  out << "# TYPE " << name << ' ' << type << '\n';
  lastName = name;
}

} // namespace

struct Registry::Impl {
  mutable std::mutex Mutex;
  std::map<SeriesKey, uint64_t> Counters;
  std::map<SeriesKey, double> Gauges;
  std::map<SeriesKey, Histogram> Histograms;
};

Registry::Registry() : Pimpl(std::make_unique<Impl>()) {}
Registry::~Registry() = default;

void Registry::add(const std::string &name, const std::string &labels,
                   uint64_t n) {
  std::lock_guard lock(Pimpl->Mutex);
  Pimpl->Counters[{name, labels}] += n;
}

void Registry::set(const std::string &name, double value,
                   const std::string &labels) {
  std::lock_guard lock(Pimpl->Mutex);
  Pimpl->Gauges[{name, labels}] = value;
}

void Registry::observe(const std::string &name, double seconds,
                       const std::string &labels) {
  std::lock_guard lock(Pimpl->Mutex);
  Histogram &histogram = Pimpl->Histograms[{name, labels}];
  histogram.Buckets(seconds);
  histogram.Sum += seconds;
  ++histogram.Count;
}

void Registry::observeStage(const std::string &stage,
                            std::chrono::duration<double> duration) {
  observe("hickory_stage_seconds", std::max(duration.count(), 0.0),
          "stage=\"" + stage + "\"");
}

std::string Registry::text() const {
  std::lock_guard lock(Pimpl->Mutex);
  std::ostringstream out;
  std::string lastName;
  for (const auto &[key, n] : Pimpl->Counters) {
    writeType(out, lastName, key.first, "counter");
    out << seriesName(key.first, key.second) << ' ' << n << '\n';
  }
  for (const auto &[key, value] : Pimpl->Gauges) {
    writeType(out, lastName, key.first, "gauge");
    out << seriesName(key.first, key.second) << ' ' << value << '\n';
  }
  for (const auto &[key, histogram] : Pimpl->Histograms) {
    writeType(out, lastName, key.first, "histogram");
    writeHistogram(out, key, histogram);
  }
  return out.str();
}

} // namespace Metrics
