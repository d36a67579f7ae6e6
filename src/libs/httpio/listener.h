#ifndef HTTPIO_LISTENER_H
#define HTTPIO_LISTENER_H

#include "httpio/oneshottimer.h"
#include "httpio/serverconnection.h"

#include <asio/io_context.hpp>
#include <list>
#include <memory>

namespace HttpIo {

/// Accepts connections on one address and closes those that time out.
class Listener {
public:
  Listener(asio::io_context &loop, std::shared_ptr<ServerPolicy> policy);

  /// Listens on `address` and starts accepting connections.
  void start(const Tcp::endpoint &address, std::error_code &ec);
  /// Number of open connections. A closed one counts until the next check.
  size_t connectionCount() const { return Connections.size(); }
  /// Closes all idle connections.
  void closeIdle();
  /// Refuses new connections from now on.
  void stopAccepting();

private:
  void accept();
  void closeTimedOut();

  std::shared_ptr<ServerPolicy> Policy;
  Tcp::acceptor Acceptor;
  OneShotTimer TimeoutTimer;
  std::list<ServerConnectionRef> Connections;
};

} // namespace HttpIo

#endif // HTTPIO_LISTENER_H
