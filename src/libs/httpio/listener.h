#ifndef HTTPIO_LISTENER_H
#define HTTPIO_LISTENER_H

#include "httpio/serverconnection.h"

#include <asio/io_context.hpp>
#include <list>
#include <memory>

namespace HttpIo {

/// Accepts connections at one address and looks after their time-outs.
class Listener {
public:
  Listener(asio::io_context &loop, std::shared_ptr<ServerPolicy> policy);

  void start(const Tcp::endpoint &address, std::error_code &ec);
  /// Connections that are open now.
  size_t connections() const { return Open.size(); }
  /// Closes all connections that wait for a request.
  void closeIdle();
  /// Connections that come from now on are refused.
  void stopAccepting();

private:
  void accept();
  void sweep();

  std::shared_ptr<ServerPolicy> Policy;
  Tcp::acceptor Acceptor;
  Timer SweepTimer;
  std::list<CallerConnectionRef> Open;
};

} // namespace HttpIo

#endif // HTTPIO_LISTENER_H
