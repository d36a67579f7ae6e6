#ifndef EXPERIMENTS_PERCENTILE_H
#define EXPERIMENTS_PERCENTILE_H

#include <algorithm>
#include <cmath>
#include <vector>

namespace Experiments {

/// Nearest-rank percentile at the share (0 to 1) of the sorted values; 0
/// without any.
inline double percentile(const std::vector<double> &sorted, double share) {
  if (sorted.empty())
    return 0;
  auto rank = static_cast<size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

} // namespace Experiments

#endif // EXPERIMENTS_PERCENTILE_H
