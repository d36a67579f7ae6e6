#include "httpio/clientpool.h"

namespace HttpIo {

ClientPool::ClientPool(asio::io_context &loop) : Loop(loop) {}

ClientConnectionRef ClientPool::take(const std::string &peer,
                                     Utils::TimePoint usedSince) {
  auto it = Idle.find(peer);
  while (it != Idle.end() && !it->second.empty()) {
    ClientConnectionRef connection = std::move(it->second.back());
    it->second.pop_back();
    if (connection->isReusable() && connection->lastUsed() >= usedSince)
      return connection;
    connection->close();
  }
  return std::make_shared<ClientConnection>(Loop);
}

void ClientPool::give(const std::string &peer,
                      const ClientConnectionRef &connection) {
  if (connection->isReusable())
    Idle[peer].push_back(connection);
}

void ClientPool::drop(const std::string &peer) {
  auto it = Idle.find(peer);
  if (it == Idle.end())
    return;
  for (const ClientConnectionRef &connection : it->second)
    connection->close();
  Idle.erase(it);
}

void ClientPool::sweep() {
  for (auto &[peer, list] : Idle)
    std::erase_if(list, [](const ClientConnectionRef &connection) {
      if (connection->isReusable())
        return false;
      connection->close();
      return true;
    });
  std::erase_if(Idle, [](const auto &it) { return it.second.empty(); });
}

} // namespace HttpIo
