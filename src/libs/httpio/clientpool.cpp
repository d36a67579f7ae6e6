#include "httpio/clientpool.h"

namespace HttpIo {

ClientPool::ClientPool(asio::io_context &loop) : Loop(loop) {}

ClientConnectionRef ClientPool::acquire(const std::string &peer,
                                        Utils::TimePoint usedSince) {
  auto it = IdleConnections.find(peer);
  while (it != IdleConnections.end() && !it->second.empty()) {
    ClientConnectionRef connection = std::move(it->second.back());
    it->second.pop_back();
    if (connection->isReusable() && connection->lastUsed() >= usedSince)
      return connection;
    connection->close();
  }
  return create();
}

ClientConnectionRef ClientPool::create() {
  return std::make_shared<ClientConnection>(Loop);
}

void ClientPool::release(const std::string &peer,
                         const ClientConnectionRef &connection) {
  if (connection->isReusable())
    IdleConnections[peer].push_back(connection);
}

void ClientPool::closeIdle(const std::string &peer) {
  auto it = IdleConnections.find(peer);
  if (it == IdleConnections.end())
    return;
  for (const ClientConnectionRef &connection : it->second)
    connection->close();
  IdleConnections.erase(it);
}

void ClientPool::closeExpired() {
  for (auto &[peer, list] : IdleConnections)
    std::erase_if(list, [](const ClientConnectionRef &connection) {
      if (connection->isReusable())
        return false;
      connection->close();
      return true;
    });
  std::erase_if(IdleConnections,
                [](const auto &it) { return it.second.empty(); });
}

} // namespace HttpIo
