#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

/// Public header of the daemon library: one process of the system.
#include "settings/settings.h"
#include "utils/clock.h"
#include "utils/outcome.h"

#include <memory>

namespace Daemon {

/// One daemon with all its duties, each on a thread of its own.
class Process {
public:
  explicit Process(Settings::DaemonSettings settings);
  ~Process();

  /// Starts all duties; fails when a port cannot be bound.
  Utils::Status start();

  /// Planned stop, first half: /readyz turns 503 while the daemon serves on.
  /// Returns until when a balancer may still send requests.
  Utils::TimePoint leaveBalancer();
  /// Planned stop: ends admission, finishes running answers, gives back leases.
  void stop();

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

} // namespace Daemon

#endif // DAEMON_DAEMON_H
