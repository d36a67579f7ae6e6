#include "placement/gaphistogram.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Placement {

namespace {
constexpr double ShortestSeconds = 1;
constexpr double LongestSeconds = 86400;

using Edges = std::array<double, GapHistogram::Bins + 1>;

Edges makeEdges() {
  Edges edges;
  for (size_t i = 0; i < edges.size(); ++i) {
    double share = static_cast<double>(i) / GapHistogram::Bins;
    edges[i] =
        ShortestSeconds * std::pow(LongestSeconds / ShortestSeconds, share);
  }
  return edges;
}

double edge(int bin) {
  static const Edges edges = makeEdges();
  return edges[static_cast<size_t>(bin)];
}
} // namespace

GapHistogram::LogAxis GapHistogram::makeAxis() {
  return {Bins, ShortestSeconds, LongestSeconds};
}

void GapHistogram::add(double seconds) {
  Counts(std::max(seconds, ShortestSeconds));
  ++Total;
}

double GapHistogram::count(int bin) const { return Counts.at(bin); }

double GapHistogram::middle(int bin) {
  return bin >= Bins ? 2 * LongestSeconds
                     : std::sqrt(edge(bin) * edge(bin + 1));
}

double GapHistogram::upper(int bin) { return edge(bin + 1); }

} // namespace Placement
