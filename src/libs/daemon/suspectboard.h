#ifndef DAEMON_SUSPECTBOARD_H
#define DAEMON_SUSPECTBOARD_H

#include "utils/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Daemon::Internal {

/// Endpoints at which other daemons say that calls fail. Holds names of the
/// endpoints on the agreed state only. Thread-safe.
class SuspectBoard {
public:
  void note(const std::vector<std::string> &endpoints, Utils::TimePoint now) {
    std::lock_guard lock(Mutex);
    for (const std::string &it : endpoints)
      ToldAt[it] = now;
  }
  /// When a daemon last said so; nothing when none did.
  std::optional<Utils::TimePoint> toldAt(const std::string &endpoint) const {
    std::lock_guard lock(Mutex);
    auto it = ToldAt.find(endpoint);
    if (it == ToldAt.end())
      return std::nullopt;
    return it->second;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, Utils::TimePoint> ToldAt;
};

} // namespace Daemon::Internal

#endif // DAEMON_SUSPECTBOARD_H
