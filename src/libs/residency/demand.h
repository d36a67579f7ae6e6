#ifndef RESIDENCY_DEMAND_H
#define RESIDENCY_DEMAND_H

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace Residency {

using Utils::Milliseconds;
using Utils::TimePoint;

/// Identifies a model of a service.
struct ModelKey {
  std::string Service;
  std::string Model;
  auto operator<=>(const ModelKey &) const = default;
};

/// Calls that wait for a model or an adapter which no engine has loaded.
struct PendingCalls {
  ModelKey Key;
  /// Empty for the model itself.
  std::string Adapter;
  uint32_t Calls = 0;
  TimePoint EarliestDeadline = TimePoint::max();
};

/// Call rate of each model, as an exponentially weighted moving average.
class Demand {
public:
  void note(const ModelKey &key, double calls, TimePoint now);
  /// Calls per second.
  double rate(const ModelKey &key, TimePoint now) const;
  TimePoint lastUsed(const ModelKey &key) const;
  /// Decayed number of calls of each model, without models whose number is
  /// close to zero.
  std::map<ModelKey, double> counts(TimePoint now) const;

private:
  struct Use {
    /// Number of calls, decayed up to LastUsed.
    double Calls = 0;
    TimePoint LastUsed{};
  };
  std::map<ModelKey, Use> Uses;
};

} // namespace Residency

#endif // RESIDENCY_DEMAND_H
