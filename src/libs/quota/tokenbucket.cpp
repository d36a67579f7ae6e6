#include "quota/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace Quota {

Limit endpointLimit(double callsPerSecond) {
  constexpr double burstSeconds = 1;
  constexpr double minBurst = 1; // One call.
  if (callsPerSecond <= 0)
    return {};
  return {callsPerSecond, std::max(minBurst, callsPerSecond * burstSeconds)};
}

namespace {

/// Mean of a random number of calls that lies six standard deviations of a
/// Poisson distribution below `most`. The probability of more calls is 2e-7 if
/// `most` is 35, and 1e-5 if it is 17.
double meanWithin(double most) {
  constexpr double deviations = 6;
  double root =
      (std::sqrt(deviations * deviations + 4 * most) - deviations) / 2;
  return root * root;
}

} // namespace

Limit coldLimit(double callsPerSecond, double maxInSecond) {
  // A full bucket and the refill of a second add up: with one second of the
  // rate in the bucket the endpoint would get twice the rate.
  constexpr double burstSeconds = 0.25;
  constexpr double minBurst = 1; // One call.
  if (callsPerSecond <= 0)
    return {};
  double burst =
      std::min(callsPerSecond * burstSeconds, maxInSecond - callsPerSecond);
  double ungranted = std::min(callsPerSecond, meanWithin(maxInSecond));
  return {callsPerSecond, std::max(minBurst, burst), ungranted};
}

Limit lowerLimit(const Limit &a, const Limit &b) {
  if (a.Rate <= 0 || b.Rate <= 0)
    return a.Rate <= 0 ? b : a;
  double rate = std::min(a.Rate, b.Rate);
  double ungranted = std::max(a.MaxUngranted, b.MaxUngranted);
  return {rate, std::min(a.Burst, b.Burst), std::min(ungranted, rate)};
}

Limit shareOf(const Limit &limit, uint32_t gateways) {
  if (!limit.isStrict())
    return {limit.Rate / gateways, limit.Burst / gateways};
  // A second sees the full buckets and the refill together.
  constexpr double refillShare = 0.8;
  double share = limit.MaxUngranted / gateways;
  return {share * refillShare, share * (1 - refillShare), share};
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
