#ifndef HTTPIO_CLIENTPOOL_H
#define HTTPIO_CLIENTPOOL_H

#include "httpio/clientconnection.h"

#include <map>
#include <string>
#include <vector>

namespace HttpIo {

/// A pool of idle client connections, keyed by peer name.
class ClientPool {
public:
  explicit ClientPool(asio::io_context &loop);

  /// Returns an idle connection last used at or after `usedSince`, or a new
  /// one.
  ClientConnectionRef acquire(const std::string &peer,
                              Utils::TimePoint usedSince);
  /// Returns a new connection, on which nothing can arrive that answers an
  /// earlier request.
  ClientConnectionRef create();
  /// Returns a connection to the pool if it is reusable.
  void release(const std::string &peer, const ClientConnectionRef &connection);
  /// Closes all idle connections to the peer.
  void closeIdle(const std::string &peer);
  /// Closes idle connections that are no longer reusable.
  void closeExpired();

private:
  asio::io_context &Loop;
  std::map<std::string, std::vector<ClientConnectionRef>> IdleConnections;
};

} // namespace HttpIo

#endif // HTTPIO_CLIENTPOOL_H
