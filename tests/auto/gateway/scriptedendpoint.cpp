#include "scriptedendpoint.h"

#include <asio/write.hpp>
#include <utility>

using HttpIo::Tcp;

std::string textOf(const Tcp::endpoint &endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

struct ScriptedEndpoint::Peer {
  explicit Peer(Tcp::socket socket) : Socket(std::move(socket)) {}
  Tcp::socket Socket;
  Http::RequestParser Parser{Http::RequestLimits{}};
  std::array<char, 4096> Buffer;
  std::string Input;
  std::string Output;
  size_t Requests = 0;
};

ScriptedEndpoint::ScriptedEndpoint(asio::io_context &loop,
                                   std::deque<Script> &scripts)
    : Scripts(scripts), Acceptor(loop, {asio::ip::address_v4::loopback(), 0}),
      Address(Acceptor.local_endpoint()) {
  accept();
}

std::string ScriptedEndpoint::address() const { return textOf(Address); }

void ScriptedEndpoint::accept() {
  Acceptor.async_accept([this](const std::error_code &ec, Tcp::socket socket) {
    if (ec)
      return;
    ++Accepted;
    auto peer = std::make_shared<Peer>(std::move(socket));
    Peers.push_back(peer);
    read(peer);
    accept();
  });
}

void ScriptedEndpoint::resetAll() {
  for (const std::weak_ptr<Peer> &it : Peers)
    if (auto peer = it.lock(); peer && peer->Socket.is_open()) {
      peer->Socket.set_option(asio::socket_base::linger(true, 0));
      peer->Socket.close();
    }
}

void ScriptedEndpoint::sendToAll(const std::string &text) {
  for (const std::weak_ptr<Peer> &it : Peers)
    if (auto peer = it.lock(); peer && peer->Socket.is_open())
      asio::write(peer->Socket, asio::buffer(text));
}

void ScriptedEndpoint::crash() {
  ++Crashes;
  IsDown = true;
  Acceptor.close();
  resetAll();
  // Keeps the port, so that no outgoing connection is given it. Connections to
  // it are refused until it listens again.
  Acceptor.open(Address.protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.bind(Address);
  auto timer =
      std::make_shared<HttpIo::Timer>(Acceptor.get_executor(), RestartTime);
  timer->async_wait([this, timer](const std::error_code &) {
    Acceptor.listen();
    IsDown = false;
    accept();
  });
}

void ScriptedEndpoint::read(const std::shared_ptr<Peer> &peer) {
  peer->Socket.async_read_some(
      asio::buffer(peer->Buffer),
      [this, peer](const std::error_code &ec, size_t n) {
        if (ec) {
          ++Ended;
          return;
        }
        peer->Input.append(peer->Buffer.data(), n);
        if (peer->Parser.feed(peer->Input) == Http::RequestState::Complete)
          play(peer, peer->Parser.take(Http::RequestLimits{}));
        if (peer->Socket.is_open())
          read(peer);
      });
}

void ScriptedEndpoint::play(const std::shared_ptr<Peer> &peer,
                            const Http::Request &request) {
  Requests.push_back(request);
  ArrivalTimes.push_back(Utils::BootClock::now());
  auto isCrashing = [&](const std::string &text) {
    return !CrashingText.empty() && text.find(CrashingText) != text.npos;
  };
  if (isCrashing(request.Target))
    return crash();
  for (const Http::Field &it : request.Headers)
    if (isCrashing(it.Value))
      return crash();
  bool connectionUsed = peer->Requests++ > 0;
  std::string copies = connectionUsed ? std::exchange(Copies, {}) : "";
  Script script = nextScript(request).value_or(Script{}); // No response.
  const std::string *id = request.Headers.find("Request-Id");
  auto substituteId = [&](std::string &text) {
    for (size_t at; (at = text.find("@ID@")) != std::string::npos;)
      text.replace(at, 4, id ? *id : "");
  };
  substituteId(script.Text);
  substituteId(script.LateCopy);
  if (size_t end = script.Text.find("\r\n"); end != std::string::npos)
    script.Text.insert(end + 2, AnswerFields);
  for (std::string &it : script.Parts)
    substituteId(it);
  Copies += script.LateCopy;
  peer->Output = copies + script.Text;
  asio::async_write(peer->Socket, asio::buffer(peer->Output),
                    [this, peer, script](const std::error_code &, size_t) {
                      if (script.AfterSend == Script::Action::Keep)
                        return;
                      if (script.AfterSend == Script::Action::Repeat)
                        return repeat(peer, script);
                      if (script.AfterSend == Script::Action::Reset)
                        peer->Socket.set_option(
                            asio::socket_base::linger(true, 0));
                      peer->Socket.close();
                    });
}

std::optional<Script>
ScriptedEndpoint::nextScript(const Http::Request &request) {
  if (Respond)
    return Respond(request);
  if (Scripts.empty())
    return std::nullopt;
  Script script = std::move(Scripts.front());
  Scripts.pop_front();
  return script;
}

void ScriptedEndpoint::repeat(const std::shared_ptr<Peer> &peer,
                              const Script &script) {
  auto timer = std::make_shared<HttpIo::Timer>(peer->Socket.get_executor(),
                                               script.Delay);
  timer->async_wait([this, peer, script, timer](const std::error_code &) {
    Script remaining = script;
    peer->Output = script.RepeatedText;
    if (!script.Parts.empty()) {
      peer->Output = remaining.Parts.front();
      remaining.Parts.pop_front();
    }
    bool hasMore = script.Parts.empty() || !remaining.Parts.empty();
    asio::async_write(
        peer->Socket, asio::buffer(peer->Output),
        [this, peer, remaining, hasMore](const std::error_code &ec, size_t n) {
          RepeatedBytes += n;
          if (!ec && hasMore)
            repeat(peer, remaining);
        });
  });
}

std::string answer(unsigned status, const std::string &body,
                   const std::string &headers) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
