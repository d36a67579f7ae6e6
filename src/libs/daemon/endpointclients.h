#ifndef DAEMON_ENDPOINTCLIENTS_H
#define DAEMON_ENDPOINTCLIENTS_H

#include "engine/engine.h"
#include "history/history.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace Daemon::Internal {

/// Clients of the endpoints and the number of calls under way at each.
/// Thread-safe.
class EndpointClients {
public:
  EndpointClients();

  /// Makes the client of a service or engine; set before the first use.
  std::function<Engine::Endpoint(const std::string &host, uint16_t port)>
      MakeService;
  std::function<Engine::EngineApi(const std::string &host, uint16_t port)>
      MakeEngine;

  /// Client of an engine in the state; nothing when it is not there.
  std::optional<Engine::EngineApi> engine(const History::State &state,
                                          const std::string &name);
  std::optional<Engine::Endpoint> service(const History::State &state,
                                          const std::string &name);

  uint32_t outstanding(const std::string &name) const;
  /// Calls under way that began before the time.
  uint32_t outstandingBefore(const std::string &name,
                             Utils::TimePoint at) const;
  /// Whether the endpoint has its share of the threads under way: as many as
  /// are left free. So k endpoints that hang leave 1/(k+1) of them to the rest.
  bool isFull(const std::string &name, size_t threads) const;
  /// Counts a call that begins at the time; false when the endpoint is full.
  bool tryBegin(const std::string &name, Utils::TimePoint at, size_t threads);
  /// Ends a call that began at the time.
  void end(const std::string &name, Utils::TimePoint at);

private:
  bool isFullLocked(const std::string &name, size_t threads) const;

  mutable std::mutex Mutex;
  size_t Total = 0;
  /// When each call under way began.
  std::map<std::string, std::multiset<Utils::TimePoint>> Outstanding;
};

} // namespace Daemon::Internal

#endif // DAEMON_ENDPOINTCLIENTS_H
