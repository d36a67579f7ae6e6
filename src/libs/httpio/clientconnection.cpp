#include "httpio/clientconnection.h"

#include "httpio/httpioconstants.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>

namespace HttpIo {

namespace {

/// Idle timeout for peers that send no Keep-Alive field.
constexpr std::chrono::seconds DefaultIdleTimeout{4};
/// Subtracted from the peer's idle timeout, so that no request is sent while
/// the peer closes the connection.
constexpr std::chrono::milliseconds IdleTimeoutMargin{500};

bool isInterim(unsigned status) {
  constexpr unsigned firstFinalStatus = 200;
  return status < firstFinalStatus;
}

} // namespace

std::string_view exchangeResultName(ExchangeResult value) {
  static constexpr std::string_view names[] = {"complete", "not_connected",
                                               "broken", "malformed"};
  return names[static_cast<size_t>(value)];
}

ClientConnection::ClientConnection(asio::io_context &loop)
    : Socket(loop), ConnectTimer(loop) {}

void ClientConnection::exchange(const Tcp::endpoint &peer, std::string request,
                                ResponseCallbacks callbacks) {
  Callbacks = std::make_shared<ResponseCallbacks>(std::move(callbacks));
  Output = std::move(request);
  ++Exchanges;
  Parser.reset();
  ResponseBytes = 0;
  Interim = Skipped = {};
  HeadHandled = Skipping = Reusable = ResetInWrite = false;
  if (Connected)
    return write();
  connect(peer);
}

void ClientConnection::connect(const Tcp::endpoint &peer) {
  auto self = shared_from_this();
  ConnectTimer.expires_after(ConnectTimeout);
  ConnectTimer.async_wait([self](const std::error_code &ec) {
    if (!ec && !self->Connected)
      self->endExchange(ExchangeResult::NotConnected);
  });
  Socket.async_connect(peer, [self](const std::error_code &ec) {
    if (!self->inExchange())
      return;
    self->ConnectTimer.cancel();
    if (ec)
      return self->endExchange(ExchangeResult::NotConnected);
    self->Connected = true;
    setTcpOptions(self->Socket);
    self->write();
    self->read();
  });
}

void ClientConnection::write() {
  Writing = true;
  auto self = shared_from_this();
  asio::async_write(Socket, asio::buffer(Output),
                    [self](const std::error_code &ec, size_t) {
                      // The read ends the exchange. The kernel reports a reset
                      // once, though, so that the read may find an end of data
                      // after it. A peer that had ended its data before the
                      // reset makes the write fail with broken_pipe.
                      self->ResetInWrite = ec && ec != asio::error::broken_pipe;
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
  if (!inExchange())
    return close(); // Unsolicited data.
  Input.append(Buffer.data(), n);
  feed();
  if (Connected)
    read();
}

void ClientConnection::onReadEnd(const std::error_code &ec) {
  bool closedByPeer = ec == asio::error::eof && !ResetInWrite;
  bool closedInBody = closedByPeer && HeadHandled && !Skipping;
  if (inExchange() && closedInBody &&
      Parser.finish() == Http::ResponseState::Complete)
    return endExchange(ExchangeResult::Complete);
  if (inExchange())
    return endExchange(ExchangeResult::Broken);
  close();
}

void ClientConnection::feed() {
  while (inExchange()) {
    std::string body;
    size_t unparsed = Input.size();
    Http::ResponseState state = Parser.feed(Input, body);
    ResponseBytes += unparsed - Input.size();
    if (state == Http::ResponseState::Malformed)
      return endExchange(ExchangeResult::Malformed);
    if (state == Http::ResponseState::Head || !handleHead())
      return;
    if (Skipping && discardsTooMuch())
      return endExchange(ExchangeResult::Malformed);
    if (!body.empty() && !Skipping)
      std::shared_ptr(Callbacks)->OnBody(body);
    if (state == Http::ResponseState::Body)
      return;
    bool accepted = !Skipping;
    if (accepted && inExchange())
      return endExchange(ExchangeResult::Complete);
    noteDiscarded();
    Parser.reset();
    HeadHandled = Skipping = false;
  }
}

bool ClientConnection::discardsTooMuch() const {
  if (isInterim(Parser.head().Status))
    return Interim.Responses >= MaxInterimResponses ||
           Interim.Bytes + ResponseBytes > MaxInterimBytes;
  return Skipped.Responses >= MaxSkippedResponses ||
         Skipped.Bytes + ResponseBytes > MaxSkippedBytes;
}

void ClientConnection::noteDiscarded() {
  Discarded &discarded = isInterim(Parser.head().Status) ? Interim : Skipped;
  ++discarded.Responses;
  discarded.Bytes += std::exchange(ResponseBytes, 0);
}

/// Passes the head of each final response to OnHead once. Returns false if the
/// callback has ended the exchange.
bool ClientConnection::handleHead() {
  if (HeadHandled)
    return true;
  HeadHandled = true;
  auto callbacks = Callbacks;
  Skipping =
      isInterim(Parser.head().Status) ||
      callbacks->OnHead(Parser.head(), Parser.framing()) == HeadVerdict::Skip;
  return inExchange();
}

void ClientConnection::endExchange(ExchangeResult result) {
  Reusable = result == ExchangeResult::Complete && Parser.keepAlive() &&
             Input.empty() && !Writing;
  LastUsed = Utils::BootClock::now();
  if (Reusable) {
    auto seconds = Http::keepAliveSeconds(Parser.head().Headers);
    auto idleTimeout =
        seconds ? std::chrono::seconds(*seconds) : DefaultIdleTimeout;
    IdleUntil = LastUsed + idleTimeout - IdleTimeoutMargin;
  }
  auto callbacks = std::move(Callbacks);
  if (!Reusable)
    close();
  if (callbacks)
    callbacks->OnEnd(result);
}

void ClientConnection::cancel() {
  Callbacks.reset();
  close();
}

void ClientConnection::close() {
  Connected = Reusable = false;
  ConnectTimer.cancel();
  std::error_code ec; // Ignored: the socket may be closed already.
  Socket.close(ec);
  if (OnClosed)
    std::exchange(OnClosed, nullptr)();
}

bool ClientConnection::isReusable() const {
  return Reusable && Connected && Utils::BootClock::now() < IdleUntil;
}

} // namespace HttpIo
