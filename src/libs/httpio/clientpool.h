#ifndef HTTPIO_CLIENTPOOL_H
#define HTTPIO_CLIENTPOOL_H

#include "httpio/clientconnection.h"

#include <map>
#include <string>
#include <vector>

namespace HttpIo {

/// Idle connections by the name of their peer.
class ClientPool {
public:
  explicit ClientPool(asio::io_context &loop);

  /// An idle connection that was used since `usedSince`, or a new one.
  ClientConnectionRef take(const std::string &peer, Utils::TimePoint usedSince);
  /// Keeps the connection for later calls if it is fit for them.
  void give(const std::string &peer, const ClientConnectionRef &connection);
  /// Closes the idle connections to the peer.
  void drop(const std::string &peer);
  /// Closes connections that were idle too long.
  void sweep();

private:
  asio::io_context &Loop;
  std::map<std::string, std::vector<ClientConnectionRef>> Idle;
};

} // namespace HttpIo

#endif // HTTPIO_CLIENTPOOL_H
