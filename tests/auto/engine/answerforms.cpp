#include "answercases.h"
#include "engine/engine.h"
#include "platform/platform.h"
#include "scriptedserver.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace std::chrono_literals;

namespace {

constexpr auto FormCallTimeout = 20s;

Engine::Call callWithBody(std::string body) {
  Engine::Call call;
  call.RequestId = "q";
  call.Path = "/x";
  call.Body = std::move(body);
  call.Deadline = std::chrono::steady_clock::now() + FormCallTimeout;
  return call;
}

/// Body of the answer if the call ends as answered.
std::optional<std::string> bodyFrom(uint16_t port, const Engine::Call &call) {
  auto endpoint = Platform::makeHttpService("127.0.0.1", port,
                                            Platform::makeConnectionPool());
  std::string body;
  Engine::ResponseSink sink;
  sink.OnHead = [](const Engine::ResponseHead &) { return true; };
  sink.OnBody = [&](std::string_view bytes) {
    body += bytes;
    return true;
  };
  auto status = endpoint.Send(call, sink);
  return status ? std::optional(body) : std::nullopt;
}

/// Accepts one connection, answers the first bytes of its request, and resets
/// it with the rest unread.
class ResettingServer {
public:
  explicit ResettingServer(std::string answer) : Answer(std::move(answer)) {
    Listener = socket(AF_INET, SOCK_STREAM, 0);
    int receiveBuffer = 4096;
    setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
               sizeof(receiveBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    auto *raw = reinterpret_cast<sockaddr *>(&address);
    REQUIRE(bind(Listener, raw, n) == 0);
    REQUIRE(listen(Listener, 1) == 0);
    REQUIRE(getsockname(Listener, raw, &n) == 0);
    Port = ntohs(address.sin_port);
    Thread = std::thread([this] { serve(); });
  }
  ~ResettingServer() {
    Thread.join();
    close(Listener);
  }
  uint16_t port() const { return Port; }

private:
  void serve() {
    int peer = accept(Listener, nullptr, nullptr);
    char buf[512];
    if (recv(peer, buf, sizeof(buf), 0) > 0)
      send(peer, Answer.data(), Answer.size(), MSG_NOSIGNAL);
    linger it{1, 0};
    setsockopt(peer, SOL_SOCKET, SO_LINGER, &it, sizeof(it));
    close(peer);
  }

  std::string Answer;
  int Listener = -1;
  uint16_t Port = 0;
  std::thread Thread;
};

/// The HTTP library refuses trailers.
bool isAnswerHere(const AnswerCase &it) {
  return it.IsAnswer && it.Name != "chunks and a trailer";
}

} // namespace

// Issue 57, MIXED: the HTTP library passes over lines that it cannot read, and
// took status 000 for an answer.
TEST_CASE("bytes that are no answer end a call of a service as failed") {
  for (const AnswerCase &it : answerCases("X-Request-Id: q\r\n")) {
    CAPTURE(it.Name);
    ScriptedServer server([&](const ReceivedRequest &) {
      return ScriptedReply{it.Text, true};
    });
    CHECK((bodyFrom(server.port(), callWithBody("ask")) == "abc") ==
          isAnswerHere(it));
  }
}

TEST_CASE("bytes that are no answer end an order to an engine as failed") {
  for (const AnswerCase &it : answerCases("")) {
    CAPTURE(it.Name);
    ScriptedServer server([&](const ReceivedRequest &) {
      return ScriptedReply{it.Text, true};
    });
    auto engine = Platform::makeHttpEngine("127.0.0.1", server.port(),
                                           Platform::makeConnectionPool());
    bool accepted = bool(engine.Load({}));
    CHECK(accepted == (isAnswerHere(it) && it.Name != "status 599"));
  }
}

TEST_CASE("early answer of a service without a length, reset while the upload "
          "is written, ends the call as failed") {
  constexpr size_t uploadBytes = 3'900'000;
  for (const char *line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n",
                           "HTTP/1.1 200 OK\r\nConnection: close\r\n"})
    for (const char *part : {"part", ""}) {
      CAPTURE(line);
      ResettingServer server(std::string(line) + "X-Request-Id: q\r\n\r\n" +
                             part);
      auto call = callWithBody(std::string(uploadBytes, 'x'));
      CHECK_FALSE(bodyFrom(server.port(), call));
    }
}
