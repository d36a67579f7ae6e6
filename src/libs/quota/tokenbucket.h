#ifndef QUOTA_TOKENBUCKET_H
#define QUOTA_TOKENBUCKET_H

#include "utils/clock.h"

namespace Quota {

using Utils::Milliseconds;
using Utils::TimePoint;

struct Limit {
  /// Tokens a second; 0 means no limit.
  double Rate = 0;
  double Burst = 0;
  bool operator==(const Limit &) const = default;
};

/// A bucket that may be in debt.
class Bucket {
public:
  Bucket(const Limit &limit, double level, TimePoint now);
  /// What is in it stays, as far as there is room.
  void setLimit(const Limit &limit, TimePoint now);
  void take(double tokens, TimePoint now);
  double level(TimePoint now);
  void setLevel(double level, TimePoint now);
  const Limit &limit() const { return Allowed; }

private:
  Limit Allowed;
  double Level;
  TimePoint FilledAt;
};

} // namespace Quota

#endif // QUOTA_TOKENBUCKET_H
