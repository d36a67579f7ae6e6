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
using Latency = decltype(Bh::make_histogram(LogAxis()));

constexpr unsigned BucketCount = 36;
constexpr double SmallestBucketS = 1e-4;
constexpr double LargestBucketS = 1e2;

struct Distribution {
  Latency Buckets =
      Bh::make_histogram(LogAxis(BucketCount, SmallestBucketS, LargestBucketS));
  double Sum = 0;
  uint64_t Count = 0;
};

using Key = std::pair<std::string, std::string>;

std::string series(const std::string &name, const std::string &labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

void writeBucket(std::ostream &out, const Key &key, const std::string &bound,
                 uint64_t n) {
  std::string labels = key.second + (key.second.empty() ? "" : ",");
  out << key.first << "_bucket{" << labels << "le=\"" << bound << "\"} " << n
      << '\n';
}

void writeDistribution(std::ostream &out, const Key &key,
                       const Distribution &it) {
  const auto &axis = it.Buckets.axis();
  auto seen = static_cast<uint64_t>(it.Buckets.at(-1));
  for (int i = 0; i < axis.size(); ++i) {
    seen += static_cast<uint64_t>(it.Buckets.at(i));
    std::ostringstream bound;
    bound << axis.bin(i).upper();
    writeBucket(out, key, bound.str(), seen);
  }
  writeBucket(out, key, "+Inf", it.Count);
  out << series(key.first + "_sum", key.second) << ' ' << it.Sum << '\n'
      << series(key.first + "_count", key.second) << ' ' << it.Count << '\n';
}

/// Writes the type line when a new metric begins.
void writeType(std::ostream &out, std::string &last, const std::string &name,
               const char *type) {
  if (name == last)
    return;
  out << "# TYPE " << name << ' ' << type << '\n';
  last = name;
}

} // namespace

struct Registry::Content {
  mutable std::mutex Mutex;
  std::map<Key, uint64_t> Counters;
  std::map<Key, double> Gauges;
  std::map<Key, Distribution> Distributions;
};

Registry::Registry() : Data(std::make_unique<Content>()) {}
Registry::~Registry() = default;

void Registry::add(const std::string &name, const std::string &labels,
                   uint64_t n) {
  std::lock_guard lock(Data->Mutex);
  Data->Counters[{name, labels}] += n;
}

void Registry::set(const std::string &name, double value,
                   const std::string &labels) {
  std::lock_guard lock(Data->Mutex);
  Data->Gauges[{name, labels}] = value;
}

void Registry::observe(const std::string &name, double seconds,
                       const std::string &labels) {
  std::lock_guard lock(Data->Mutex);
  Distribution &it = Data->Distributions[{name, labels}];
  it.Buckets(seconds);
  it.Sum += seconds;
  ++it.Count;
}

void Registry::observeStage(const std::string &stage,
                            std::chrono::duration<double> it) {
  observe("hickory_stage_seconds", std::max(it.count(), 0.0),
          "stage=\"" + stage + "\"");
}

std::string Registry::text() const {
  std::lock_guard lock(Data->Mutex);
  std::ostringstream out;
  std::string last;
  for (const auto &[key, n] : Data->Counters) {
    writeType(out, last, key.first, "counter");
    out << series(key.first, key.second) << ' ' << n << '\n';
  }
  for (const auto &[key, value] : Data->Gauges) {
    writeType(out, last, key.first, "gauge");
    out << series(key.first, key.second) << ' ' << value << '\n';
  }
  for (const auto &[key, it] : Data->Distributions) {
    writeType(out, last, key.first, "histogram");
    writeDistribution(out, key, it);
  }
  return out.str();
}

} // namespace Metrics
