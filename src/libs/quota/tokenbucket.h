#ifndef QUOTA_TOKENBUCKET_H
#define QUOTA_TOKENBUCKET_H

#include "utils/clock.h"

#include <cstdint>

namespace Quota {

using Utils::Milliseconds;
using Utils::TimePoint;

/// Parameters of a token bucket.
struct Limit {
  /// Refill rate in tokens per second; 0 means unlimited.
  double Rate = 0;
  /// Capacity of the bucket in tokens.
  double Burst = 0;
  /// Tokens that all gateways without a holder may admit on average in the
  /// fullest second. Set for limits that hold in every second; 0 for limits
  /// over longer windows.
  double MaxUngranted = 0;

  /// Whether the limit holds in every second. A bucket whose level is not known
  /// starts empty then.
  bool isStrict() const { return MaxUngranted > 0; }
  bool operator==(const Limit &) const = default;
};

/// Limit on the calls to an endpoint, one token for each call; a rate of 0
/// means unlimited.
Limit endpointLimit(double callsPerSecond);

/// Limit on the calls to a cold endpoint, which must get no more than
/// `maxInSecond` calls in any second; a rate of 0 means unlimited.
Limit coldLimit(double callsPerSecond, double maxInSecond);

/// Limit that keeps within both; either may be unlimited.
Limit lowerLimit(const Limit &a, const Limit &b);

/// The part of the limit that one of the gateways uses without a holder.
Limit shareOf(const Limit &limit, uint32_t gateways);

/// Token bucket whose level may go below zero.
class TokenBucket {
public:
  TokenBucket(const Limit &limit, double level, TimePoint now);
  /// Keeps the current level, capped at the new burst.
  void setLimit(const Limit &limit, TimePoint now);
  /// Removes tokens, also below zero; a negative amount returns tokens.
  void take(double tokens, TimePoint now);
  double level(TimePoint now);
  void setLevel(double level, TimePoint now);
  const Limit &limit() const { return CurrentLimit; }

private:
  Limit CurrentLimit;
  double Level;
  TimePoint RefilledAt;
};

} // namespace Quota

#endif // QUOTA_TOKENBUCKET_H
