#ifndef UTILS_BOOTCLOCK_H
#define UTILS_BOOTCLOCK_H

#include "utils/clock.h"

namespace Utils {

/// Monotonic clock that keeps running while the VM is suspended, so that a
/// deadline that expired during the suspension is detected.
struct BootClock {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = TimePoint;

  static time_point now();
};

} // namespace Utils

#endif // UTILS_BOOTCLOCK_H
