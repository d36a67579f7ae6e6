#include "httpio/clientconnection.h"

#include "httpio/httpioconstants.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>

namespace HttpIo {

namespace {

/// Idle time of a connection whose peer states none.
constexpr std::chrono::seconds DefaultIdle{4};
/// Kept off the idle time that the peer states, against a request that crosses
/// its close.
constexpr std::chrono::milliseconds IdleMargin{500};

} // namespace

std::string_view exchangeEndName(ExchangeEnd end) {
  static constexpr std::string_view names[] = {"complete", "not_connected",
                                               "broken", "malformed"};
  return names[static_cast<size_t>(end)];
}

ClientConnection::ClientConnection(asio::io_context &loop)
    : Socket(loop), ConnectTimer(loop) {}

void ClientConnection::exchange(const Tcp::endpoint &peer, std::string request,
                                ResponseEvents events) {
  Events = std::make_shared<ResponseEvents>(std::move(events));
  Output = std::move(request);
  Parser.reset();
  HeadTaken = Skipping = Reusable = false;
  if (Connected)
    return write();
  connect(peer);
}

void ClientConnection::connect(const Tcp::endpoint &peer) {
  auto self = shared_from_this();
  ConnectTimer.expires_after(ConnectLimit);
  ConnectTimer.async_wait([self](const std::error_code &ec) {
    if (!ec && !self->Connected)
      self->end(ExchangeEnd::NotConnected);
  });
  Socket.async_connect(peer, [self](const std::error_code &ec) {
    if (!self->busy())
      return;
    self->ConnectTimer.cancel();
    if (ec)
      return self->end(ExchangeEnd::NotConnected);
    self->Connected = true;
    setLowLatency(self->Socket);
    self->write();
    self->read();
  });
}

void ClientConnection::write() {
  Writing = true;
  auto self = shared_from_this();
  asio::async_write(Socket, asio::buffer(Output),
                    [self](const std::error_code &, size_t) {
                      // A failed write ends the read, too.
                      self->Writing = false;
                      self->Output.clear();
                    });
}

void ClientConnection::read() {
  auto self = shared_from_this();
  Socket.async_read_some(asio::buffer(Buffer),
                         [self](const std::error_code &ec, size_t n) {
                           if (ec)
                             return self->onReadEnd(ec);
                           self->onRead(n);
                         });
}

void ClientConnection::onRead(size_t n) {
  if (!Connected)
    return;
  if (!busy())
    return close(); // Bytes that no request asked for.
  Input.append(Buffer.data(), n);
  feed();
  if (Connected)
    read();
}

void ClientConnection::onReadEnd(const std::error_code &ec) {
  bool orderly = ec == asio::error::eof;
  bool atBody = orderly && HeadTaken && !Skipping;
  if (busy() && atBody && Parser.finish() == Http::ResponseState::Complete)
    return end(ExchangeEnd::Complete);
  if (busy())
    return end(ExchangeEnd::Broken);
  close();
}

void ClientConnection::feed() {
  while (busy()) {
    std::string body;
    Http::ResponseState state = Parser.feed(Input, body);
    if (state == Http::ResponseState::Malformed)
      return end(ExchangeEnd::Malformed);
    if (state == Http::ResponseState::Head || !takeHead())
      return;
    if (!body.empty() && !Skipping)
      std::shared_ptr(Events)->OnBody(body);
    if (state == Http::ResponseState::Body)
      return;
    bool counts = !Skipping;
    if (counts && busy())
      return end(ExchangeEnd::Complete);
    Parser.reset();
    HeadTaken = Skipping = false;
  }
}

/// Returns whether the exchange goes on.
bool ClientConnection::takeHead() {
  if (HeadTaken)
    return true;
  HeadTaken = true;
  constexpr unsigned firstFinalStatus = 200;
  auto events = Events;
  Skipping =
      Parser.head().Status < firstFinalStatus ||
      events->OnHead(Parser.head(), Parser.framing()) == HeadVerdict::Skip;
  return busy();
}

void ClientConnection::end(ExchangeEnd result) {
  Reusable = result == ExchangeEnd::Complete && Parser.keepAlive() &&
             Input.empty() && !Writing;
  LastUsed = Utils::BootClock::now();
  if (Reusable) {
    auto seconds = Http::keepAliveSeconds(Parser.head().Headers);
    auto idle = seconds ? std::chrono::seconds(*seconds) : DefaultIdle;
    IdleUntil = LastUsed + idle - IdleMargin;
  }
  auto events = std::move(Events);
  if (!Reusable)
    close();
  if (events)
    events->OnEnd(result);
}

void ClientConnection::cancel() {
  Events.reset();
  close();
}

void ClientConnection::close() {
  Connected = Reusable = false;
  ConnectTimer.cancel();
  std::error_code ec; // Already closed is as good.
  Socket.close(ec);
  if (OnIdleEnd)
    std::exchange(OnIdleEnd, nullptr)();
}

bool ClientConnection::isReusable() const {
  return Reusable && Connected && Utils::BootClock::now() < IdleUntil;
}

} // namespace HttpIo
