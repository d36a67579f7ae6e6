#ifndef DAEMON_SUSPECTBOARD_H
#define DAEMON_SUSPECTBOARD_H

#include "utils/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Daemon::Internal {

/// Endpoints at which other daemons say that calls fail. Thread-safe.
class SuspectBoard {
public:
  /// Far longer than an endpoint waits for its next report, after which what
  /// was said before no longer counts.
  static constexpr Utils::Milliseconds ForgetAfter{60'000};

  void note(const std::vector<std::string> &endpoints, Utils::TimePoint now) {
    std::lock_guard lock(Mutex);
    for (const std::string &it : endpoints)
      ToldAt[it] = now;
    std::erase_if(
        ToldAt, [&](const auto &it) { return now - it.second >= ForgetAfter; });
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
