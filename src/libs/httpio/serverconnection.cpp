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

CallerConnection::CallerConnection(Tcp::socket socket,
                                   std::shared_ptr<ServerPolicy> policy)
    : Socket(std::move(socket)), Policy(std::move(policy)),
      Parser(Policy->Limits) {}

void CallerConnection::start() {
  setLowLatency(Socket);
  WaitDeadline = Utils::BootClock::now() + Policy->IdleTimeout;
  read();
}

void CallerConnection::read() {
  if (Reading || !Socket.is_open())
    return;
  Reading = true;
  auto self = shared_from_this();
  Socket.async_read_some(asio::buffer(Buffer),
                         [self](const std::error_code &ec, size_t n) {
                           self->Reading = false;
                           if (ec)
                             return self->gone();
                           self->onRead(n);
                         });
}

void CallerConnection::onRead(size_t n) {
  if (Closing) // Unread bytes would turn the close into a reset.
    return read();
  Input.append(Buffer.data(), n);
  if (!Answering)
    parse();
  if (Input.size() < ReadAheadBytes)
    read();
}

void CallerConnection::parse() {
  Http::RequestState state = Parser.feed(Input);
  if (state == Http::RequestState::Complete) {
    Http::Request request = Parser.take(Policy->Limits);
    RequestBegun = false;
    Answering = true;
    KeepOpen = request.KeepAlive;
    return Policy->OnRequest(shared_from_this(), std::move(request));
  }
  if (state != Http::RequestState::Incomplete)
    return reject(statusOf(state));
  if (!RequestBegun && Parser.hasStarted()) {
    RequestBegun = true;
    WaitDeadline = Utils::BootClock::now() + Policy->HeaderTimeout;
  }
}

void CallerConnection::reject(unsigned status) {
  Answering = true;
  KeepOpen = false;
  respond({status, "", {}}, "");
}

std::string CallerConnection::headText(const Http::ResponseHead &head) {
  KeepOpen = KeepOpen && !Policy->Leaving;
  std::string text = Http::serializeResponseStart(head);
  if (!KeepOpen)
    Http::appendField(text, "Connection", "close");
  return text;
}

void CallerConnection::respond(const Http::ResponseHead &head,
                               std::string_view body) {
  std::string text = headText(head);
  Http::appendField(text, "Content-Length", std::to_string(body.size()));
  text.append("\r\n").append(body);
  send(text);
  finishAnswer();
}

void CallerConnection::beginStream(const Http::ResponseHead &head) {
  std::string text = headText(head);
  Http::appendField(text, "Transfer-Encoding", "chunked");
  send(text + "\r\n");
}

void CallerConnection::streamData(std::string_view data) {
  std::string text;
  Http::appendChunk(text, data);
  send(text);
}

void CallerConnection::endStream() {
  send(Http::LastChunk);
  finishAnswer();
}

void CallerConnection::send(std::string_view text) {
  if (!Socket.is_open())
    return;
  if (Waiting.size() + text.size() > CallerBacklogBytes)
    return gone();
  Waiting += text;
  if (Sending.empty())
    flush();
}

void CallerConnection::flush() {
  Sending.swap(Waiting);
  if (Sending.empty()) {
    if (Closing)
      finishAndClose();
    return;
  }
  auto self = shared_from_this();
  asio::async_write(Socket, asio::buffer(Sending),
                    [self](const std::error_code &ec, size_t) {
                      self->Sending.clear();
                      if (ec)
                        return self->gone();
                      self->flush();
                    });
}

void CallerConnection::finishAnswer() {
  Answering = false;
  OnGone = nullptr;
  if (!KeepOpen) {
    Closing = true;
    WaitDeadline = Utils::BootClock::now() + LingerLimit;
    if (Sending.empty() && Waiting.empty())
      finishAndClose();
    return;
  }
  WaitDeadline = Utils::BootClock::now() + Policy->IdleTimeout;
  if (!Input.empty())
    parse();
  read();
}

/// All is sent: ends our side and waits for the caller to end its own.
void CallerConnection::finishAndClose() {
  std::error_code ec; // A caller that has left already is as good.
  Socket.shutdown(Tcp::socket::shutdown_send, ec);
  read();
}

void CallerConnection::abort() {
  OnGone = nullptr;
  close();
}

void CallerConnection::gone() {
  close();
  if (OnGone)
    std::exchange(OnGone, nullptr)();
}

void CallerConnection::close() {
  Answering = false;
  std::error_code ec; // Already closed is as good.
  Socket.close(ec);
}

void CallerConnection::checkTimeouts(Utils::TimePoint now) {
  if (!Answering && now > WaitDeadline)
    close();
}

void CallerConnection::closeIfIdle() {
  if (!Answering && !RequestBegun && Sending.empty())
    close();
}

} // namespace HttpIo
