#include "httpio/serverconnection.h"

#include "httpio/httpioconstants.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace HttpIo {

namespace {

unsigned statusOf(Http::RequestState state) {
  switch (state) {
  case Http::RequestState::HeadTooLarge:
    return 431;
  case Http::RequestState::BodyTooLarge:
    return 413;
  default:
    return 400;
  }
}

} // namespace

ServerConnection::ServerConnection(Tcp::socket socket,
                                   std::shared_ptr<ServerPolicy> policy)
    : Socket(std::move(socket)), Policy(std::move(policy)),
      Parser(Policy->Limits) {}

void ServerConnection::start() {
  setTcpOptions(Socket);
  WaitDeadline = Utils::BootClock::now() + Policy->IdleTimeout;
  read();
}

void ServerConnection::read() {
  if (Reading || !Socket.is_open())
    return;
  Reading = true;
  auto self = shared_from_this();
  Socket.async_read_some(asio::buffer(Buffer),
                         [self](const std::error_code &ec, size_t n) {
                           self->Reading = false;
                           if (ec)
                             return self->handleDisconnect();
                           self->onRead(n);
                         });
}

void ServerConnection::onRead(size_t n) {
  if (Closing) // Unread bytes would turn the close into a reset.
    return read();
  Input.append(Buffer.data(), n);
  if (!Responding)
    parse();
  if (Input.size() < MaxReadAheadBytes)
    read();
}

void ServerConnection::parse() {
  Http::RequestState state = Parser.feed(Input);
  if (state == Http::RequestState::Complete) {
    Http::Request request = Parser.take(Policy->Limits);
    RequestStarted = false;
    Responding = true;
    KeepOpen = request.KeepAlive;
    return Policy->OnRequest(shared_from_this(), std::move(request));
  }
  if (state != Http::RequestState::Incomplete)
    return reject(statusOf(state));
  if (!RequestStarted && Parser.hasStarted()) {
    RequestStarted = true;
    WaitDeadline = Utils::BootClock::now() + Policy->HeaderTimeout;
  }
}

void ServerConnection::reject(unsigned status) {
  Responding = true;
  KeepOpen = false;
  respond({status, "", {}}, "");
}

std::string ServerConnection::serializeHead(const Http::ResponseHead &head) {
  KeepOpen = KeepOpen && !Policy->Draining;
  std::string text = Http::serializeResponseStart(head);
  if (!KeepOpen)
    Http::appendField(text, "Connection", "close");
  return text;
}

void ServerConnection::respond(const Http::ResponseHead &head,
                               std::string_view body) {
  std::string text = serializeHead(head);
  Http::appendField(text, "Content-Length", std::to_string(body.size()));
  text.append("\r\n").append(body);
  send(text);
  finishResponse();
}

void ServerConnection::beginStream(const Http::ResponseHead &head) {
  std::string text = serializeHead(head);
  Http::appendField(text, "Transfer-Encoding", "chunked");
  send(text + "\r\n");
}

void ServerConnection::streamData(std::string_view data) {
  std::string text;
  Http::appendChunk(text, data);
  send(text);
}

void ServerConnection::endStream() {
  send(Http::LastChunk);
  finishResponse();
}

void ServerConnection::send(std::string_view text) {
  if (!Socket.is_open())
    return;
  // One long answer may exceed the limit, but nothing more behind it.
  if (QueuedOutput.size() > MaxSendBacklogBytes)
    return handleDisconnect();
  QueuedOutput += text;
  if (SendingOutput.empty())
    flush();
}

void ServerConnection::flush() {
  SendingOutput.swap(QueuedOutput);
  if (SendingOutput.empty()) {
    if (Closing)
      shutdownSend();
    return;
  }
  auto self = shared_from_this();
  asio::async_write(Socket, asio::buffer(SendingOutput),
                    [self](const std::error_code &ec, size_t) {
                      self->SendingOutput.clear();
                      if (ec)
                        return self->handleDisconnect();
                      self->flush();
                    });
}

void ServerConnection::finishResponse() {
  Responding = false;
  OnDisconnect = nullptr;
  if (!KeepOpen) {
    Closing = true;
    WaitDeadline = Utils::BootClock::now() + LingerTimeout;
    if (SendingOutput.empty() && QueuedOutput.empty())
      shutdownSend();
    return;
  }
  WaitDeadline = Utils::BootClock::now() + Policy->IdleTimeout;
  if (!Input.empty())
    parse();
  read();
}

/// Shuts down the sending side after the last response and waits for the client
/// to close its side.
void ServerConnection::shutdownSend() {
  std::error_code ec; // Ignored: the client may have disconnected.
  Socket.shutdown(Tcp::socket::shutdown_send, ec);
  read();
}

void ServerConnection::abort() {
  OnDisconnect = nullptr;
  close();
}

void ServerConnection::handleDisconnect() {
  close();
  if (OnDisconnect)
    std::exchange(OnDisconnect, nullptr)();
}

void ServerConnection::close() {
  Responding = false;
  std::error_code ec; // Ignored: the socket may be closed already.
  Socket.close(ec);
}

void ServerConnection::checkTimeouts(Utils::TimePoint now) {
  if (!Responding && now > WaitDeadline)
    close();
}

void ServerConnection::closeIfIdle() {
  if (!Responding && !RequestStarted && SendingOutput.empty())
    close();
}

} // namespace HttpIo
