#ifndef UTILS_DEPENDENCYMONITOR_H
#define UTILS_DEPENDENCYMONITOR_H

#include "utils/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace Utils {

/// Logs when something that the process needs is lost and when it recovers,
/// once per outage. Not thread-safe.
class DependencyMonitor {
public:
  DependencyMonitor(std::string name, Clock clock);

  /// Logs the end of an outage, if there was one.
  void recordSuccess();
  /// Logs only the first failure after a success.
  void recordFailure(std::string_view reason);

private:
  std::string Name;
  Utils::Clock Time;
  std::optional<TimePoint> LostAt;
};

} // namespace Utils

#endif // UTILS_DEPENDENCYMONITOR_H
