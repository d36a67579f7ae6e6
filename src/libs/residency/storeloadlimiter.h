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

/// How many loads from the weight store may begin. Beyond a number that nobody
/// states, loads only slow each other down and keep their engines from other
/// orders; that number is learnt from how long loads take.
class StorePace {
public:
  /// Loads that may begin in a window, over all engines.
  void setLimit(double perSecond, Milliseconds window);

  uint32_t left(TimePoint now) const;
  /// A load that takes `expected` alone is ordered.
  void begin(const std::string &place, Milliseconds expected, TimePoint now);
  /// The engine has taken the order.
  void taken(const std::string &place, TimePoint now);
  /// The engine has no order under way any more.
  void end(const std::string &place, TimePoint now);
  /// Nothing is known of the engine any more.
  void forget(const std::string &place) { UnderWay.erase(place); }
  /// Engines that should be done by now.
  std::vector<std::string> overdue(TimePoint now) const;
  uint32_t atOnce() const { return uint32_t(AtOnce); }

private:
  struct Load {
    Milliseconds Expected{0};
    TimePoint StartedAt{};
    bool Taken = false;
    /// Loads under way when it began, itself included.
    uint32_t Among = 1;
  };

  double PerSecond = 0;
  Milliseconds Window{0};
  double AtOnce = 2;
  /// Loads have slowed each other down before.
  bool Slowed = false;
  /// Beginnings within the window.
  std::deque<TimePoint> Begun;
  std::map<std::string, Load> UnderWay;
};

} // namespace Residency

#endif // RESIDENCY_STORELOADLIMITER_H
