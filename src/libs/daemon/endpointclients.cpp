#include "daemon/endpointclients.h"

#include "platform/platform.h"

namespace Daemon::Internal {

EndpointClients::EndpointClients() {
  auto connections = Platform::makeConnectionPool();
  MakeService = [connections](const std::string &host, uint16_t port) {
    return Platform::makeHttpService(host, port, connections);
  };
  MakeEngine = [connections](const std::string &host, uint16_t port) {
    return Platform::makeHttpEngine(host, port, connections);
  };
}

std::optional<Engine::EngineApi>
EndpointClients::engine(const History::State &state, const std::string &name) {
  auto it = state.Endpoints.find(name);
  if (it == state.Endpoints.end())
    return std::nullopt;
  return MakeEngine(it->second.Address, it->second.Port);
}

std::optional<Engine::Endpoint>
EndpointClients::service(const History::State &state, const std::string &name) {
  auto it = state.Endpoints.find(name);
  if (it == state.Endpoints.end())
    return std::nullopt;
  return MakeService(it->second.Address, it->second.Port);
}

uint32_t EndpointClients::outstanding(const std::string &name) const {
  return outstandingBefore(name, Utils::TimePoint::max());
}

uint32_t EndpointClients::outstandingBefore(const std::string &name,
                                            Utils::TimePoint at) const {
  std::lock_guard lock(Mutex);
  auto it = Outstanding.find(name);
  if (it == Outstanding.end())
    return 0;
  auto end = it->second.lower_bound(at);
  return static_cast<uint32_t>(std::distance(it->second.begin(), end));
}

bool EndpointClients::isFullLocked(const std::string &name,
                                   size_t threads) const {
  auto it = Outstanding.find(name);
  size_t own = it == Outstanding.end() ? 0 : it->second.size();
  return own + Total >= threads;
}

bool EndpointClients::isFull(const std::string &name, size_t threads) const {
  std::lock_guard lock(Mutex);
  return isFullLocked(name, threads);
}

bool EndpointClients::tryBegin(const std::string &name, Utils::TimePoint at,
                               size_t threads) {
  std::lock_guard lock(Mutex);
  if (isFullLocked(name, threads))
    return false;
  Outstanding[name].insert(at);
  ++Total;
  return true;
}

void EndpointClients::end(const std::string &name, Utils::TimePoint at) {
  std::lock_guard lock(Mutex);
  auto it = Outstanding.find(name);
  if (it == Outstanding.end())
    return;
  if (auto call = it->second.find(at); call != it->second.end()) {
    it->second.erase(call);
    --Total;
  }
  if (it->second.empty())
    Outstanding.erase(it);
}

} // namespace Daemon::Internal
