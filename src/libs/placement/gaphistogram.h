#ifndef PLACEMENT_GAPHISTOGRAM_H
#define PLACEMENT_GAPHISTOGRAM_H

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace Placement {

/// Histogram of the idle times between uses of a model, in seconds, on a
/// logarithmic axis from one second to a day. Longer gaps are the last bin.
/// Source of the idea: Shahrad et al., "Serverless in the Wild" (2020).
class GapHistogram {
public:
  static constexpr int Bins = 34;

  void add(double seconds);
  double total() const { return Total; }
  /// Number of gaps in a bin, from 0 to Bins; Bins holds gaps over a day.
  double count(int bin) const;
  /// Middle of a bin, geometric, and its upper edge, in seconds.
  static double middle(int bin);
  static double upper(int bin);

private:
  using LogAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  static LogAxis makeAxis();

  decltype(boost::histogram::make_histogram(LogAxis())) Counts =
      boost::histogram::make_histogram(makeAxis());
  double Total = 0;
};

} // namespace Placement

#endif // PLACEMENT_GAPHISTOGRAM_H
