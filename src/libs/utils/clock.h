#ifndef UTILS_CLOCK_H
#define UTILS_CLOCK_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace Utils {

/// A point on the monotonic clock. Deadlines are stored as such points.
using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Whole milliseconds from one point to another; negative when that is earlier.
inline int64_t msBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

/// Source of time, replaced by tests.
struct Clock {
  /// Monotonic time.
  std::function<TimePoint()> Now = [] {
    return std::chrono::steady_clock::now();
  };
  /// Wall clock, milliseconds since the Unix epoch. Used in audit entries and
  /// key expiry only, never to settle a race.
  std::function<int64_t()> WallMs = [] {
    return std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  };
};

} // namespace Utils

#endif // UTILS_CLOCK_H
