#ifndef UTILS_BOOTCLOCK_H
#define UTILS_BOOTCLOCK_H

#include "utils/clock.h"

namespace Utils {

/// Monotonic clock that also counts the time in which the VM was suspended, so
/// that a deadline that passed meanwhile is seen to have passed.
struct BootClock {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = TimePoint;

  static time_point now();
};

} // namespace Utils

#endif // UTILS_BOOTCLOCK_H
