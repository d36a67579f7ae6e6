#ifndef RESIDENCY_DEMAND_H
#define RESIDENCY_DEMAND_H

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace Residency {

using Utils::Milliseconds;
using Utils::TimePoint;

/// A model of a service.
struct ModelKey {
  std::string Service;
  std::string Model;
  auto operator<=>(const ModelKey &) const = default;
};

/// Calls that wait for a model or an adapter that no engine holds.
struct Need {
  ModelKey Key;
  /// Empty for the model itself.
  std::string Adapter;
  uint32_t Calls = 0;
  TimePoint EarliestDeadline = TimePoint::max();
};

/// How often each model is called, as a moving average.
class Demand {
public:
  void note(const ModelKey &key, double calls, TimePoint now);
  /// Calls a second; those long ago count little.
  double rate(const ModelKey &key, TimePoint now) const;
  TimePoint lastUsed(const ModelKey &key) const;
  /// Calls of each model, those long ago counted as part of one; models that
  /// are hardly called are left out.
  std::map<ModelKey, double> counts(TimePoint now) const;

private:
  struct Use {
    /// Calls, decayed since LastUsed.
    double Calls = 0;
    TimePoint LastUsed{};
  };
  std::map<ModelKey, Use> Uses;
};

} // namespace Residency

#endif // RESIDENCY_DEMAND_H
