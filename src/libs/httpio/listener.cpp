#include "httpio/listener.h"

#include "httpio/httpioconstants.h"

namespace HttpIo {

Listener::Listener(asio::io_context &loop, std::shared_ptr<ServerPolicy> policy)
    : Policy(std::move(policy)), Acceptor(loop), TimeoutTimer(loop) {}

void Listener::start(const Tcp::endpoint &address, std::error_code &ec) {
  Acceptor.open(address.protocol(), ec);
  if (!ec)
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(address, ec);
  if (!ec)
    Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return;
  accept();
  closeTimedOut();
}

void Listener::accept() {
  Acceptor.async_accept([this](const std::error_code &ec, Tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec) {
      Connections.push_back(
          std::make_shared<ServerConnection>(std::move(socket), Policy));
      Connections.back()->start();
    }
    accept();
  });
}

void Listener::closeTimedOut() {
  Utils::TimePoint now = Utils::BootClock::now();
  for (const ServerConnectionRef &it : Connections)
    it->checkTimeouts(now);
  Connections.remove_if(
      [](const ServerConnectionRef &it) { return !it->isOpen(); });
  TimeoutTimer.callAfter(TimeoutCheckInterval, [this] { closeTimedOut(); });
}

void Listener::closeIdle() {
  for (const ServerConnectionRef &it : Connections)
    it->closeIfIdle();
  Connections.remove_if(
      [](const ServerConnectionRef &it) { return !it->isOpen(); });
}

void Listener::stopAccepting() {
  std::error_code ec; // Ignored: the acceptor may be closed already.
  Acceptor.close(ec);
}

} // namespace HttpIo
