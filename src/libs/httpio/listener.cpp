#include "httpio/listener.h"

#include "httpio/httpioconstants.h"

namespace HttpIo {

Listener::Listener(asio::io_context &loop, std::shared_ptr<ServerPolicy> policy)
    : Policy(std::move(policy)), Acceptor(loop), SweepTimer(loop) {}

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
  sweep();
}

void Listener::accept() {
  Acceptor.async_accept([this](const std::error_code &ec, Tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec) {
      Open.push_back(
          std::make_shared<CallerConnection>(std::move(socket), Policy));
      Open.back()->start();
    }
    accept();
  });
}

void Listener::sweep() {
  Utils::TimePoint now = Utils::BootClock::now();
  for (const CallerConnectionRef &it : Open)
    it->checkTimeouts(now);
  Open.remove_if([](const CallerConnectionRef &it) { return !it->isOpen(); });
  SweepTimer.expires_after(SweepInterval);
  SweepTimer.async_wait([this](const std::error_code &ec) {
    if (!ec)
      sweep();
  });
}

void Listener::closeIdle() {
  for (const CallerConnectionRef &it : Open)
    it->closeIfIdle();
  Open.remove_if([](const CallerConnectionRef &it) { return !it->isOpen(); });
}

void Listener::stopAccepting() {
  std::error_code ec; // Already closed is as good.
  Acceptor.close(ec);
}

} // namespace HttpIo
