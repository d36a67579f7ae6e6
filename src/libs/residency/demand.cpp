#include "residency/demand.h"

#include <cmath>

namespace Residency {

namespace {

/// Time constant in which the weight of a call decays to 1/e. Demand at the
/// sites shifts within 4 to 6 s, and a rare model is called every 20 s.
constexpr double DecaySeconds = 8;

/// Decayed count of a model that was called once, four time constants ago.
constexpr double MinCount = 0.02;

double decay(TimePoint from, TimePoint to) {
  return std::exp(-std::chrono::duration<double>(to - from).count() /
                  DecaySeconds);
}

} // namespace

void Demand::note(const ModelKey &key, double calls, TimePoint now) {
  Use &use = Uses[key];
  use.Calls = use.Calls * decay(use.LastUsed, now) + calls;
  use.LastUsed = now;
}

double Demand::rate(const ModelKey &key, TimePoint now) const {
  auto it = Uses.find(key);
  if (it == Uses.end())
    return 0;
  return it->second.Calls * decay(it->second.LastUsed, now) / DecaySeconds;
}

TimePoint Demand::lastUsed(const ModelKey &key) const {
  auto it = Uses.find(key);
  return it == Uses.end() ? TimePoint{} : it->second.LastUsed;
}

std::map<ModelKey, double> Demand::counts(TimePoint now) const {
  std::map<ModelKey, double> out;
  for (const auto &[key, use] : Uses)
    if (double calls = use.Calls * decay(use.LastUsed, now); calls >= MinCount)
      out[key] = calls;
  return out;
}

} // namespace Residency
