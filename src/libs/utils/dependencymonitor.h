#ifndef UTILS_DEPENDENCYMONITOR_H
#define UTILS_DEPENDENCYMONITOR_H

#include "utils/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace Utils {

/// Logs when something that the process needs is lost and when it is back, once
/// each. Not thread-safe.
class Dependency {
public:
  Dependency(std::string name, Clock clock);

  void noteAnswer();
  /// Only the first failure after an answer is logged.
  void noteFailure(std::string_view why);

private:
  std::string Name;
  Utils::Clock Time;
  std::optional<TimePoint> LostAt;
};

} // namespace Utils

#endif // UTILS_DEPENDENCYMONITOR_H
