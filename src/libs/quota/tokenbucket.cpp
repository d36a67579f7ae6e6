#include "quota/tokenbucket.h"

#include <algorithm>

namespace Quota {

Limit endpointLimit(double callsPerSecond) {
  constexpr double burstSeconds = 1;
  constexpr double minBurst = 1; // One call.
  if (callsPerSecond <= 0)
    return {};
  return {callsPerSecond, std::max(minBurst, callsPerSecond * burstSeconds)};
}

TokenBucket::TokenBucket(const Limit &limit, double level, TimePoint now)
    : CurrentLimit(limit), Level(std::min(level, limit.Burst)),
      RefilledAt(now) {}

void TokenBucket::setLimit(const Limit &limit, TimePoint now) {
  Level = std::min(level(now), limit.Burst);
  CurrentLimit = limit;
}

double TokenBucket::level(TimePoint now) {
  if (now <= RefilledAt)
    return Level;
  double elapsed = std::chrono::duration<double>(now - RefilledAt).count();
  Level = std::min(CurrentLimit.Burst, Level + CurrentLimit.Rate * elapsed);
  RefilledAt = now;
  return Level;
}

void TokenBucket::setLevel(double value, TimePoint now) {
  Level = std::min(value, CurrentLimit.Burst);
  RefilledAt = now;
}

void TokenBucket::take(double tokens, TimePoint now) {
  level(now);
  Level = std::min(CurrentLimit.Burst, Level - tokens);
}

} // namespace Quota
