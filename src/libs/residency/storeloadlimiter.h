#ifndef RESIDENCY_STORELOADLIMITER_H
#define RESIDENCY_STORELOADLIMITER_H

#include "utils/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Residency {

using Utils::Milliseconds;
using Utils::TimePoint;

/// Limits the rate and the concurrency of loads from the weight store. Beyond
/// some concurrency that is not configured, loads only slow each other down and
/// keep their engines busy; the limit is adapted to how long loads take.
class StoreLoadLimiter {
public:
  /// Limits the loads that begin within a window, over all engines.
  void setLimit(double perSecond, Milliseconds window);

  /// Number of loads that may begin now.
  uint32_t available(TimePoint now) const;
  /// A load was ordered that takes `expected` if no other runs.
  void noteOrdered(const std::string &replica, Milliseconds expected,
                   TimePoint now);
  /// The engine has accepted the order.
  void noteStarted(const std::string &replica, TimePoint now);
  /// The engine has no order in progress any more.
  void noteFinished(const std::string &replica, TimePoint now);
  /// The state of the engine is unknown: drops its load.
  void forget(const std::string &replica) { InFlight.erase(replica); }
  /// Replicas whose load has run for its expected time.
  std::vector<std::string> overdue(TimePoint now) const;
  uint32_t concurrencyLimit() const { return uint32_t(ConcurrencyLimit); }

private:
  struct Load {
    Milliseconds Expected{0};
    TimePoint StartedAt{};
    bool Started = false;
    /// Number of loads in flight when it was ordered.
    uint32_t ConcurrentLoads = 1;
  };

  double PerSecond = 0;
  Milliseconds Window{0};
  double ConcurrencyLimit = 2;
  /// Loads have slowed each other down at least once.
  bool SlowdownSeen = false;
  /// When the loads of the window were ordered.
  std::deque<TimePoint> StartTimes;
  std::map<std::string, Load> InFlight;
};

} // namespace Residency

#endif // RESIDENCY_STORELOADLIMITER_H
