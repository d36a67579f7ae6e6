#ifndef DAEMON_WAITINGBOARD_H
#define DAEMON_WAITINGBOARD_H

#include "placement/placement.h"
#include "utils/utils.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace Daemon::Internal {

/// First requests that wait for a model, at this daemon and as the others told.
/// The holder of the placement duty orders the loads by them. Thread-safe.
class WaitingBoard {
public:
  explicit WaitingBoard(Utils::Clock clock) : Clock(std::move(clock)) {}

  /// Counts a request as waiting until the result is destroyed.
  std::shared_ptr<void> add(const std::string &model, const std::string &team,
                            Utils::TimePoint deadline);

  /// What waits here, for other daemons; deadlines go as time left.
  std::string message() const;
  bool empty() const;
  /// Replaces what the daemon told before. Errc::Corrupt: not a message().
  Utils::Status take(const std::string &daemon, std::string_view message);

  /// What waits in the fleet, by model. What another daemon told is forgotten
  /// when it has not been repeated for a second.
  std::map<std::string, Placement::Waiting> all() const;

private:
  using ByModel = std::map<std::string, Placement::Waiting>;
  struct Told {
    ByModel Content;
    Utils::TimePoint At;
  };
  struct Request {
    std::string Team;
    Utils::TimePoint Deadline;
  };

  ByModel ownLocked() const;

  Utils::Clock Clock;
  mutable std::mutex Mutex;
  uint64_t LastId = 0;
  std::map<std::string, std::map<uint64_t, Request>> Own;
  std::map<std::string, Told> Others;
};

/// When models become ready, by the load times that this daemon measured.
/// Thread-safe.
class LoadForecast {
public:
  /// Takes over what changed of the loads under way and their times.
  void update(const Placement::Knowledge &knowledge);

  /// Milliseconds until a request for the model could start; nothing while no
  /// load of its kind (model, adapter) was measured, or when no engine could
  /// hold the model.
  std::optional<uint32_t> readyInMs(const History::State &state,
                                    const std::string &model,
                                    Utils::TimePoint now) const;

private:
  mutable std::mutex Mutex;
  Placement::Policy Policy;
  Placement::Knowledge Known;
};

} // namespace Daemon::Internal

#endif // DAEMON_WAITINGBOARD_H
