#ifndef ROUTING_OUTLIERS_H
#define ROUTING_OUTLIERS_H

#include "utils/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// Endpoints that failed several times in a row get no requests for a while.
/// Never more than half of the candidates are left out. Thread-safe.
class Outliers {
public:
  void record(const std::string &endpoint, bool failed, Utils::TimePoint now);

  /// When a request to the endpoint failed last; nothing when the newest one
  /// was answered.
  std::optional<Utils::TimePoint>
  lastFailure(const std::string &endpoint) const;

  /// Endpoints whose last failure was after the point.
  std::vector<std::string> failedSince(Utils::TimePoint at) const;

  /// Those of the endpoints that are to be left out now; of too many, the ones
  /// whose ejection ends first are let in again.
  std::set<std::string> ejected(const std::vector<std::string> &endpoints,
                                Utils::TimePoint now) const;

private:
  struct Health {
    uint32_t FailuresInRow = 0;
    uint32_t Ejections = 0;
    Utils::TimePoint LastFailure{};
    Utils::TimePoint EjectedUntil{};
  };

  mutable std::mutex Mutex;
  std::map<std::string, Health> Healths;
};

} // namespace Routing

#endif // ROUTING_OUTLIERS_H
