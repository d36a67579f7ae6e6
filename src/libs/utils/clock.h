#ifndef UTILS_CLOCK_H
#define UTILS_CLOCK_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace Utils {

/// Time point of the monotonic clock, in which deadlines are expressed.
using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Whole milliseconds from `from` to `to`; negative when `to` is earlier.
inline int64_t msBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

/// Source of time, replaceable in tests.
struct Clock {
  /// Monotonic time.
  std::function<TimePoint()> Now = [] {
    return std::chrono::steady_clock::now();
  };
  /// Wall clock, milliseconds since the Unix epoch. For dates, such as those of
  /// audit records and key expiry; never for ordering concurrent events.
  std::function<int64_t()> WallMs = [] {
    return std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  };
};

} // namespace Utils

#endif // UTILS_CLOCK_H
