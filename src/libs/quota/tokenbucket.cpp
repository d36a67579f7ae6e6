#include "quota/tokenbucket.h"

#include <algorithm>

namespace Quota {

Bucket::Bucket(const Limit &limit, double level, TimePoint now)
    : Allowed(limit), Level(std::min(level, limit.Burst)), FilledAt(now) {}

void Bucket::setLimit(const Limit &limit, TimePoint now) {
  Level = std::min(level(now), limit.Burst);
  Allowed = limit;
}

double Bucket::level(TimePoint now) {
  if (now <= FilledAt)
    return Level;
  double passed = std::chrono::duration<double>(now - FilledAt).count();
  Level = std::min(Allowed.Burst, Level + Allowed.Rate * passed);
  FilledAt = now;
  return Level;
}

void Bucket::setLevel(double value, TimePoint now) {
  Level = std::min(value, Allowed.Burst);
  FilledAt = now;
}

void Bucket::take(double tokens, TimePoint now) {
  level(now);
  Level = std::min(Allowed.Burst, Level - tokens);
}

} // namespace Quota
